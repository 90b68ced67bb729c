package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Which members should come next. It only decides, from who is a member, who asks to be one, and
 * how long each has been silent; the owner of the key core asks it and then has the change written,
 * sealed and activated. First members whose machines came back empty are replaced by themselves.
 * Then those that have been dead for long or are about to end are replaced by machines unknown to
 * the core, as many at once as there are. Then the core grows towards the number of voters wanted,
 * always to an odd one. Never a next set of which fewer than a majority are alive.
 */
final class MembershipPlan {
  /** One change of members: why, who goes, who comes, and the set of the next generation. */
  record MembershipChange(
      MembershipChangeReason reason,
      List<String> removed,
      List<MemberSet.Member> added,
      MemberSet next) {}

  private final MemberSet current;
  private final List<MemberSet.Member> joinCandidates;
  private final Predicate<String> isAlive;

  /**
   * Makes a plan from what is known now.
   *
   * @param current the members in force
   * @param joinCandidates who asked lately to be let in, with disks that no member has
   * @param isAlive whether a member is alive and to stay, by name
   */
  MembershipPlan(
      MemberSet current, List<MemberSet.Member> joinCandidates, Predicate<String> alive) {
    this.current = current;
    this.joinCandidates = joinCandidates;
    this.isAlive = alive;
  }

  /**
   * The next change, one at the most, or null.
   *
   * @param silentMs for how long there was no contact with a member, by name
   * @param draining whether a member said that it was asked to stop, by name
   */
  MembershipChange nextChange(
      ToLongFunction<String> silentMs, Predicate<String> draining, QuorumConfig config) {
    MembershipChange wiped = replaceWiped(silentMs, config);
    if (wiped != null) return wiped;
    List<MemberSet.Member> unknown =
        joinCandidates.stream()
            .filter(candidate -> current.find(candidate.name()) == null)
            .toList();
    if (unknown.isEmpty()) return null;
    List<String> removed = deadMembers(silentMs, config);
    MembershipChangeReason reason =
        removed.isEmpty() ? MembershipChangeReason.DRAINING : MembershipChangeReason.DEAD;
    removed.addAll(drainingMembers(draining, config));
    if (!removed.isEmpty()) {
      int replaced = Math.min(removed.size(), unknown.size());
      return change(reason, removed.subList(0, replaced), unknown.subList(0, replaced));
    }
    int size = current.all().size(), more = size % 2 == 0 ? 1 : 2;
    if (size + more > config.targetMembers() || unknown.size() < more) return null;
    return change(MembershipChangeReason.GROWTH, List.of(), unknown.subList(0, more));
  }

  /** All at once whose machines came back empty: each change of members costs time of its own. */
  private MembershipChange replaceWiped(ToLongFunction<String> silentMs, QuorumConfig config) {
    List<MemberSet.Member> back = new ArrayList<>();
    for (MemberSet.Member candidate : joinCandidates) {
      MemberSet.Member member = current.find(candidate.name());
      if (member != null
          && !isAlive.test(member.name())
          && silentMs.applyAsLong(member.name()) > 2L * config.peerTimeoutMs()) back.add(candidate);
    }
    if (back.isEmpty()) return null;
    return change(
        MembershipChangeReason.WIPED_DISK,
        back.stream().map(MemberSet.Member::name).toList(),
        back);
  }

  /** Those silent for `replaceDeadAfterMs` or longer, the longest silent first. */
  private List<String> deadMembers(ToLongFunction<String> silentMs, QuorumConfig config) {
    List<String> dead = new ArrayList<>();
    if (config.replaceDeadAfterMs() == 0) return dead;
    for (MemberSet.Member member : current.all())
      if (!isAlive.test(member.name())
          && silentMs.applyAsLong(member.name()) >= config.replaceDeadAfterMs())
        dead.add(member.name());
    dead.sort(Comparator.comparingLong(silentMs).reversed());
    return dead;
  }

  /** Those whose place has to be taken before they end. */
  private List<String> drainingMembers(Predicate<String> draining, QuorumConfig config) {
    if (config.replaceDeadAfterMs() == 0) return List.of();
    return current.all().stream().map(MemberSet.Member::name).filter(draining).toList();
  }

  /** The set with these out and those in, or null where a majority of it isn't alive. */
  MembershipChange change(
      MembershipChangeReason reason, List<String> removed, List<MemberSet.Member> added) {
    List<MemberSet.Member> members = new ArrayList<>(current.all());
    members.removeIf(member -> removed.contains(member.name()));
    members.addAll(added);
    MemberSet next = new MemberSet(current.generation() + 1, members);
    int aliveCount = 0;
    for (MemberSet.Member member : next.all())
      if (added.contains(member) || isAlive.test(member.name())) aliveCount++;
    return aliveCount < next.majoritySize()
        ? null
        : new MembershipChange(reason, List.copyOf(removed), List.copyOf(added), next);
  }
}

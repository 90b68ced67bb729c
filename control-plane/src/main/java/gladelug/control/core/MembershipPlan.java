package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides which members the next generation should have, given the current members, the join
 * candidates and how long each member has been out of contact. The owner of the key core uses it
 * and then has the change written, sealed and activated. Members whose machines restarted with an
 * empty disk are replaced first, by the same machines with their new disks. Next, members that are
 * dead for long or draining are replaced with machines that are no members, as many at once as
 * there are candidates. Last, the core grows towards the configured number of members, always to an
 * odd number. A set of which fewer than a majority are alive is never planned.
 */
final class MembershipPlan {
  /**
   * One change of members: its reason, the names removed, the members added, and the set of the
   * next generation.
   */
  record MembershipChange(
      MembershipChangeReason reason,
      List<String> removed,
      List<MemberSet.Member> added,
      MemberSet next) {}

  private final MemberSet current;
  private final List<MemberSet.Member> joinCandidates;
  private final Predicate<String> isAlive;

  /**
   * Creates a plan for the current state.
   *
   * @param current the members of the active generation
   * @param joinCandidates nodes that recently asked to join, with disks that no member has
   * @param isAlive whether the member of this name is alive and not draining
   */
  MembershipPlan(
      MemberSet current, List<MemberSet.Member> joinCandidates, Predicate<String> isAlive) {
    this.current = current;
    this.joinCandidates = joinCandidates;
    this.isAlive = isAlive;
  }

  /**
   * Returns the next change, or null if none is needed or possible.
   *
   * @param silentMs for how many ms there has been no contact with the member of this name
   * @param isDraining whether the member of this name announced that it is draining
   */
  MembershipChange nextChange(
      ToLongFunction<String> silentMs, Predicate<String> isDraining, QuorumConfig config) {
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
    removed.addAll(drainingMembers(isDraining, config));
    if (!removed.isEmpty()) {
      int replaced = Math.min(removed.size(), unknown.size());
      return change(reason, removed.subList(0, replaced), unknown.subList(0, replaced));
    }
    int size = current.all().size(), growth = size % 2 == 0 ? 1 : 2;
    if (size + growth > config.targetMembers() || unknown.size() < growth) return null;
    return change(MembershipChangeReason.GROWTH, List.of(), unknown.subList(0, growth));
  }

  /**
   * Replaces all members whose machines restarted with an empty disk in one change, since each
   * change of members interrupts the service for a while.
   */
  private MembershipChange replaceWiped(ToLongFunction<String> silentMs, QuorumConfig config) {
    List<MemberSet.Member> returned = new ArrayList<>();
    for (MemberSet.Member candidate : joinCandidates) {
      MemberSet.Member member = current.find(candidate.name());
      if (member != null
          && !isAlive.test(member.name())
          && silentMs.applyAsLong(member.name()) > 2L * config.peerTimeoutMs())
        returned.add(candidate);
    }
    if (returned.isEmpty()) return null;
    return change(
        MembershipChangeReason.WIPED_DISK,
        returned.stream().map(MemberSet.Member::name).toList(),
        returned);
  }

  /**
   * Returns the members out of contact for at least {@code replaceDeadAfterMs}, the longest first.
   */
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

  /** Returns the draining members, which have to be replaced before they stop. */
  private List<String> drainingMembers(Predicate<String> isDraining, QuorumConfig config) {
    if (config.replaceDeadAfterMs() == 0) return List.of();
    return current.all().stream().map(MemberSet.Member::name).filter(isDraining).toList();
  }

  /**
   * Returns the change that removes and adds the given members, or null if fewer than a majority of
   * the resulting set would be alive.
   */
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

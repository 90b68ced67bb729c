package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Nodes that asked to join, by name, with the time of their last request on the monotonic clock.
 * They have no vote. Called on the core's thread only.
 */
final class JoinCandidates {
  private final Map<String, MemberSet.Member> candidates = new TreeMap<>();
  private final Map<String, Long> requestedAtMs = new HashMap<>();

  /** Records a join request. Returns whether it is the first from a node of this name. */
  boolean onRequest(MemberSet.Member candidate, long nowMs) {
    boolean isNew = candidates.put(candidate.name(), candidate) == null;
    requestedAtMs.put(candidate.name(), nowMs);
    return isNew;
  }

  /** Returns the candidate of this name regardless of the age of its request, or null. */
  MemberSet.Member find(String name) {
    return candidates.get(name);
  }

  /**
   * Returns the candidates, ordered by name, that asked within {@code withinMs} and whose disk
   * belongs to none of the given members.
   */
  List<MemberSet.Member> recent(long withinMs, MemberSet members, long nowMs) {
    List<MemberSet.Member> recent = new ArrayList<>();
    for (MemberSet.Member candidate : candidates.values())
      if (nowMs - requestedAtMs.get(candidate.name()) < withinMs
          && members.all().stream().noneMatch(member -> member.diskId().equals(candidate.diskId())))
        recent.add(candidate);
    return recent;
  }
}

package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Nodes that asked to be let in, by name, with the time of their last request, in ms of the
 * monotonic clock. They vote on nothing. The core's thread alone calls it.
 */
final class JoinCandidates {
  private final Map<String, MemberSet.Member> candidates = new TreeMap<>();
  private final Map<String, Long> requestedAtMs = new HashMap<>();

  /** Notes a request; true where none of this name was known. */
  boolean onRequest(MemberSet.Member candidate, long now) {
    boolean isNew = candidates.put(candidate.name(), candidate) == null;
    requestedAtMs.put(candidate.name(), now);
    return isNew;
  }

  /** The candidate of this name, however long ago it asked; null for none. */
  MemberSet.Member find(String name) {
    return candidates.get(name);
  }

  /** Who asked within so many ms and brings a disk that none of these members has; by name. */
  List<MemberSet.Member> recent(long withinMs, MemberSet members, long now) {
    List<MemberSet.Member> recent = new ArrayList<>();
    for (MemberSet.Member candidate : candidates.values())
      if (now - requestedAtMs.get(candidate.name()) < withinMs
          && members.all().stream().noneMatch(member -> member.diskId().equals(candidate.diskId())))
        recent.add(candidate);
    return recent;
  }
}

package gladelug.emulator.soak;

/**
 * One event of a plan.
 *
 * @param atMs when it begins, in ms after the start of the soak test
 * @param target the number of the relay, member, tenant or replica, from 1; 0 if the kind has no
 *     target
 * @param durationMs how long it lasts; 0 for kinds without a duration
 */
record SoakEvent(long atMs, EventKind kind, int target, int durationMs) {
  long endMs() {
    return atMs + durationMs;
  }

  @Override
  public String toString() {
    return String.format(
        "%.1f s %s%s%s",
        atMs / 1000.0,
        kind.id(),
        target == 0 ? "" : " " + target,
        durationMs == 0 ? "" : " for " + durationMs + " ms");
  }
}

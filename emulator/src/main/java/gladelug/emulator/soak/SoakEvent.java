package gladelug.emulator.soak;

/**
 * One event of a plan.
 *
 * @param atMs when it begins, from the first start of the processes
 * @param target the number of the relay, member, tenant or replica, from 1; 0 where the kind has
 *     none
 * @param durationMs how long it lasts, for kinds that last
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

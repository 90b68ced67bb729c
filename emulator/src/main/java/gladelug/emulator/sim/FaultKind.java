package gladelug.emulator.sim;

/**
 * Kinds of faults injected while operators call a simulated core; FaultInjector implements them.
 */
public enum FaultKind {
  ONE_WAY_CUT,
  SHORT_CUT,
  LONG_CUT,
  FLAPPING_CUT,
  CUT_WITH_RESETS,
  CONNECTIONS_RESET,
  SPLIT,
  POWER_AFTER_ACKNOWLEDGEMENT,
  WIPE_AFTER_ACKNOWLEDGEMENT,
  KILL,
  REPLACEMENT,
  TURNOVER,
  CLOCK_STEP,
  FREEZE,
  DISK_STALL,
  DISK_SLOW,
  DISK_FULL,
  ALL_LOSE_POWER,
  ALL_KILLED
}

package gladelug.emulator.soak;

import gladelug.emulator.soak.SoakLedger.Disturbance;
import java.util.List;

/** Tells which periods are free of disturbances of a machine's relay and of the core. */
final class DisturbanceWindows {
  /**
   * How long a disturbance has effects after its end: ContactMs (3 s), doubled for a loaded
   * machine.
   */
  static final int SETTLING_MS = 6000;

  private final List<Disturbance> disturbances;

  DisturbanceWindows(List<Disturbance> disturbances) {
    this.disturbances = disturbances;
  }

  /**
   * Returns whether neither the machine's relay nor the core is affected by a disturbance in the
   * period.
   */
  boolean isUndisturbed(int machine, long fromMs, long toMs) {
    for (Disturbance disturbance : disturbances)
      if (overlaps(disturbance, fromMs, toMs)
          && (disturbance.kind().disturbsCore() || affectsRelay(disturbance, machine)))
        return false;
    return true;
  }

  /**
   * Returns whether no disturbance but the expected one (null for none) affects the machine's relay
   * or the core in the period. SIGTERM of other machines doesn't count as a disturbance of the
   * core.
   */
  boolean isOnlyDisturbance(Disturbance expected, int machine, long fromMs, long toMs) {
    for (Disturbance disturbance : disturbances)
      if (!disturbance.equals(expected)
          && overlaps(disturbance, fromMs, toMs)
          && (disturbance.kind().disturbsCore() && disturbance.kind() != EventKind.MACHINE_TERM
              || affectsRelay(disturbance, machine))) return false;
    return true;
  }

  private static boolean overlaps(Disturbance disturbance, long fromMs, long toMs) {
    return disturbance.fromMs() <= toMs && disturbance.toMs() + SETTLING_MS >= fromMs;
  }

  /** Returns whether a disturbance was one of the machine's relay. */
  static boolean affectsRelay(Disturbance disturbance, int machine) {
    return disturbance.process().equals("relay-" + machine);
  }
}

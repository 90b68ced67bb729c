package gladelug.emulator.soak;

import gladelug.emulator.soak.SoakLedger.Disturbance;
import java.util.List;

/** When machines were in touch: nothing was done to them or to the core shortly before. */
final class DisturbanceWindows {
  /** ContactMs, and as much for a loaded machine. */
  static final int SETTLING_MS = 6000;

  private final List<Disturbance> disturbances;

  DisturbanceWindows(List<Disturbance> disturbances) {
    this.disturbances = disturbances;
  }

  /** Whether nothing was done to the machine's relay or to the core, from ContactMs before on. */
  boolean isUndisturbed(int machine, long fromMs, long toMs) {
    for (Disturbance disturbance : disturbances)
      if (overlaps(disturbance, fromMs, toMs)
          && (disturbance.kind().disturbsCore() || affectsRelay(disturbance, machine)))
        return false;
    return true;
  }

  /** Whether nothing but this was done to the machine's relay. */
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

  static boolean affectsRelay(Disturbance disturbance, int machine) {
    return disturbance.process().equals("relay-" + machine);
  }
}

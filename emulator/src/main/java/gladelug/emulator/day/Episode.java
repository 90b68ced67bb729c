package gladelug.emulator.day;

/**
 * A fault of a day: how it is injected and how it is repaired.
 *
 * @param changesMeanwhile whether the configuration always changes while the fault lasts; otherwise
 *     the day decides at random
 */
record Episode(String name, Step begin, Step mend, boolean changesMeanwhile) {
  /** An action on the fleet. */
  interface Step {
    /** Performs the action. */
    void run() throws Exception;
  }

  /** Returns an episode during which the configuration changes at random. */
  static Episode of(String name, Step begin, Step mend) {
    return new Episode(name, begin, mend, false);
  }

  /** Returns an episode that needs no repair. */
  static Episode atOnce(String name, Step begin) {
    return of(name, begin, () -> {});
  }
}

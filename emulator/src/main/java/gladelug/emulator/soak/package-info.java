/**
 * Soak tests: real processes, started with the commands of the deploy file, run under a plan of
 * overlapping faults, signals and configuration changes, and are judged by what the stand-ins
 * recorded.
 *
 * <p>Begin with {@link gladelug.emulator.soak.Soak}, which wires a run; {@link
 * gladelug.emulator.soak.PlanGenerator} draws plans, {@link gladelug.emulator.soak.SoakJudge}
 * judges.
 */
package gladelug.emulator.soak;

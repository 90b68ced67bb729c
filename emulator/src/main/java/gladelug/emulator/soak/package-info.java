/**
 * The soak: real processes with the deploy file's commands, driven by a plan in which faults,
 * signals and changes come in series and overlap, and judged from the stand-ins' ledger alone.
 *
 * <p>Begin with {@link gladelug.emulator.soak.Soak}, which wires a run; {@link
 * gladelug.emulator.soak.PlanGenerator} draws plans, {@link gladelug.emulator.soak.SoakJudge}
 * judges.
 */
package gladelug.emulator.soak;

/**
 * Tests of the control plane with real processes: one fault scenario each, while operators change
 * and read the configuration; judged by the answers that they got.
 */
package gladelug.emulator.control;

/**
 * Long-running fault scenarios with real processes: one fault after the other, in an order drawn
 * from a seed, under the deployment's load.
 */
package gladelug.emulator.day;

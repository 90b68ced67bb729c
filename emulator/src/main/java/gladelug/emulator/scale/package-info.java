/**
 * Measures how CPU time, memory, messages and bytes of each role grow with one size at a time. Real
 * processes run among hollow nodes and replicas that only produce protocol traffic.
 */
package gladelug.emulator.scale;

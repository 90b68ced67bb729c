/**
 * The simulator: core members, relays, an index and replicas in simulated time. All of it is
 * production code except links, disks, clocks and back ends. The same seed always gives the same
 * run.
 */
package gladelug.emulator.sim;

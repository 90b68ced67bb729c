package gladelug.emulator.sim;

import gladelug.common.message.WireRecord;

/**
 * Observes what the processes of a simulation send and write, in order. Called on the simulation's
 * thread with simulated times in ms. Implementations draw no randomness and change nothing.
 */
interface TrafficObserver {
  /** Ignores everything. */
  TrafficObserver NONE = new TrafficObserver() {};

  /**
   * Called when a record leaves its sender, whether it arrives or not; sender and receiver may be
   * the same.
   */
  default void sent(long atMs, String from, String to, WireRecord message) {}

  /** Called when a request or a command leaves its sender as text, outside the held connections. */
  default void sentText(long atMs, String from, String to, String text) {}

  /** Called when a machine requests that an entry be written to its disk. */
  default void written(long atMs, String machine, String entry, byte[] state) {}
}

package gladelug.control.core.register;

/** The part of a member's host that makes entries durable. */
public interface DurableStorage {
  /**
   * Makes the state of an entry durable, then runs done on the protocol's thread; in the order of
   * the calls; never if it failed.
   *
   * @param key the entry's name on disk, see {@link DurableState}
   * @param state the entry's whole content, which replaces the former one
   */
  void sync(String key, byte[] state, Runnable done);

  /** How many bytes of state the disk can hold, all entries together. */
  default long maxStateBytes() {
    return Long.MAX_VALUE;
  }
}

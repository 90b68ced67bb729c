package gladelug.control.core.register;

/** The part of a member's environment that makes entries durable. */
public interface DurableStorage {
  /**
   * Makes the state of an entry durable, then runs the completion on the protocol's thread.
   * Completions run in the order of the calls; the completion of a failed write never runs.
   *
   * @param key the entry's name on disk, see {@link DurableState}
   * @param state the entry's complete content, which replaces the previous one
   */
  void sync(String key, byte[] state, Runnable onDurable);

  /** Returns how many bytes of state the disk can hold, all entries together. */
  default long maxStateBytes() {
    return Long.MAX_VALUE;
  }
}

package gladelug.emulator.check;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The disk of one checked machine: durable entries by name, and an ordered queue of pending writes
 * that become durable one at a time, when the run says so. A crash keeps a prefix of the pending
 * writes.
 */
final class CheckedDisk {
  /**
   * A pending write. isAccept: whether it was made while a member handled an owner's AcceptRequest.
   */
  record Write(String entry, byte[] state, boolean isAccept, Runnable done) {}

  final String id;
  private final Map<String, byte[]> durable = new HashMap<>();
  private final ArrayDeque<Write> pending = new ArrayDeque<>();

  CheckedDisk(String id) {
    this.id = id;
  }

  Map<String, byte[]> durable() {
    return new HashMap<>(durable);
  }

  byte[] entry(String name) {
    return durable.get(name);
  }

  /** Stores an entry that is durable from the start. */
  void writeDurably(String entry, byte[] state) {
    durable.put(entry, state);
  }

  void enqueue(Write write) {
    pending.add(write);
  }

  /** Queues a write ahead of all pending ones. */
  void enqueueFirst(Write write) {
    pending.addFirst(write);
  }

  int pendingWrites() {
    return pending.size();
  }

  /** Makes the oldest pending write durable and returns it. */
  Write syncOldest() {
    Write write = pending.poll();
    if (!write.entry().isEmpty()) durable.put(write.entry(), write.state());
    return write;
  }

  /** Returns a digest that is equal for equal durable entries. */
  long digest() {
    long hash = id.hashCode();
    for (Map.Entry<String, byte[]> entry : new TreeMap<>(durable).entrySet())
      hash = HashMixer.mix(hash + entry.getKey().hashCode(), Arrays.hashCode(entry.getValue()));
    return hash;
  }

  void losePending() {
    pending.clear();
  }
}

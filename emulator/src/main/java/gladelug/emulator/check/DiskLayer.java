package gladelug.emulator.check;

import gladelug.control.core.StateDecoder;
import gladelug.control.core.message.CoreMessage;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Passes the writes of checked machines to their disks. Mutations that break the order or the
 * durability of writes are implemented here.
 */
final class DiskLayer {
  private final Mutation mutation;

  DiskLayer(Mutation mutation) {
    this.mutation = mutation;
  }

  /** Queues a write. handled: the message whose handling caused the write, or null. */
  void write(CheckedMachine machine, CoreMessage handled, CheckedDisk.Write write) {
    boolean isPromise = handled instanceof CoreMessage.PrepareRequest;
    if (mutation == Mutation.ANSWER_BEFORE_SYNC) {
      machine.disk.enqueue(
          new CheckedDisk.Write(write.entry(), write.state(), write.isAccept(), () -> {}));
      machine.runLater(write.done());
    } else if (mutation == Mutation.PROMISE_NOT_DURABLE && isPromise) {
      machine.disk.enqueue(
          new CheckedDisk.Write(write.entry(), onlyAccepted(write.state()), false, write.done()));
    } else if (mutation == Mutation.MEMBERS_BEFORE_CELLS
        && write.entry().equals(StateDecoder.MEMBERS_ENTRY)) {
      machine.disk.enqueueFirst(write);
    } else {
      machine.disk.enqueue(write);
    }
  }

  boolean keepsDiskId() {
    return mutation == Mutation.EMPTY_DISK_KEEPS_ID;
  }

  /** Returns the entries that a process finds when it starts. */
  Map<String, byte[]> entriesAtStart(CheckedDisk disk) {
    Map<String, byte[]> durable = disk.durable();
    if (mutation != Mutation.PROMISE_FORGOTTEN) return durable;
    Map<String, byte[]> forgotten = new HashMap<>(durable);
    forgotten.replaceAll(
        (entry, bytes) -> StateDecoder.keyOf(entry).isEmpty() ? bytes : withoutPromise(bytes));
    return forgotten;
  }

  /** Replaces the promised epoch by the accepted one; an entry of a key begins with these two. */
  private static byte[] onlyAccepted(byte[] register) {
    byte[] bytes = register.clone();
    ByteBuffer.wrap(bytes).putLong(0, ByteBuffer.wrap(bytes).getLong(Long.BYTES));
    return bytes;
  }

  /** Clears the promised epoch, with which an entry of a key begins. */
  private static byte[] withoutPromise(byte[] register) {
    byte[] bytes = register.clone();
    ByteBuffer.wrap(bytes).putLong(0, 0);
    return bytes;
  }
}

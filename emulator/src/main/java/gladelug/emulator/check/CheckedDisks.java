package gladelug.emulator.check;

import gladelug.control.core.StateDecoder;
import gladelug.control.core.message.CoreMessage;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * What checked machines want written, as their disks take it. Mutations that break the order or the
 * durability of writes live here.
 *
 * <p>The way from the protocol to the disks.
 */
final class CheckedDisks {
  private final Mutation mutation;

  CheckedDisks(Mutation mutation) {
    this.mutation = mutation;
  }

  /** handled: the message that the write comes from, or null. */
  void want(CheckedMachine m, CoreMessage handled, CheckedDisk.Write w) {
    boolean promise = handled instanceof CoreMessage.PrepareRequest;
    if (mutation == Mutation.ANSWER_BEFORE_SYNC) {
      m.disk.want(new CheckedDisk.Write(w.entry(), w.state(), w.accept(), () -> {}));
      m.later(w.done());
    } else if (mutation == Mutation.PROMISE_NOT_DURABLE && promise) {
      m.disk.want(new CheckedDisk.Write(w.entry(), onlyAccepted(w.state()), false, w.done()));
    } else if (mutation == Mutation.MEMBERS_BEFORE_CELLS
        && w.entry().equals(StateDecoder.MEMBERS_ENTRY)) {
      m.disk.wantFirst(w);
    } else {
      m.disk.want(w);
    }
  }

  boolean keepsId() {
    return mutation == Mutation.EMPTY_DISK_KEEPS_ID;
  }

  /** What a process finds at its start. */
  Map<String, byte[]> opened(CheckedDisk disk) {
    Map<String, byte[]> durable = disk.durable();
    if (mutation != Mutation.PROMISE_FORGOTTEN) return durable;
    Map<String, byte[]> forgotten = new HashMap<>(durable);
    forgotten.replaceAll(
        (k, bytes) -> StateDecoder.keyOf(k).isEmpty() ? bytes : withoutPromise(bytes));
    return forgotten;
  }

  /** The promised epoch and the accepted one are what each entry of a key begins with. */
  private static byte[] onlyAccepted(byte[] cell) {
    byte[] bytes = cell.clone();
    ByteBuffer.wrap(bytes).putLong(0, ByteBuffer.wrap(bytes).getLong(Long.BYTES));
    return bytes;
  }

  /** The promised epoch is what each entry of a key begins with. */
  private static byte[] withoutPromise(byte[] cell) {
    byte[] bytes = cell.clone();
    ByteBuffer.wrap(bytes).putLong(0, 0);
    return bytes;
  }
}

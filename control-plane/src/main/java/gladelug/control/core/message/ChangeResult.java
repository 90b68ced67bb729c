package gladelug.control.core.message;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * The outcome of a change of a key, as reported to its sender. Only {@link Conflict}, {@link
 * QueueFull}, {@link NoOwner} and {@link TooLarge} mean that the change was not applied. Serialized
 * as a tag followed by the fields in order.
 */
public sealed interface ChangeResult {
  /** Writes the tag and the fields. */
  void write(DataOutputStream out) throws IOException;

  /** The tags on the wire; they must not change. */
  final class Tag {
    private static final int ACKNOWLEDGED = 1;
    private static final int CONFLICT = 2;
    private static final int UNKNOWN = 3;
    private static final int QUEUE_FULL = 4;
    private static final int NO_OWNER = 5;
    private static final int TOO_LARGE = 6;

    private Tag() {}
  }

  /**
   * The change is durable on a majority of disks, and every subscriber with a lease acts on it.
   *
   * @param number the number assigned to it
   * @param repeated whether the change had been applied before and is only acknowledged again
   * @param acks number of subscribers with a lease that acknowledged it
   * @param lapsed number of subscribers whose lease expired first
   * @param waited time from the change's arrival at the owner to this result, in ms
   */
  record Acknowledged(long number, boolean repeated, int acks, int lapsed, long waited)
      implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.ACKNOWLEDGED);
      out.writeLong(number);
      out.writeBoolean(repeated);
      out.writeInt(acks);
      out.writeInt(lapsed);
      out.writeLong(waited);
    }
  }

  /**
   * The change was based on a number other than the newest one; it was not applied.
   *
   * @param current the newest number
   */
  record Conflict(long current) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.CONFLICT);
      out.writeLong(current);
    }
  }

  /**
   * The change may have been applied.
   *
   * @param number the number whose status tells; -1 if that is open
   */
  record Unknown(long number) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.UNKNOWN);
      out.writeLong(number);
    }
  }

  /** Too many changes of the key are queued; the change was not applied. */
  record QueueFull() implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.QUEUE_FULL);
    }
  }

  /** No reachable member owns the key; the change was not applied. */
  record NoOwner() implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.NO_OWNER);
    }
  }

  /**
   * The value does not fit on the disk beside the other keys' values; the change was not applied.
   *
   * @param bytes the size of the value
   * @param most the largest size that fits, in bytes
   */
  record TooLarge(long bytes, long most) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.TOO_LARGE);
      out.writeLong(bytes);
      out.writeLong(most);
    }
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IOException if the bytes are malformed
   */
  static ChangeResult read(DataInputStream in) throws IOException {
    int tag = in.readByte();
    return switch (tag) {
      case Tag.ACKNOWLEDGED ->
          new Acknowledged(
              in.readLong(), in.readBoolean(), in.readInt(), in.readInt(), in.readLong());
      case Tag.CONFLICT -> new Conflict(in.readLong());
      case Tag.UNKNOWN -> new Unknown(in.readLong());
      case Tag.QUEUE_FULL -> new QueueFull();
      case Tag.NO_OWNER -> new NoOwner();
      case Tag.TOO_LARGE -> new TooLarge(in.readLong(), in.readLong());
      default -> throw WireRecord.unknownType(tag);
    };
  }
}

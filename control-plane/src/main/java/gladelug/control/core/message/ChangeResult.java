package gladelug.control.core.message;

import gladelug.common.message.WireRecord;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * How a change of a key ended for whoever sent it. Only {@link Conflict}, {@link QueueFull}, {@link
 * NoOwner} and {@link TooLarge} say that it was not applied. On the wire: a tag, then the fields in
 * their order.
 */
public sealed interface ChangeResult {
  /** Writes the tag and the fields. */
  void write(DataOutputStream out) throws IOException;

  /** The tags on the wire; they stay as they are. */
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
   * The change is on a majority of disks and whoever has a lease acts on it.
   *
   * @param number the number it got
   * @param repeated whether it had been applied before and is only acknowledged again
   * @param acks subscribers with a lease that acknowledged it
   * @param lapsed subscribers whose lease ran out first
   * @param waited from the change's arrival at the owner to this result, ms
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

  /** It follows another number than the newest; current is the newest. */
  record Conflict(long current) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.CONFLICT);
      out.writeLong(current);
    }
  }

  /** It may have been applied; number is the one to ask about. */
  record Unknown(long number) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.UNKNOWN);
      out.writeLong(number);
    }
  }

  /** Too many changes of the key are waiting; it was not applied. */
  record QueueFull() implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.QUEUE_FULL);
    }
  }

  /** Nobody who is reached owns the key; it was not applied. */
  record NoOwner() implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.NO_OWNER);
    }
  }

  /** The value has more bytes than the disk has room for beside the other keys' values. */
  record TooLarge(long bytes, long most) implements ChangeResult {
    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeByte(Tag.TOO_LARGE);
      out.writeLong(bytes);
      out.writeLong(most);
    }
  }

  /** Reads what {@link #write} wrote; an IOException where that is no such thing. */
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

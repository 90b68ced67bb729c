package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * Messages between relays and index processes. A query contains the prompt's chain of prefix
 * blocks; the response states, for each holder, how many leading blocks it has cached and how much
 * of the next block. While an index is warming up its response says so, and the relay continues
 * without a hint, as it does if no response arrives.
 */
public sealed interface Lookup extends WireRecord {
  /**
   * The part of a prompt's chain that a holder has cached; only a hint.
   *
   * @param holder instance ID of the replica or store
   * @param blocks number of leading blocks that are cached in full
   * @param partialUnits cached units (tokens) of the following block if it is cached in part, else
   *     0
   */
  record Match(String holder, int blocks, int partialUnits) {
    public Match(String holder, int blocks) {
      this(holder, blocks, 0);
    }
  }

  /** A relay's query for the holders of a prompt's blocks. */
  record Query(long sequence, long[] blocks) implements Lookup {
    @Override
    public int type() {
      return 1;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(sequence);
      out.writeInt(blocks.length);
      for (long b : blocks) out.writeLong(b);
    }
  }

  /**
   * A replica's outstanding work from all relays, as reported to the index.
   *
   * @param holder instance ID of the replica
   * @param busyMs how long assigned prompts keep the replica busy, in ms from now
   * @param runningRequests estimated number of requests that it is running
   * @param memoryUnits the part of its memory that those requests use, in units (tokens)
   */
  record Load(String holder, int busyMs, int runningRequests, int memoryUnits) {}

  /**
   * The expected cost of a request for its replica.
   *
   * @param prefillMs time in ms until its prompt is computed or fetched
   * @param decodeMs time in ms from then to its last event
   * @param memoryUnits memory that it uses at the replica, in units (tokens)
   */
  record Work(int prefillMs, int decodeMs, int memoryUnits) {
    public static final Work UNKNOWN = new Work(0, 0, 0);
  }

  /**
   * The index's view of the whole fleet, independent of a prompt: loads and memory pressure.
   *
   * @param loads busy replicas; others are idle or were omitted to keep the message short
   * @param evictionRatio fraction of the blocks recently stored at all holders that evicted another
   *     block: 0 with plenty of memory, about 1 if every holder is full
   */
  record FleetLoad(List<Load> loads, double evictionRatio) {
    public static final FleetLoad UNKNOWN = new FleetLoad(List.of(), 0);

    private static final int PER_MILLE = 1000;

    private void write(DataOutputStream out) throws IOException {
      WireRecord.writeList(
          out,
          loads,
          (itemOut, load) -> {
            itemOut.writeUTF(load.holder);
            itemOut.writeInt(load.busyMs);
            itemOut.writeInt(load.runningRequests);
            itemOut.writeInt(load.memoryUnits);
          });
      out.writeShort((int) (evictionRatio * PER_MILLE));
    }

    private static FleetLoad read(DataInputStream in) throws IOException {
      return new FleetLoad(
          WireRecord.readList(
              in, i -> new Load(i.readUTF(), i.readInt(), i.readInt(), i.readInt())),
          in.readUnsignedShort() / (double) PER_MILLE);
    }
  }

  /**
   * The response to a {@link Query}. The fleet load is written only if it is known, because earlier
   * releases end the record after the matches.
   */
  record Response(long sequence, boolean warm, List<Match> matches, FleetLoad fleetLoad)
      implements Lookup {
    public Response(long sequence, boolean warm, List<Match> matches) {
      this(sequence, warm, matches, FleetLoad.UNKNOWN);
    }

    @Override
    public int type() {
      return 2;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(sequence);
      out.writeBoolean(warm);
      WireRecord.writeList(
          out,
          matches,
          (itemOut, match) -> {
            itemOut.writeUTF(match.holder);
            itemOut.writeInt(match.blocks);
            itemOut.writeInt(match.partialUnits);
          });
      if (!fleetLoad.equals(FleetLoad.UNKNOWN)) fleetLoad.write(out);
    }
  }

  /**
   * Reports that a relay sent a prompt to a holder, which will cache its blocks although no cache
   * event has announced them yet. Earlier releases omit the expected work.
   */
  record Placement(String holder, long[] blocks, Work work) implements Lookup {
    public Placement(String holder, long[] blocks) {
      this(holder, blocks, Work.UNKNOWN);
    }

    @Override
    public int type() {
      return 3;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeUTF(holder);
      out.writeInt(blocks.length);
      for (long b : blocks) out.writeLong(b);
      if (work.equals(Work.UNKNOWN)) return;
      out.writeInt(work.prefillMs);
      out.writeInt(work.decodeMs);
      out.writeInt(work.memoryUnits);
    }
  }

  private static long[] readBlocks(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > in.available() / 8)
      throw new IOException("invalid block count " + count);
    long[] blocks = new long[count];
    for (int i = 0; i < count; i++) blocks[i] = in.readLong();
    return blocks;
  }

  private static Work readWork(DataInputStream in) throws IOException {
    return new Work(in.readInt(), in.readInt(), in.readInt());
  }

  static Lookup read(int type, DataInputStream in) throws IOException {
    switch (type) {
      case 1 -> {
        return new Query(in.readLong(), readBlocks(in));
      }
      case 2 -> {
        return new Response(
            in.readLong(),
            in.readBoolean(),
            WireRecord.readList(in, i -> new Match(i.readUTF(), i.readInt(), i.readInt())),
            in.available() > 0 ? FleetLoad.read(in) : FleetLoad.UNKNOWN);
      }
      case 3 -> {
        return new Placement(
            in.readUTF(), readBlocks(in), in.available() > 0 ? readWork(in) : Work.UNKNOWN);
      }
      default -> throw WireRecord.unknownType(type);
    }
  }
}

package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * What a relay asks an index process and what that answers. The blocks are the prompt's prefix
 * chain, so the answer per holder is how many leading blocks its entries match, and how much of the
 * next one it keeps in part; a warming or silent index says so and the relay goes on without a
 * hint.
 */
public sealed interface Lookup extends WireRecord {
  /**
   * What one holder keeps of a prompt's chain, a hint only.
   *
   * @param holder the holder's instance
   * @param readBlocks leading blocks, counted whole
   * @param partialUnits units (tokens) kept of the block after those where it is kept in part, else
   *     0
   */
  record Match(String holder, int blocks, int partialUnits) {
    public Match(String holder, int blocks) {
      this(holder, blocks, 0);
    }
  }

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
   * What a replica has to do of what all relays sent it, as the index was told.
   *
   * @param holder the replica's instance
   * @param busyMs how long prompts that it was given keep it busy from now
   * @param runningRequests requests that it should have now
   * @param partialUnits what those take of its memory
   */
  record Load(String holder, int busyMs, int runningRequests, int memoryUnits) {}

  /**
   * What a request is expected to ask of its replica.
   *
   * @param prefillMs until its prompt is computed or pulled
   * @param decodeMs from then to its last event
   * @param partialUnits what it takes of the replica's memory
   */
  record Work(int prefillMs, int decodeMs, int memoryUnits) {
    public static final Work UNKNOWN = new Work(0, 0, 0);
  }

  /**
   * What the index knows of the fleet beside a prompt: who is busy, and how scarce memory is.
   *
   * @param loads replicas that are busy; one that isn't named is not, or was left out for length
   * @param evictionRatio of the blocks stored lately at all holders, how many drove another out: 0
   *     with plenty of memory, about 1 where every holder is full
   */
  record FleetLoad(List<Load> loads, double evictionRatio) {
    public static final FleetLoad UNKNOWN = new FleetLoad(List.of(), 0);

    private static final int PER_MILLE = 1000;

    private void write(DataOutputStream out) throws IOException {
      WireRecord.writeList(
          out,
          loads,
          (o, load) -> {
            o.writeUTF(load.holder);
            o.writeInt(load.busyMs);
            o.writeInt(load.runningRequests);
            o.writeInt(load.memoryUnits);
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
   * fleet follows the matches only where there is something to say, as earlier releases read it.
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
    public void write(DataOutputStream o) throws IOException {
      o.writeLong(sequence);
      o.writeBoolean(warm);
      WireRecord.writeList(
          o,
          matches,
          (p, m) -> {
            p.writeUTF(m.holder);
            p.writeInt(m.blocks);
            p.writeInt(m.partialUnits);
          });
      if (!fleetLoad.equals(FleetLoad.UNKNOWN)) fleetLoad.write(o);
    }
  }

  /**
   * A relay sent a prompt of these blocks to a holder, which will keep them though no event told of
   * it yet, and has so much work with it; earlier releases don't tell that.
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
    int n = in.readInt();
    if (n < 0 || n > in.available() / 8) throw new IOException("impossible number of blocks " + n);
    long[] b = new long[n];
    for (int i = 0; i < n; i++) b[i] = in.readLong();
    return b;
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

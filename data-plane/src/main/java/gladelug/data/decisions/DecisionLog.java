package gladelug.data.decisions;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.message.DecisionRecords.Batch;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Decision records of other machines' relays, oldest evicted first under a bound in bytes. A batch
 * that is torn, too large or of another sender than it says is refused. No I/O.
 */
public final class DecisionLog {
  static final int MAX_PACKED_BYTES = 1 << 20;
  private static final int MAX_UNPACKED_BYTES = 8 << 20;
  private final long capacityBytes;
  private final ArrayDeque<Batch> batches = new ArrayDeque<>();
  private long storedBytes;
  private long refusedBatches;
  private long droppedBatches;

  public DecisionLog(long mostBytes) {
    capacityBytes = mostBytes;
  }

  /** False where it makes no sense; then nothing is changed. */
  public synchronized boolean add(Batch b) {
    boolean good =
        b.relay().matches("[a-z0-9][a-z0-9-]{0,30}")
            && b.incarnation().matches("[0-9a-f]{4}")
            && b.firstNumber() >= 0
            && b.lastNumber() >= b.firstNumber()
            && b.deflated().length <= MAX_PACKED_BYTES
            && unpack(b.deflated()) != null;
    if (!good) {
      refusedBatches++;
      return false;
    }
    batches.addLast(b);
    storedBytes += b.deflated().length;
    while (storedBytes > capacityBytes) {
      storedBytes -= batches.removeFirst().deflated().length;
      droppedBatches++;
    }
    return true;
  }

  /** The newest record of a request, or null. */
  public synchronized JsonObject find(String id) {
    String[] ps = id.split("\\.", -1);
    long n;
    try {
      n = ps.length == 3 ? Long.parseLong(ps[2]) : -1;
    } catch (NumberFormatException e) {
      return null;
    }
    if (n < 0) return null;
    String begins = "{\"order\":\"" + id + "\"";
    for (Iterator<Batch> i = batches.descendingIterator(); i.hasNext(); ) {
      Batch b = i.next();
      if (!b.relay().equals(ps[0])
          || !b.incarnation().equals(ps[1])
          || n < b.firstNumber()
          || n > b.lastNumber()) continue;
      for (String line : unpack(b.deflated()).split("\n"))
        if (line.startsWith(begins))
          return Json.parse(line).asObject().add("skippedAtRelay", b.skippedCount());
    }
    return null;
  }

  public synchronized JsonObject toJson() {
    return Json.object()
        .add("batches", batches.size())
        .add("bytes", storedBytes)
        .add("most", capacityBytes)
        .add("dropped", droppedBatches)
        .add("turnedAway", refusedBatches);
  }

  static byte[] pack(List<byte[]> lines) {
    Deflater d = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream plain = new ByteArrayOutputStream();
    for (byte[] l : lines) {
      plain.writeBytes(l);
      plain.write('\n');
    }
    d.setInput(plain.toByteArray());
    d.finish();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buf = new byte[8192];
    while (!d.finished()) out.write(buf, 0, d.deflate(buf));
    d.end();
    return out.toByteArray();
  }

  /** The lines of a batch, or null where they can't be read. */
  private static String unpack(byte[] packed) {
    Inflater i = new Inflater();
    i.setInput(packed);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buf = new byte[8192];
    try {
      while (!i.finished()) {
        int n = i.inflate(buf);
        if (n == 0 && (i.needsInput() || i.needsDictionary()) || out.size() > MAX_UNPACKED_BYTES)
          return null;
        out.write(buf, 0, n);
      }
    } catch (DataFormatException e) {
      return null;
    } finally {
      i.end();
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}

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
  static final int LARGEST = 1 << 20;
  private static final int LARGEST_PLAIN = 8 << 20;
  private final long most;
  private final ArrayDeque<Batch> batches = new ArrayDeque<>();
  private long bytes;
  private long refused;
  private long dropped;

  public DecisionLog(long mostBytes) {
    most = mostBytes;
  }

  /** False where it makes no sense; then nothing is changed. */
  public synchronized boolean add(Batch b) {
    boolean good =
        b.relay().matches("[a-z0-9][a-z0-9-]{0,30}")
            && b.incarnation().matches("[0-9a-f]{4}")
            && b.firstNumber() >= 0
            && b.lastNumber() >= b.firstNumber()
            && b.deflated().length <= LARGEST
            && plain(b.deflated()) != null;
    if (!good) {
      refused++;
      return false;
    }
    batches.addLast(b);
    bytes += b.deflated().length;
    while (bytes > most) {
      bytes -= batches.removeFirst().deflated().length;
      dropped++;
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
      for (String line : plain(b.deflated()).split("\n"))
        if (line.startsWith(begins))
          return Json.parse(line).asObject().add("skippedAtRelay", b.skippedCount());
    }
    return null;
  }

  public synchronized JsonObject json() {
    return Json.object()
        .add("batches", batches.size())
        .add("bytes", bytes)
        .add("most", most)
        .add("dropped", dropped)
        .add("turnedAway", refused);
  }

  static byte[] packed(List<byte[]> lines) {
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
  private static String plain(byte[] packed) {
    Inflater i = new Inflater();
    i.setInput(packed);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buf = new byte[8192];
    try {
      while (!i.finished()) {
        int n = i.inflate(buf);
        if (n == 0 && (i.needsInput() || i.needsDictionary()) || out.size() > LARGEST_PLAIN)
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

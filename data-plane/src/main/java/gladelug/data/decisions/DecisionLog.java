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
 * Stores decision records of relays on other machines; evicts the oldest batches beyond a bound in
 * bytes. Refuses a batch that is corrupt, too large or malformed. Performs no I/O.
 */
public final class DecisionLog {
  static final int MAX_PACKED_BYTES = 1 << 20;
  private static final int MAX_UNPACKED_BYTES = 8 << 20;
  private final long capacityBytes;
  private final ArrayDeque<Batch> batches = new ArrayDeque<>();
  private long storedBytes;
  private long refusedBatches;
  private long droppedBatches;

  public DecisionLog(long maxBytes) {
    capacityBytes = maxBytes;
  }

  /** Adds a batch; returns false, without any change, if the batch is invalid. */
  public synchronized boolean add(Batch batch) {
    boolean valid =
        batch.relay().matches("[a-z0-9][a-z0-9-]{0,30}")
            && batch.incarnation().matches("[0-9a-f]{4}")
            && batch.firstNumber() >= 0
            && batch.lastNumber() >= batch.firstNumber()
            && batch.deflated().length <= MAX_PACKED_BYTES
            && unpack(batch.deflated()) != null;
    if (!valid) {
      refusedBatches++;
      return false;
    }
    batches.addLast(batch);
    storedBytes += batch.deflated().length;
    while (storedBytes > capacityBytes) {
      storedBytes -= batches.removeFirst().deflated().length;
      droppedBatches++;
    }
    return true;
  }

  /** Returns the newest record of a request, or null. */
  public synchronized JsonObject find(String id) {
    String[] parts = id.split("\\.", -1);
    long number;
    try {
      number = parts.length == 3 ? Long.parseLong(parts[2]) : -1;
    } catch (NumberFormatException e) {
      return null;
    }
    if (number < 0) return null;
    String prefix = "{\"order\":\"" + id + "\"";
    for (Iterator<Batch> iterator = batches.descendingIterator(); iterator.hasNext(); ) {
      Batch batch = iterator.next();
      if (!batch.relay().equals(parts[0])
          || !batch.incarnation().equals(parts[1])
          || number < batch.firstNumber()
          || number > batch.lastNumber()) continue;
      for (String line : unpack(batch.deflated()).split("\n"))
        if (line.startsWith(prefix))
          return Json.parse(line).asObject().add("skippedAtRelay", batch.skippedCount());
    }
    return null;
  }

  /** Returns the status for operators. */
  public synchronized JsonObject toJson() {
    return Json.object()
        .add("batches", batches.size())
        .add("bytes", storedBytes)
        .add("most", capacityBytes)
        .add("dropped", droppedBatches)
        .add("turnedAway", refusedBatches);
  }

  /** Compresses the lines of a batch. */
  static byte[] pack(List<byte[]> lines) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream unpacked = new ByteArrayOutputStream();
    for (byte[] line : lines) {
      unpacked.writeBytes(line);
      unpacked.write('\n');
    }
    deflater.setInput(unpacked.toByteArray());
    deflater.finish();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buffer = new byte[8192];
    while (!deflater.finished()) out.write(buffer, 0, deflater.deflate(buffer));
    deflater.end();
    return out.toByteArray();
  }

  /** Returns the lines of a packed batch, or null if it is corrupt or too large. */
  private static String unpack(byte[] packed) {
    Inflater inflater = new Inflater();
    inflater.setInput(packed);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] buffer = new byte[8192];
    try {
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())
            || out.size() > MAX_UNPACKED_BYTES) return null;
        out.write(buffer, 0, count);
      }
    } catch (DataFormatException e) {
      return null;
    } finally {
      inflater.end();
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}

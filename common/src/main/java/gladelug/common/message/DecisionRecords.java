package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * What a relay sends to peers on other machines so that its requests can be explained when it is
 * gone: a numbered batch of decision records, a JSON text a line, deflated. Best effort; never
 * answered.
 */
public sealed interface DecisionRecords extends WireRecord {
  /**
   * low and high: the numbers of the requests in it; skipped: records left out so far for want of
   * room.
   */
  record Batch(
      String relay,
      String incarnation,
      long sequence,
      long firstNumber,
      long lastNumber,
      long skippedCount,
      byte[] deflated)
      implements DecisionRecords {
    @Override
    public int type() {
      return 1;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeUTF(relay);
      out.writeUTF(incarnation);
      out.writeLong(sequence);
      out.writeLong(firstNumber);
      out.writeLong(lastNumber);
      out.writeLong(skippedCount);
      WireRecord.writeBlob(out, deflated);
    }
  }

  static DecisionRecords read(int type, DataInputStream in) throws IOException {
    if (type != 1) throw WireRecord.unknownType(type);
    return new Batch(
        in.readUTF(),
        in.readUTF(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        WireRecord.readBlob(in));
  }
}

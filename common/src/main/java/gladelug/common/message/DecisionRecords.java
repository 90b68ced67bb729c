package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Decision records that a relay sends to peers on other machines, so that its requests can be
 * explained after the relay is gone. Delivery is best effort and never acknowledged.
 */
public sealed interface DecisionRecords extends WireRecord {
  /**
   * A numbered batch of decision records.
   *
   * @param firstNumber the lowest request number in the batch
   * @param lastNumber the highest request number in the batch
   * @param skippedCount number of records dropped so far for lack of space
   * @param deflated the records as deflated JSON, one per line
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

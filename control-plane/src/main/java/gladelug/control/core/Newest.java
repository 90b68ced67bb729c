/*
 * What a reader of a key is told by the key's owner: the number, digest and value committed last, or
 * that nobody owns the key at the moment, and then nothing else.
 */
package gladelug.control.core;

import gladelug.kernel.message.Wire;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** number 0 is "never written"; body is the value as it was sent. */
public record Newest(boolean owned, long number, String digest, byte[] body) {
  public static final Newest NO_OWNER = new Newest(false, 0, "", new byte[0]);

  static Newest of(Cell.Value v) {
    return new Newest(true, v.number(), v.digest(), v.body());
  }

  void write(DataOutputStream o) throws IOException {
    o.writeBoolean(owned);
    o.writeLong(number);
    o.writeUTF(digest);
    Wire.blob(o, body);
  }

  static Newest read(DataInputStream i) throws IOException {
    return new Newest(i.readBoolean(), i.readLong(), i.readUTF(), Wire.blob(i));
  }
}

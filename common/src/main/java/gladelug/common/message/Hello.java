package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** The first record on every connection: which protocol follows and who is calling. */
public record Hello(String protocol, String name) implements WireRecord {
  public static final String CORE = "core/1",
      STATE_UPDATES = "news/1",
      SHUFFLE = "shuffle/1",
      LOOKUP = "lookup/1",
      DECISION_RECORDS = "reasons/1";

  @Override
  public int type() {
    return 1;
  }

  @Override
  public void write(DataOutputStream out) throws IOException {
    out.writeUTF(protocol);
    out.writeUTF(name);
  }

  public static Hello read(int type, DataInputStream in) throws IOException {
    if (type != 1) throw WireRecord.unknownType(type);
    return new Hello(in.readUTF(), in.readUTF());
  }
}

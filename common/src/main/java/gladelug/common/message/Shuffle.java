package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * What neighbours exchange so that each keeps a partial view of the fleet: descriptors with ages. A
 * descriptor says whom to call and in which role, never what is true.
 */
public sealed interface Shuffle extends WireRecord {
  record Descriptor(
      String name,
      String role,
      String recordsAddress,
      String operatorAddress,
      String zone,
      long generation,
      int ageRounds) {
    public Descriptor aged() {
      return new Descriptor(
          name, role, recordsAddress, operatorAddress, zone, generation, ageRounds + 1);
    }
  }

  record Request(List<Descriptor> descriptors) implements Shuffle {
    @Override
    public int type() {
      return 1;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      WireRecord.writeList(out, descriptors, Shuffle::writeDescriptor);
    }
  }

  record Response(List<Descriptor> descriptors) implements Shuffle {
    @Override
    public int type() {
      return 2;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      WireRecord.writeList(out, descriptors, Shuffle::writeDescriptor);
    }
  }

  private static void writeDescriptor(DataOutputStream out, Descriptor d) throws IOException {
    out.writeUTF(d.name);
    out.writeUTF(d.role);
    out.writeUTF(d.recordsAddress);
    out.writeUTF(d.operatorAddress);
    out.writeUTF(d.zone);
    out.writeLong(d.generation);
    out.writeInt(d.ageRounds);
  }

  private static Descriptor readDescriptor(DataInputStream in) throws IOException {
    return new Descriptor(
        in.readUTF(),
        in.readUTF(),
        in.readUTF(),
        in.readUTF(),
        in.readUTF(),
        in.readLong(),
        in.readInt());
  }

  static Shuffle read(int type, DataInputStream in) throws IOException {
    return switch (type) {
      case 1 -> new Request(WireRecord.readList(in, Shuffle::readDescriptor));
      case 2 -> new Response(WireRecord.readList(in, Shuffle::readDescriptor));
      default -> throw WireRecord.unknownType(type);
    };
  }
}

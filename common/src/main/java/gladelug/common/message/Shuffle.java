package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * Messages with which neighbours maintain their partial views of the fleet. A descriptor states the
 * address and role of a process; it is never a source of truth about the control state.
 */
public sealed interface Shuffle extends WireRecord {
  /**
   * Describes a process of the fleet.
   *
   * @param generation generation of the core's member set that the process knows
   * @param ageRounds shuffle rounds since the process described itself
   */
  record Descriptor(
      String name,
      String role,
      String recordsAddress,
      String operatorAddress,
      String zone,
      long generation,
      int ageRounds) {
    /** Returns a copy that is one round older. */
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

  private static void writeDescriptor(DataOutputStream out, Descriptor descriptor)
      throws IOException {
    out.writeUTF(descriptor.name);
    out.writeUTF(descriptor.role);
    out.writeUTF(descriptor.recordsAddress);
    out.writeUTF(descriptor.operatorAddress);
    out.writeUTF(descriptor.zone);
    out.writeLong(descriptor.generation);
    out.writeInt(descriptor.ageRounds);
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

package gladelug.control.core.config;

import gladelug.common.Address;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.message.WireRecord;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The core's members of one generation: for each name the id of its disk and its address. The
 * generation rises with every replacement and every message between members carries it. Epochs hold
 * the generation, a counter and the member's slot, so no two members ever try with the same.
 */
public record MemberSet(long generation, List<Member> all) {
  public record Member(
      String name, String diskId, Address recordsAddress, Address operatorAddress) {}

  public static final MemberSet NONE = new MemberSet(0, List.of());

  /** The members of a generation, in whichever order; they are sorted by name. */
  public MemberSet {
    List<Member> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(Member::name));
    all = List.copyOf(sorted);
  }

  /** The member of this name, or null where there is none. */
  public Member find(String name) {
    for (Member member : all) if (member.name.equals(name)) return member;
    return null;
  }

  /** Whether the machine of this name was in that generation too, with the same disk. */
  public boolean retains(MemberSet before, String name) {
    Member now = find(name), then = before.find(name);
    return now != null && then != null && now.diskId.equals(then.diskId);
  }

  /** The place of a member in the order of names, from 0; -1 where there is none of that name. */
  public int slotOf(String name) {
    for (int slot = 0; slot < all.size(); slot++) if (all.get(slot).name.equals(name)) return slot;
    return -1;
  }

  /** How many members are a majority of all. */
  public int majoritySize() {
    return all.size() / 2 + 1;
  }

  /** The agreed order for a key: by name, rotated by the key so that duties spread. */
  public List<String> preferenceOrder(String key) {
    List<String> names = new ArrayList<>();
    int size = all.size(),
        first = Math.floorMod(key.hashCode() * 0x9E3779B1 >>> 7, Math.max(1, size));
    for (int step = 0; step < size; step++) names.add(all.get((first + step) % size).name);
    return names;
  }

  /**
   * The next epoch of this generation for the member of this name that is higher than the given
   * one.
   */
  public long nextEpoch(long above, String name) {
    long first = generation << 40;
    long counter = above >= first ? (above - first >> 8) + 1 : 1;
    return first | counter << 8 | slotOf(name);
  }

  /** Writes it as messages and entries on disk hold it. */
  public void write(DataOutputStream out) throws IOException {
    out.writeLong(generation);
    WireRecord.writeList(
        out,
        all,
        (fields, member) -> {
          fields.writeUTF(member.name);
          fields.writeUTF(member.diskId);
          fields.writeUTF(member.recordsAddress.toString());
          fields.writeUTF(member.operatorAddress.toString());
        });
  }

  /** Reads what write wrote; an IOException where that is no such thing. */
  public static MemberSet read(DataInputStream in) throws IOException {
    return new MemberSet(
        in.readLong(),
        WireRecord.readList(
            in,
            fields ->
                new Member(
                    fields.readUTF(),
                    fields.readUTF(),
                    Address.of(fields.readUTF()),
                    Address.of(fields.readUTF()))));
  }

  /** The entry that holds the set on disk, and the value of the key core. */
  public byte[] toBytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** As data-plane processes are told. */
  public byte[] toCoreMemberListJson() {
    return new CoreMemberList(
            all.stream()
                .map(
                    member ->
                        new CoreMemberList.Member(
                            member.name, member.recordsAddress, member.operatorAddress))
                .toList())
        .toJson()
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Members that were checked before. */
  public static MemberSet of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Members from anywhere; what is more or less than that is an IOException. */
  public static MemberSet parse(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      MemberSet members = read(in);
      if (in.available() > 0)
        throw new IOException(in.available() + " bytes after its end, as of a newer release");
      return members;
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}

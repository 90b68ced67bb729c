package gladelug.control.core.config;

import gladelug.common.Address;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.message.WireRecord;
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
 * The core members of one generation. The generation rises with every replacement of a member, and
 * every message between members carries it. An epoch consists of the generation, a counter and the
 * member's slot, so no two members ever use the same epoch.
 */
public record MemberSet(long generation, List<Member> all) {
  /**
   * One member.
   *
   * @param name the member's name
   * @param diskId the id of its disk; empty while it is not known
   * @param recordsAddress where other processes connect to it
   * @param operatorAddress where operators and the platform connect to it
   */
  public record Member(
      String name, String diskId, Address recordsAddress, Address operatorAddress) {}

  /** The empty set of generation 0, before the members are known. */
  public static final MemberSet NONE = new MemberSet(0, List.of());

  /** Creates the members of a generation, sorted by name. */
  public MemberSet {
    List<Member> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(Member::name));
    all = List.copyOf(sorted);
  }

  /** Returns the member with this name, or null if there is none. */
  public Member find(String name) {
    for (Member member : all) if (member.name.equals(name)) return member;
    return null;
  }

  /** Returns whether this member was also in the previous member set, with the same disk. */
  public boolean retains(MemberSet previous, String name) {
    Member current = find(name), former = previous.find(name);
    return current != null && former != null && current.diskId.equals(former.diskId);
  }

  /**
   * Returns the position of a member in the order of names, from 0; -1 if there is none with that
   * name.
   */
  public int slotOf(String name) {
    for (int slot = 0; slot < all.size(); slot++) if (all.get(slot).name.equals(name)) return slot;
    return -1;
  }

  /** Returns the smallest number of members that is a majority. */
  public int majoritySize() {
    return all.size() / 2 + 1;
  }

  /**
   * Returns the order in which members are preferred as owner of a key: by name, rotated by a hash
   * of the key to spread ownership.
   */
  public List<String> preferenceOrder(String key) {
    List<String> names = new ArrayList<>();
    int size = all.size(),
        firstSlot = Math.floorMod(key.hashCode() * 0x9E3779B1 >>> 7, Math.max(1, size));
    for (int offset = 0; offset < size; offset++)
      names.add(all.get((firstSlot + offset) % size).name);
    return names;
  }

  /**
   * Returns the next epoch of this generation for this member, higher than the given one.
   *
   * @param lowerBound an epoch of any generation
   * @param name the name of a member of this set
   */
  public long nextEpoch(long lowerBound, String name) {
    long base = generation << 40;
    long counter = lowerBound >= base ? (lowerBound - base >> 8) + 1 : 1;
    return base | counter << 8 | slotOf(name);
  }

  /** Writes the set in the format used in messages and on disk. */
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

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IOException if the bytes are malformed
   */
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

  /** Returns the set in the format used on disk and as the value of the key {@code core}. */
  public byte[] toBytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Returns the member list as sent to data-plane processes, JSON in UTF-8. */
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

  /**
   * Parses a set that was validated before.
   *
   * @throws UncheckedIOException if it is malformed nevertheless
   */
  public static MemberSet of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a set that may be malformed.
   *
   * @throws IOException if the bytes are not exactly one valid set
   */
  public static MemberSet parse(byte[] bytes) throws IOException {
    return StoredRecord.parse(bytes, MemberSet::read);
  }
}

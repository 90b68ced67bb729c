package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.HistoryEntry;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterStore;
import gladelug.control.core.register.VersionedValue;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads what core members keep on disk and write to one another, for tools that judge the protocol
 * from outside. It only decodes; the protocol itself does not use it.
 *
 * <p>Decoders of durable state and of values in messages.
 */
public final class StateDecoder {
  /** The durable entry that holds the members of the generation a member takes part in. */
  public static final String MEMBERS_ENTRY = DurableState.ACTIVE_MEMBERS;

  /** The durable entry that holds the next members a member has sealed its generation for. */
  public static final String SEALED_ENTRY = DurableState.SEALED_FOR;

  private StateDecoder() {}

  /** A numbered value, with the digests of the numbers before it that it remembers. */
  public record NumberedValue(
      long number, String digest, byte[] body, Map<Long, String> rememberedDigests) {}

  /** What one member keeps for one key. */
  public record DecodedRegister(long promised, long epoch, NumberedValue value) {}

  /** The key that a durable entry says something of, or an empty text for other entries. */
  public static String keyOf(String entry) {
    if (entry.startsWith(DurableState.REGISTER_PREFIX))
      return entry.substring(DurableState.REGISTER_PREFIX.length());
    if (entry.startsWith(DurableState.EPOCHS_PREFIX))
      return entry.substring(DurableState.EPOCHS_PREFIX.length());
    return "";
  }

  /** What all durable entries of a disk together say of a key that has one. */
  public static DecodedRegister decodeRegister(Map<String, byte[]> durable, String key) {
    Register c = RegisterStore.read(durable, key);
    return new DecodedRegister(c.promisedEpoch(), c.acceptedEpoch(), decodeValue(c.value()));
  }

  /** The value an owner asks the members to accept. */
  public static NumberedValue decodeValue(AcceptRequest accept) {
    return decodeValue(accept.value());
  }

  private static NumberedValue decodeValue(VersionedValue v) {
    Map<Long, String> remembered = new LinkedHashMap<>();
    for (HistoryEntry m : v.history()) remembered.put(m.number(), m.digest());
    return new NumberedValue(v.number(), v.digest(), v.body(), remembered);
  }

  /** Decodes a set of members: a durable entry, or a value of the key core. */
  public static MemberSet decodeMembers(byte[] encoded) {
    return encoded == null || encoded.length == 0 ? MemberSet.NONE : MemberSet.of(encoded);
  }

  /** Encodes a set of members as it is kept on disk. */
  public static byte[] encodeMembers(MemberSet members) {
    return members.toBytes();
  }

  /** The generation an epoch belongs to. */
  public static long generationOf(long epoch) {
    return epoch >> 40;
  }
}

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
 * Decodes the durable state of core members and values in their messages, for tools that check the
 * protocol from outside. The protocol itself does not use it.
 */
public final class StateDecoder {
  /** Name of the durable entry with the members of the generation that a member takes part in. */
  public static final String MEMBERS_ENTRY = DurableState.ACTIVE_MEMBERS;

  /** Name of the durable entry with the next members for which a member sealed its generation. */
  public static final String SEALED_ENTRY = DurableState.SEALED_FOR;

  private StateDecoder() {}

  /** A value with its version number, and the digests in its history by version number. */
  public record NumberedValue(
      long number, String digest, byte[] body, Map<Long, String> rememberedDigests) {}

  /**
   * The register that one member stores for one key.
   *
   * @param promised the highest promised epoch
   * @param epoch the epoch under which the value was accepted
   * @param value the accepted value
   */
  public record DecodedRegister(long promised, long epoch, NumberedValue value) {}

  /** Returns the key to which a durable entry belongs; an empty string for other entries. */
  public static String keyOf(String entry) {
    if (entry.startsWith(DurableState.REGISTER_PREFIX))
      return entry.substring(DurableState.REGISTER_PREFIX.length());
    if (entry.startsWith(DurableState.EPOCHS_PREFIX))
      return entry.substring(DurableState.EPOCHS_PREFIX.length());
    return "";
  }

  /**
   * Decodes the register of a key from all durable entries of a disk. The key must have an entry.
   */
  public static DecodedRegister decodeRegister(Map<String, byte[]> storedState, String key) {
    Register register = RegisterStore.read(storedState, key);
    return new DecodedRegister(
        register.promisedEpoch(), register.acceptedEpoch(), decodeValue(register.value()));
  }

  /** Decodes the value that an owner asks the members to accept. */
  public static NumberedValue decodeValue(AcceptRequest accept) {
    return decodeValue(accept.value());
  }

  private static NumberedValue decodeValue(VersionedValue value) {
    Map<Long, String> rememberedDigests = new LinkedHashMap<>();
    for (HistoryEntry entry : value.history())
      rememberedDigests.put(entry.number(), entry.digest());
    return new NumberedValue(value.number(), value.digest(), value.body(), rememberedDigests);
  }

  /**
   * Decodes a set of members from a durable entry or from a value of the key core; {@link
   * MemberSet#NONE} for null or an empty array.
   */
  public static MemberSet decodeMembers(byte[] encoded) {
    return encoded == null || encoded.length == 0 ? MemberSet.NONE : MemberSet.of(encoded);
  }

  /** Encodes a set of members as stored on disk. */
  public static byte[] encodeMembers(MemberSet members) {
    return members.toBytes();
  }

  /** Returns the generation to which an epoch belongs. */
  public static long generationOf(long epoch) {
    return epoch >> 40;
  }
}

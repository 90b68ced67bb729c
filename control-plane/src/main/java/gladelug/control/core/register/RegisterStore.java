package gladelug.control.core.register;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The registers of one member, in memory and on its disk. A complete register is written only if
 * its value is not yet on disk. A promise, or the same value under a higher epoch, is written as a
 * short record of the epochs alone, so that a change of owners does not write a large value again.
 * Not thread-safe: confined to the protocol's thread.
 */
public final class RegisterStore {
  /**
   * Space reserved for a key's data beside its body, in bytes: history, applied changes, prefix
   * sharing.
   */
  public static final int MAX_METADATA_BYTES = 48 << 10;

  /** The most bytes on disk that a key without a value takes. */
  private static final long EMPTY_REGISTER_BYTES = 512;

  private final DurableStorage storage;
  private final Map<String, Register> registers = new HashMap<>();

  /**
   * By key: the value in the newest complete register entry. Absent while that entry may not be
   * durable yet.
   */
  private final Map<String, VersionedValue> durableValues = new HashMap<>();

  /** By key: the number of complete registers handed to the storage so far. */
  private final Map<String, Long> writeCounts = new HashMap<>();

  /**
   * Loads all registers.
   *
   * @param entries the content of all entries on disk, by name; entries that hold no register are
   *     ignored
   */
  public RegisterStore(DurableStorage storage, Map<String, byte[]> entries) {
    this.storage = storage;
    entries.forEach(
        (name, record) -> {
          if (!name.startsWith(DurableState.REGISTER_PREFIX)) return;
          String key = name.substring(DurableState.REGISTER_PREFIX.length());
          registers.put(key, read(entries, key));
          durableValues.put(key, Register.of(record).value());
        });
  }

  /**
   * Returns the register of a key from its complete entry and the epochs recorded after it. The
   * complete entry must exist.
   */
  public static Register read(Map<String, byte[]> entries, String key) {
    Register register = Register.of(entries.get(DurableState.REGISTER_PREFIX + key));
    byte[] later = entries.get(DurableState.EPOCHS_PREFIX + key);
    return later == null ? register : EpochRecord.of(later).applyTo(register);
  }

  /** Returns the register of a key; EMPTY if nothing was ever promised or accepted. */
  public Register get(String key) {
    return registers.getOrDefault(key, Register.EMPTY);
  }

  /** Returns an upper bound of the disk space of all keys but one, in bytes. */
  public long bytesOfOtherKeys(String key) {
    long bytes = 0;
    for (Map.Entry<String, Register> entry : registers.entrySet()) {
      VersionedValue value = entry.getValue().value();
      if (entry.getKey().equals(key)) continue;
      bytes +=
          value.number() == 0 ? EMPTY_REGISTER_BYTES : MAX_METADATA_BYTES + value.body().length;
    }
    return bytes;
  }

  /** Returns which value of each key this member stores. */
  public List<RegisterVersion> versions() {
    List<RegisterVersion> versions = new ArrayList<>();
    registers.forEach(
        (key, register) ->
            versions.add(
                new RegisterVersion(key, register.acceptedEpoch(), register.value().number())));
    return versions;
  }

  /**
   * Returns all registers. A register whose value is one of the given versions, or older, is
   * returned without the value.
   */
  public List<RegisterRecord> recordsWithoutKnownValues(List<RegisterVersion> versions) {
    return recordsWithoutKnownValues(registers, versions);
  }

  /**
   * Returns these registers. A register whose value is one of the given versions, or older, is
   * returned without the value.
   */
  public static List<RegisterRecord> recordsWithoutKnownValues(
      Map<String, Register> registers, List<RegisterVersion> versions) {
    Map<String, RegisterVersion> known = new HashMap<>();
    for (RegisterVersion version : versions) known.put(version.key(), version);
    List<RegisterRecord> records = new ArrayList<>();
    registers.forEach(
        (key, register) ->
            records.add(
                new RegisterRecord(
                    key, recordsWithoutKnownValues(known.get(key), register).toBytes())));
    return records;
  }

  private static Register recordsWithoutKnownValues(RegisterVersion known, Register register) {
    return known != null && register.isReplacedBy(known.epoch(), known.number())
        ? new Register(register.promisedEpoch(), 0, VersionedValue.NONE)
        : register;
  }

  /** Returns all registers with their values. */
  public List<RegisterRecord> records() {
    return recordsWithoutKnownValues(List.of());
  }

  /** Returns a copy of the registers, by key. */
  public Map<String, Register> snapshot() {
    return new HashMap<>(registers);
  }

  /**
   * Replaces the register of a key, in memory at once; the completion runs once the register is
   * durable.
   */
  public void put(String key, Register register, Runnable onDurable) {
    registers.put(key, register);
    if (haveSameBytes(durableValues.get(key), register.value())) {
      storage.sync(DurableState.EPOCHS_PREFIX + key, EpochRecord.of(register).toBytes(), onDurable);
      return;
    }
    // until this entry is durable, no record of epochs may refer to it, nor to the one before
    durableValues.remove(key);
    long writeCount = writeCounts.merge(key, 1L, Long::sum);
    storage.sync(
        DurableState.REGISTER_PREFIX + key,
        register.toBytes(),
        () -> {
          if (writeCounts.get(key) == writeCount) durableValues.put(key, register.value());
          onDurable.run();
        });
  }

  /**
   * Returns whether both values have the same bytes on disk. Comparing the references first avoids
   * serializing the same object twice.
   */
  @SuppressWarnings("ReferenceEquality")
  private static boolean haveSameBytes(VersionedValue stored, VersionedValue next) {
    if (stored == next) return true;
    if (stored == null
        || stored.number() != next.number()
        || !stored.digest().equals(next.digest())) return false;
    return Arrays.equals(new Register(0, 0, stored).toBytes(), new Register(0, 0, next).toBytes());
  }

  /**
   * Validates a record of epochs.
   *
   * @throws IOException if it is malformed or longer than this release knows
   */
  public static void validateEpochs(byte[] record) throws IOException {
    EpochRecord.parse(record);
  }
}

package gladelug.control.core.register;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this member keeps of each key, in memory and on its disk. A value is written whole only when
 * it is new to the disk. A promise, or the value that is there already under a higher epoch, is
 * written as a short record of the epochs alone, so that a change of owners costs no copy of a
 * large value.
 */
public final class RegisterStore {
  /** Room for what is kept of a key beside its value, in bytes: history, taken changes, sharing. */
  public static final int MAX_METADATA_BYTES = 48 << 10;

  /** Bytes on disk of a key that holds no value, at the most. */
  private static final long EMPTY_REGISTER_BYTES = 512;

  private final DurableStorage storage;
  private final Map<String, Register> registers = new HashMap<>();

  /**
   * By key: the value in the newest whole record, once that record lasts; none while it may not.
   */
  private final Map<String, VersionedValue> durableValues = new HashMap<>();

  /** By key: counts the whole records handed to the disk. */
  private final Map<String, Long> writeCounts = new HashMap<>();

  /** durable: all records of the disk by name; what isn't a key's is left alone. */
  public RegisterStore(DurableStorage storage, Map<String, byte[]> durable) {
    this.storage = storage;
    durable.forEach(
        (name, record) -> {
          if (!name.startsWith(DurableState.REGISTER_PREFIX)) return;
          String key = name.substring(DurableState.REGISTER_PREFIX.length());
          registers.put(key, read(durable, key));
          durableValues.put(key, Register.of(record).value());
        });
  }

  /** The cell of a key that has a whole record, with the epochs recorded after it. */
  public static Register read(Map<String, byte[]> durable, String key) {
    Register whole = Register.of(durable.get(DurableState.REGISTER_PREFIX + key));
    byte[] later = durable.get(DurableState.EPOCHS_PREFIX + key);
    return later == null ? whole : EpochRecord.of(later).applyTo(whole);
  }

  /** The register of a key in memory; EMPTY where nothing was ever promised or accepted. */
  public Register get(String key) {
    return registers.getOrDefault(key, Register.EMPTY);
  }

  /** What all keys but one take on disk, in bytes. */
  public long bytesOfOtherKeys(String key) {
    long size = 0;
    for (Map.Entry<String, Register> e : registers.entrySet()) {
      VersionedValue value = e.getValue().value();
      if (e.getKey().equals(key)) continue;
      size += value.number() == 0 ? EMPTY_REGISTER_BYTES : MAX_METADATA_BYTES + value.body().length;
    }
    return size;
  }

  /** Which value of each key is here. */
  public List<RegisterVersion> versions() {
    List<RegisterVersion> versions = new ArrayList<>();
    registers.forEach(
        (key, c) -> versions.add(new RegisterVersion(key, c.acceptedEpoch(), c.value().number())));
    return versions;
  }

  /** All cells, those whose value is one of these versions, or older, without it. */
  public List<RegisterRecord> recordsWithoutKnownValues(List<RegisterVersion> versions) {
    return recordsWithoutKnownValues(registers, versions);
  }

  /** These registers, those whose value is one of these versions, or older, without it. */
  public static List<RegisterRecord> recordsWithoutKnownValues(
      Map<String, Register> cells, List<RegisterVersion> versions) {
    Map<String, RegisterVersion> known = new HashMap<>();
    for (RegisterVersion version : versions) known.put(version.key(), version);
    List<RegisterRecord> out = new ArrayList<>();
    cells.forEach(
        (key, cell) ->
            out.add(
                new RegisterRecord(
                    key, recordsWithoutKnownValues(known.get(key), cell).toBytes())));
    return out;
  }

  private static Register recordsWithoutKnownValues(RegisterVersion known, Register cell) {
    return known != null && cell.isReplacedBy(known.epoch(), known.number())
        ? new Register(cell.promisedEpoch(), 0, VersionedValue.NONE)
        : cell;
  }

  /** All registers, whole. */
  public List<RegisterRecord> records() {
    return recordsWithoutKnownValues(List.of());
  }

  /** The registers by key, a copy. */
  public Map<String, Register> snapshot() {
    return new HashMap<>(registers);
  }

  /** Counts in memory at once; done is run when it lasts. */
  public void put(String key, Register cell, Runnable done) {
    registers.put(key, cell);
    if (haveSameBytes(durableValues.get(key), cell.value())) {
      storage.sync(DurableState.EPOCHS_PREFIX + key, EpochRecord.of(cell).toBytes(), done);
      return;
    }
    // until this record lasts, no shorter one may build on it, nor on the one before
    durableValues.remove(key);
    long write = writeCounts.merge(key, 1L, Long::sum);
    storage.sync(
        DurableState.REGISTER_PREFIX + key,
        cell.toBytes(),
        () -> {
          if (writeCounts.get(key) == write) durableValues.put(key, cell.value());
          done.run();
        });
  }

  /** Whether both are the same on disk; one and the same object needs no comparing. */
  @SuppressWarnings("ReferenceEquality")
  private static boolean haveSameBytes(VersionedValue former, VersionedValue next) {
    if (former == next) return true;
    if (former == null
        || former.number() != next.number()
        || !former.digest().equals(next.digest())) return false;
    return Arrays.equals(new Register(0, 0, former).toBytes(), new Register(0, 0, next).toBytes());
  }

  /** Throws where a record of epochs can't be read, or holds more than this release knows. */
  public static void validateEpochs(byte[] record) throws IOException {
    EpochRecord.parse(record);
  }
}

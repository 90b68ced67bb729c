package gladelug.emulator.sim;

import gladelug.common.disk.RecordRing;
import gladelug.common.disk.Storage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A simulated disk: the production record ring on an in-memory medium. A sync takes time; if the
 * power fails before it completes, each sector of that write may or may not have reached the
 * medium. The disk can stall, fill up, fail, be lost as a whole, or become corrupt.
 */
final class SimDisk implements Storage {
  private static final int FILE_COUNT = 4, FILE_BYTES = 96 << 10;

  private static final int SECTOR_BYTES = 512;

  /** Delay before a write that a full disk refused is tried again. */
  private static final long RETRY_DELAY_MS = 100;

  private record Replaced(int file, int offset, byte[] bytes) {
    int lengthFrom(int position) {
      return Math.min(SECTOR_BYTES, bytes.length - position);
    }
  }

  private final Random random;
  private byte[][] files = new byte[FILE_COUNT][FILE_BYTES];

  /** Previous contents of the sectors that the current write replaces. */
  private final List<Replaced> replaced = new ArrayList<>();

  private RecordRing ring;
  private final List<RecordRing.Entry> entries = new ArrayList<>();
  private final List<Runnable> completions = new ArrayList<>();
  private boolean busy;
  private int processNumber;
  boolean stalled;
  boolean failing;

  /** Whether every write is refused, as by a full disk; pending writes are retried. */
  boolean full;

  /** Extra duration of each sync, as on an overloaded machine. */
  int extraSyncMs;

  long busySinceMs = -1;

  SimDisk(Random random) {
    this.random = random;
  }

  Map<String, byte[]> open() throws IOException {
    processNumber++;
    busy = false;
    busySinceMs = -1;
    entries.clear();
    completions.clear();
    ring = RecordRing.open(this);
    return ring.live();
  }

  /** Cuts the power: the sync in progress may be torn, and pending writes are lost. */
  void cutPower() {
    if (busy)
      for (Replaced old : replaced)
        for (int i = 0; i < old.bytes.length; i += SECTOR_BYTES)
          if (random.nextBoolean())
            System.arraycopy(old.bytes, i, files[old.file], old.offset + i, old.lengthFrom(i));
    processEnded();
  }

  /** Ends the process: writes that were still pending are lost with it. */
  void processEnded() {
    processNumber++;
    busy = false;
    entries.clear();
    completions.clear();
  }

  void wipe() {
    files = new byte[FILE_COUNT][FILE_BYTES];
  }

  void enqueue(
      String key, byte[] state, Runnable completion, Simulation sim, SimControlMachine owner) {
    entries.add(new RecordRing.Entry(key, state));
    completions.add(completion);
    if (stalled && busySinceMs < 0) busySinceMs = sim.nowMs();
    startWrite(sim, owner);
  }

  void startWrite(Simulation sim, SimControlMachine owner) {
    if (busy || entries.isEmpty() || stalled) return;
    if (failing) {
      owner.onDiskFailed();
      return;
    }
    busy = true;
    if (busySinceMs < 0) busySinceMs = sim.nowMs();
    Map<String, RecordRing.Entry> newestByKey = new LinkedHashMap<>();
    for (RecordRing.Entry entry : entries) newestByKey.put(entry.key(), entry);
    List<Runnable> pendingCompletions = new ArrayList<>(completions);
    entries.clear();
    completions.clear();
    replaced.clear();
    try {
      ring.write(new ArrayList<>(newestByKey.values()));
    } catch (RecordRing.WriteRefusedException exception) {
      retryLater(sim, owner, new ArrayList<>(newestByKey.values()), pendingCompletions);
      return;
    } catch (IOException exception) {
      owner.onDiskFailed();
      return;
    }
    int ownProcess = processNumber;
    finishLater(sim, owner, ownProcess, pendingCompletions);
  }

  /** Puts refused writes back in front of those that arrived since. */
  private void retryLater(
      Simulation sim,
      SimControlMachine owner,
      List<RecordRing.Entry> refused,
      List<Runnable> pendingCompletions) {
    int ownProcess = processNumber;
    entries.addAll(0, refused);
    completions.addAll(0, pendingCompletions);
    sim.after(
        RETRY_DELAY_MS,
        () -> {
          if (processNumber != ownProcess) return;
          busy = false;
          startWrite(sim, owner);
        });
  }

  private void finishLater(
      Simulation sim, SimControlMachine owner, int ownProcess, List<Runnable> pendingCompletions) {
    sim.after(
        extraSyncMs + 1 + random.nextInt(random.nextInt(6) == 0 ? 80 : 8),
        () -> {
          if (processNumber != ownProcess) return;
          if (stalled) {
            finishLater(sim, owner, ownProcess, pendingCompletions);
            return;
          }
          busy = false;
          busySinceMs = -1;
          for (Runnable task : pendingCompletions) owner.run(task);
          startWrite(sim, owner);
        });
  }

  long stalledForMs(long nowMs) {
    return busySinceMs < 0 ? 0 : nowMs - busySinceMs;
  }

  @Override
  public int fileCount() {
    return FILE_COUNT;
  }

  @Override
  public int fileBytes() {
    return FILE_BYTES;
  }

  @Override
  public byte[] read(int file) {
    return files[file].clone();
  }

  @Override
  public void write(int file, int offset, byte[] bytes) throws IOException {
    if (full) throw new IOException("no space left");
    replaced.add(
        new Replaced(file, offset, Arrays.copyOfRange(files[file], offset, offset + bytes.length)));
    System.arraycopy(bytes, 0, files[file], offset, bytes.length);
  }

  @Override
  public void sync(int file) {}
}

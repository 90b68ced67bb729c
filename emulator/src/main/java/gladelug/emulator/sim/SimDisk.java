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
 * A disk in the simulator: the product's own ring over a medium in memory. A sync takes a while; if
 * power goes before it is done, each sector of that write may or may not have reached the medium.
 * It can stall, fill, fail, be lost whole, or rot.
 */
final class SimDisk implements Storage {
  private static final int FILES = 4, SIZE = 96 << 10;

  private static final int SECTOR = 512;

  /** Between two tries of a write that a full disk refused, ms. */
  private static final long AGAIN = 100;

  private record Replaced(int file, int at, byte[] bytes) {
    int lengthFrom(int offset) {
      return Math.min(SECTOR, bytes.length - offset);
    }
  }

  private final Random random;
  private byte[][] files = new byte[FILES][SIZE];

  /** What the write under way has replaced. */
  private final List<Replaced> replaced = new ArrayList<>();

  private RecordRing ring;
  private final List<RecordRing.Entry> entries = new ArrayList<>();
  private final List<Runnable> dones = new ArrayList<>();
  private boolean busy;
  private int life;
  boolean stalled;
  boolean failing;

  /** Refuses every write, as a full disk does; what waits is tried again. */
  boolean full;

  /** Milliseconds more for each sync, as on a machine with too much to do. */
  int slow;

  long busySince = -1;

  SimDisk(Random random) {
    this.random = random;
  }

  Map<String, byte[]> open() throws IOException {
    life++;
    busy = false;
    busySince = -1;
    entries.clear();
    dones.clear();
    ring = RecordRing.open(this);
    return ring.live();
  }

  /** The power goes: what was being synced may be torn, what waited is gone. */
  void power() {
    if (busy)
      for (Replaced old : replaced)
        for (int i = 0; i < old.bytes.length; i += SECTOR)
          if (random.nextBoolean())
            System.arraycopy(old.bytes, i, files[old.file], old.at + i, old.lengthFrom(i));
    processEnded();
  }

  /** Nobody writes any more; what waited to be written is gone with the process. */
  void processEnded() {
    life++;
    busy = false;
    entries.clear();
    dones.clear();
  }

  void wipe() {
    files = new byte[FILES][SIZE];
  }

  void want(String key, byte[] state, Runnable done, Sim sim, SimControl owner) {
    entries.add(new RecordRing.Entry(key, state));
    dones.add(done);
    if (stalled && busySince < 0) busySince = sim.now();
    go(sim, owner);
  }

  void go(Sim sim, SimControl owner) {
    if (busy || entries.isEmpty() || stalled) return;
    if (failing) {
      owner.diskFailed();
      return;
    }
    busy = true;
    if (busySince < 0) busySince = sim.now();
    Map<String, RecordRing.Entry> last = new LinkedHashMap<>();
    for (RecordRing.Entry e : entries) last.put(e.key(), e);
    List<Runnable> ds = new ArrayList<>(dones);
    entries.clear();
    dones.clear();
    replaced.clear();
    try {
      ring.write(new ArrayList<>(last.values()));
    } catch (RecordRing.WriteRefusedException e) {
      tryAgain(sim, owner, new ArrayList<>(last.values()), ds);
      return;
    } catch (IOException e) {
      owner.diskFailed();
      return;
    }
    int l = life;
    done(sim, owner, l, ds);
  }

  /** Nothing was written: it waits in front of whatever has come since. */
  private void tryAgain(
      Sim sim, SimControl owner, List<RecordRing.Entry> refused, List<Runnable> ds) {
    int l = life;
    entries.addAll(0, refused);
    dones.addAll(0, ds);
    sim.after(
        AGAIN,
        () -> {
          if (life != l) return;
          busy = false;
          go(sim, owner);
        });
  }

  private void done(Sim sim, SimControl owner, int l, List<Runnable> ds) {
    sim.after(
        slow + 1 + random.nextInt(random.nextInt(6) == 0 ? 80 : 8),
        () -> {
          if (life != l) return;
          if (stalled) {
            done(sim, owner, l, ds);
            return;
          }
          busy = false;
          busySince = -1;
          for (Runnable task : ds) owner.run(task);
          go(sim, owner);
        });
  }

  long stalledFor(long now) {
    return busySince < 0 ? 0 : now - busySince;
  }

  @Override
  public int fileCount() {
    return FILES;
  }

  @Override
  public int fileBytes() {
    return SIZE;
  }

  @Override
  public byte[] read(int file) {
    return files[file].clone();
  }

  @Override
  public void write(int file, int at, byte[] bytes) throws IOException {
    if (full) throw new IOException("no space left");
    replaced.add(new Replaced(file, at, Arrays.copyOfRange(files[file], at, at + bytes.length)));
    System.arraycopy(bytes, 0, files[file], at, bytes.length);
  }

  @Override
  public void sync(int file) {}
}

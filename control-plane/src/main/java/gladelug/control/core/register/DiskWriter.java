package gladelug.control.core.register;

import gladelug.common.Clock;
import gladelug.common.FatalFailure;
import gladelug.common.Log;
import gladelug.common.disk.RecordRing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The disk's own thread: takes what waits, writes it as one frame, syncs once, and tells all who
 * waited. A sync that fails is never tried again; the member stops. A disk that takes no bytes, as
 * a full one does, is tried again: it looks stalled meanwhile, and the member hands its keys on.
 * stalled() lets the protocol see it.
 */
public final class DiskWriter implements AutoCloseable {
  private static final long RETRY_INTERVAL_MS = 100;

  private record PendingWrite(RecordRing.Entry entry, Runnable onDurable, long enqueuedAtMs) {}

  private final RecordRing ring;
  private final Clock clock;
  private final Consumer<Runnable> completionExecutor;
  private final Consumer<String> onFailure;
  private final ArrayBlockingQueue<PendingWrite> pendingWrites = new ArrayBlockingQueue<>(4096);
  private final Thread thread;
  private volatile long busySinceMs = -1;
  private volatile boolean hasFailed;
  private volatile boolean isClosing;
  private boolean isRefusingWrites;

  /**
   * Starts the disk's thread.
   *
   * @param completionExecutor where the completions of durable writes are run: the protocol's
   *     thread
   * @param onFailure is told why, on the disk's thread, when the disk failed and nothing more is
   *     written
   */
  public DiskWriter(
      RecordRing ring, Clock clock, Consumer<Runnable> back, Consumer<String> failed) {
    this.ring = ring;
    this.clock = clock;
    this.completionExecutor = back;
    this.onFailure = failed;
    thread = new Thread(this::runWriteLoop, "disk");
    thread.setDaemon(true);
    thread.start();
  }

  /** False where the ring of waiting writes is full: then nothing will be answered, as if lost. */
  public boolean enqueue(String key, byte[] state, Runnable done) {
    return !hasFailed
        && pendingWrites.offer(
            new PendingWrite(new RecordRing.Entry(key, state), done, clock.now()));
  }

  /** How long the disk has been at the present sync, in ms; 0 when idle. */
  public long stalledMs() {
    long b = busySinceMs;
    return b < 0 ? 0 : clock.now() - b;
  }

  private void runWriteLoop() {
    List<PendingWrite> batch = new ArrayList<>();
    while (!hasFailed && !isClosing) {
      try {
        // what a disk refused is written again with what has come since
        PendingWrite w =
            batch.isEmpty()
                ? pendingWrites.take()
                : pendingWrites.poll(RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (w != null) batch.add(w);
      } catch (InterruptedException e) {
        return;
      }
      pendingWrites.drainTo(batch);
      batch.removeIf(w -> w.entry == null);
      if (batch.isEmpty()) continue;
      if (busySinceMs < 0) busySinceMs = clock.now();
      Map<String, RecordRing.Entry> last = new LinkedHashMap<>();
      for (PendingWrite w : batch) last.put(w.entry.key(), w.entry);
      try {
        ring.write(new ArrayList<>(last.values()));
      } catch (RecordRing.WriteRefusedException e) {
        if (!isRefusingWrites) Log.warn("disk-refuses-writes", "what", e.toString());
        isRefusingWrites = true;
        continue;
      } catch (IOException | RuntimeException e) {
        hasFailed = true;
        Log.warn("disk-failed", "what", e.toString());
        onFailure.accept(e.toString());
        return;
      } catch (Error e) {
        FatalFailure.endProcess(thread.getName(), "ring.write", e);
        return;
      }
      busySinceMs = -1;
      if (isRefusingWrites) Log.event("disk-accepts-writes");
      isRefusingWrites = false;
      for (PendingWrite w : batch) completionExecutor.accept(w.onDurable);
      batch.clear();
    }
  }

  /**
   * What is being written is written to its end: an interrupt would break the file's channel under
   * it.
   */
  @Override
  public void close() {
    isClosing = true;
    pendingWrites.offer(new PendingWrite(null, () -> {}, clock.now()));
  }
}

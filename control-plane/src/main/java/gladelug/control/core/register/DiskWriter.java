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
 * Writes entries to the ring on a thread of its own: takes all pending writes, writes them as one
 * frame, syncs once, and runs their completions. A failed sync is never retried; the member stops.
 * A refused write, for example on a full disk, is retried. Meanwhile {@link #stalledMs} grows, by
 * which the protocol notices the stall and hands the member's keys over.
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

  /** When the current write began, by the clock; -1 while idle. */
  private volatile long busySinceMs = -1;

  private volatile boolean hasFailed;
  private volatile boolean isClosing;
  private boolean isRefusingWrites;

  /**
   * Starts the writer thread.
   *
   * @param completionExecutor runs the completions of durable writes, on the protocol's thread
   * @param onFailure receives the reason, on the writer thread, when the disk failed and nothing
   *     more will be written
   */
  public DiskWriter(
      RecordRing ring,
      Clock clock,
      Consumer<Runnable> completionExecutor,
      Consumer<String> onFailure) {
    this.ring = ring;
    this.clock = clock;
    this.completionExecutor = completionExecutor;
    this.onFailure = onFailure;
    thread = new Thread(this::runWriteLoop, "disk");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a write. Thread-safe.
   *
   * @return false if the queue is full or the disk failed; the write is then dropped and its
   *     completion never runs
   */
  public boolean enqueue(String key, byte[] state, Runnable onDurable) {
    return !hasFailed
        && pendingWrites.offer(
            new PendingWrite(new RecordRing.Entry(key, state), onDurable, clock.now()));
  }

  /** Returns how long the current write and sync has been in progress, in ms; 0 if idle. */
  public long stalledMs() {
    long startedAtMs = busySinceMs;
    return startedAtMs < 0 ? 0 : clock.now() - startedAtMs;
  }

  private void runWriteLoop() {
    List<PendingWrite> batch = new ArrayList<>();
    while (!hasFailed && !isClosing) {
      try {
        // retries a refused batch together with the writes queued since
        PendingWrite write =
            batch.isEmpty()
                ? pendingWrites.take()
                : pendingWrites.poll(RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (write != null) batch.add(write);
      } catch (InterruptedException e) {
        return;
      }
      pendingWrites.drainTo(batch);
      batch.removeIf(write -> write.entry == null);
      if (batch.isEmpty()) continue;
      if (busySinceMs < 0) busySinceMs = clock.now();
      Map<String, RecordRing.Entry> newestEntries = new LinkedHashMap<>();
      for (PendingWrite write : batch) newestEntries.put(write.entry.key(), write.entry);
      try {
        ring.write(new ArrayList<>(newestEntries.values()));
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
      for (PendingWrite write : batch) completionExecutor.accept(write.onDurable);
      batch.clear();
    }
  }

  /**
   * Stops the writer thread after the current write. The thread is not interrupted, because an
   * interrupt would close the file's channel in the middle of a write.
   */
  @Override
  public void close() {
    isClosing = true;
    pendingWrites.offer(new PendingWrite(null, () -> {}, clock.now()));
  }
}

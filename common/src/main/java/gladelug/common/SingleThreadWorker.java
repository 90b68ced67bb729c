package gladelug.common;

import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A thread with a bounded task queue. {@link #offer} returns false if the queue is full, so no
 * caller blocks. The state that the tasks use is confined to this thread. Tasks can be scheduled
 * for later on the same thread, by monotonic time.
 *
 * <p>An exception ends only the task that threw it and is logged; a periodic task still runs again.
 * After an {@link Error}, such as an OutOfMemoryError, the tasks' state may be inconsistent: the
 * handler for fatal failures is called, which by default ends the process.
 */
public final class SingleThreadWorker implements AutoCloseable {
  private record ScheduledTask(long dueAtMs, long sequence, Runnable run)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask o) {
      return dueAtMs != o.dueAtMs
          ? Long.compare(dueAtMs, o.dueAtMs)
          : Long.compare(sequence, o.sequence);
    }
  }

  private final String name;
  private final Clock clock;
  private final ArrayBlockingQueue<Runnable> queue;
  private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>();
  private final Thread thread;
  private final FatalFailure.Handler onFatal;
  private final StallDetector.WatchedThread watched;
  private volatile boolean open = true;
  private long nextSequence;

  /** Starts a worker that ends the process if a task throws an error. */
  public SingleThreadWorker(String name, int queueCapacity, Clock clock) {
    this(name, queueCapacity, clock, FatalFailure::endProcess);
  }

  /**
   * Starts the thread.
   *
   * @param queueCapacity maximum number of queued tasks
   * @param onFatal called on the worker's thread when a task throws an error
   */
  SingleThreadWorker(String name, int queueCapacity, Clock clock, FatalFailure.Handler onFatal) {
    this.onFatal = onFatal;
    this.name = name;
    this.clock = clock;
    this.queue = new ArrayBlockingQueue<>(queueCapacity);
    this.thread = new Thread(this::runLoop, name);
    thread.setDaemon(true);
    thread.start();
    this.watched = ProcessStalls.detector().watch(name, this::offer);
  }

  /** Queues a task; returns false if the queue is full or the worker is closed. */
  public boolean offer(Runnable task) {
    return open && queue.offer(task);
  }

  /** Runs a task after a delay. Must be called on the worker's own thread. */
  public void scheduleAfter(long delayMs, Runnable task) {
    scheduled.add(new ScheduledTask(clock.now() + delayMs, nextSequence++, task));
  }

  /** Runs a task now and again delayMs after each run ends. */
  public void scheduleEvery(long delayMs, Runnable task) {
    offer(() -> runAndReschedule(delayMs, task));
  }

  private void runAndReschedule(long delayMs, Runnable task) {
    try {
      task.run();
    } finally {
      scheduleAfter(delayMs, () -> runAndReschedule(delayMs, task));
    }
  }

  private void runLoop() {
    while (open) {
      try {
        ScheduledTask next = scheduled.peek();
        long waitMs = next == null ? 1000 : Math.max(0, next.dueAtMs - clock.now());
        Runnable task = waitMs == 0 ? queue.poll() : queue.poll(waitMs, TimeUnit.MILLISECONDS);
        if (task != null) runSafely(task);
        while ((next = scheduled.peek()) != null && next.dueAtMs <= clock.now())
          runSafely(scheduled.poll().run);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Log.thrown(
          "duty-problem",
          e,
          "duty",
          name,
          "at",
          e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "-");
    } catch (Error e) {
      onFatal.onFatal(name, task.getClass().getName(), e);
    }
  }

  @Override
  public void close() {
    watched.close();
    open = false;
    thread.interrupt();
  }
}

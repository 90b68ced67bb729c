package gladelug.common;

import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One thread with a bounded queue of tasks. Whoever offers a task to a full queue gets false and
 * must cope; nothing waits without bound. The state that the tasks touch is confined to this
 * thread. Tasks can be scheduled for later on the same thread, by monotonic time.
 *
 * <p>An exception ends the task that threw it and is logged; a periodic task comes again all the
 * same. An {@link Error}, such as want of memory, leaves the tasks' state in doubt: whoever is to
 * be told of it is told, and usually that ends the process.
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

  /** A worker whose process ends where a task throws an error. */
  public SingleThreadWorker(String name, int slots, Clock clock) {
    this(name, slots, clock, FatalFailure::endProcess);
  }

  /**
   * Starts the thread.
   *
   * @param slots how many tasks may wait
   * @param onFatal is told, on the worker's thread, of an error that a task threw
   */
  SingleThreadWorker(String name, int slots, Clock clock, FatalFailure.Handler onFatal) {
    this.onFatal = onFatal;
    this.name = name;
    this.clock = clock;
    this.queue = new ArrayBlockingQueue<>(slots);
    this.thread = new Thread(this::runLoop, name);
    thread.setDaemon(true);
    thread.start();
    this.watched = ProcessStalls.detector().watch(name, this::offer);
  }

  public boolean offer(Runnable task) {
    return open && queue.offer(task);
  }

  /** From the duty's own thread only. */
  public void scheduleAfter(long delayMs, Runnable task) {
    scheduled.add(new ScheduledTask(clock.now() + delayMs, nextSequence++, task));
  }

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
        ScheduledTask l = scheduled.peek();
        long wait = l == null ? 1000 : Math.max(0, l.dueAtMs - clock.now());
        Runnable task = wait == 0 ? queue.poll() : queue.poll(wait, TimeUnit.MILLISECONDS);
        if (task != null) runSafely(task);
        while ((l = scheduled.peek()) != null && l.dueAtMs <= clock.now())
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

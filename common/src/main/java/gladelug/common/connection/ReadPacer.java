package gladelug.common.connection;

import io.netty.channel.Channel;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time that an event loop spends on reads that cost much for their bytes, such as bodies
 * in chunks of a byte: half of each window. Connections beyond that are not read until their turn
 * comes, one after the other, so their bytes stay with their senders. A single such connection
 * loses at most half of its speed. One for each event loop, and confined to it.
 */
final class ReadPacer {
  private static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_SPENT_NS = WINDOW_NS / 2;

  private static final FastThreadLocal<ReadPacer> PACERS =
      new FastThreadLocal<>() {
        @Override
        protected ReadPacer initialValue() {
          return new ReadPacer();
        }
      };

  private final ArrayDeque<Channel> waiting = new ArrayDeque<>();
  private long windowStartedAtNs = System.nanoTime();
  private long spentNs;
  private boolean resumeScheduled;

  private ReadPacer() {}

  /** Returns the pacer of the calling event loop. */
  static ReadPacer current() {
    return PACERS.get();
  }

  /** Records a read that cost much, and lets its connection wait if the window's time is spent. */
  void onExpensiveRead(Channel channel, long durationNs) {
    startWindowIfDue();
    spentNs += durationNs;
    if (spentNs < MAX_SPENT_NS && waiting.isEmpty()) return;
    channel.config().setAutoRead(false);
    waiting.add(channel);
    resumeNext(channel);
  }

  private void startWindowIfDue() {
    long nowNs = System.nanoTime();
    if (nowNs - windowStartedAtNs < WINDOW_NS) return;
    windowStartedAtNs = nowNs;
    spentNs = 0;
  }

  /** Lets the next connection read, now or in the next window; its read lets the one after it. */
  private void resumeNext(Channel channel) {
    if (spentNs < MAX_SPENT_NS) {
      Channel next = waiting.poll();
      if (next == null) return;
      if (next.isOpen()) next.config().setAutoRead(true);
      else resumeNext(channel);
      return;
    }
    if (resumeScheduled) return;
    resumeScheduled = true;
    long delayNs = Math.max(0, windowStartedAtNs + WINDOW_NS - System.nanoTime());
    channel
        .eventLoop()
        .schedule(
            () -> {
              resumeScheduled = false;
              startWindowIfDue();
              resumeNext(channel);
            },
            delayNs,
            TimeUnit.NANOSECONDS);
  }
}

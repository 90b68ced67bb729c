package gladelug.data.relay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Time that passes from one event to the next; events of one moment come in the order given. */
final class SimulatedTime {
  private static final double START_MS = 1_000_000;

  private record Event(double atMs, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparing(Event::number));
  private double timeMs = START_MS;
  private long nextNumber;

  long nowMs() {
    return (long) timeMs;
  }

  void after(double ms, Runnable what) {
    events.add(new Event(timeMs + ms, nextNumber++, what));
  }

  /** Plays so many ms. */
  void run(long ms) {
    double until = timeMs + ms;
    while (!events.isEmpty() && events.peek().atMs <= until) {
      Event event = events.poll();
      timeMs = event.atMs;
      event.action.run();
    }
    timeMs = until;
  }
}

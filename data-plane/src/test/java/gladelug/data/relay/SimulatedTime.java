package gladelug.data.relay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Time that passes from one event to the next; events of one moment come in the order given. */
final class SimulatedTime {
  private static final double BEGINS_AT_MS = 1_000_000;

  private record Event(double at, long number, Runnable what) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::number));
  private double now = BEGINS_AT_MS;
  private long number;

  long nowMs() {
    return (long) now;
  }

  void after(double ms, Runnable what) {
    events.add(new Event(now + ms, number++, what));
  }

  /** Plays so many ms. */
  void run(long ms) {
    double until = now + ms;
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      event.what.run();
    }
    now = until;
  }
}

package gladelug.data.relay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time that advances from event to event; events at the same time run in the order they
 * were added.
 */
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

  void after(double ms, Runnable action) {
    events.add(new Event(timeMs + ms, nextNumber++, action));
  }

  /** Runs the events of the next ms milliseconds. */
  void run(long ms) {
    double untilMs = timeMs + ms;
    while (!events.isEmpty() && events.peek().atMs <= untilMs) {
      Event event = events.poll();
      timeMs = event.atMs;
      event.action.run();
    }
    timeMs = untilMs;
  }
}

package gladelug.data.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps the most recent decision records of a relay in a ring buffer indexed by request number. A
 * record that was overwritten is reported as such.
 */
public final class RecentDecisions {
  /** The result of a search for a record. */
  public sealed interface FindResult {
    /** The record is available. */
    record Present(Decision decision) implements FindResult {}

    /** The record was overwritten by a newer one. */
    record Overwritten() implements FindResult {}

    /** No such request is known to this relay. */
    record Unknown() implements FindResult {}

    /** The request belongs to another run of this relay. */
    record OtherRun() implements FindResult {}

    /** The text is not a request id. */
    record Malformed() implements FindResult {}
  }

  private final AtomicReferenceArray<Decision> ring;
  private final String relay;
  private final String runId;
  private final ConcurrentHashMap<String, Long> numbersByCallerId = new ConcurrentHashMap<>();
  private long nextNumber;

  public RecentDecisions(int size, String relay, long incarnation) {
    this.ring = new AtomicReferenceArray<>(size);
    this.relay = relay;
    this.runId = String.format("%04x", incarnation & 0xffff);
  }

  /** Returns the part of request ids that identifies this run of the relay. */
  public String runId() {
    return runId;
  }

  /** Begins the record of the next request. Called on the request thread only. */
  public Decision begin(long receivedAtMs) {
    long number = nextNumber;
    Decision decision = new Decision(relay + "." + runId + "." + number, number, receivedAtMs);
    Decision old = ring.getAndSet((int) (number % ring.length()), decision);
    if (old != null && !old.callerId.isEmpty()) numbersByCallerId.remove(old.callerId, old.number);
    nextNumber = number + 1;
    return decision;
  }

  /** Begins the record of the next request, which the caller identifies by its own id. */
  public Decision begin(long receivedAtMs, String callerId) {
    Decision decision = begin(receivedAtMs);
    decision.callerId = callerId;
    numbersByCallerId.put(callerId, decision.number);
    return decision;
  }

  /** Finds a record by the relay's id of the request or by the caller's id. */
  public FindResult find(String id) {
    Long number = numbersByCallerId.get(id);
    if (number == null) return findByRelayId(id);
    Decision decision = ring.get((int) (number % ring.length()));
    return decision != null && decision.number == number
        ? new FindResult.Present(decision)
        : new FindResult.Overwritten();
  }

  private FindResult findByRelayId(String id) {
    String[] parts = id.split("\\.", -1);
    long number;
    try {
      number = parts.length == 3 ? Long.parseLong(parts[2]) : -1;
    } catch (NumberFormatException e) {
      number = -1;
    }
    if (number < 0 || parts[0].isEmpty() || !parts[1].matches("[0-9a-f]{4}"))
      return new FindResult.Malformed();
    if (!parts[0].equals(relay)) return new FindResult.Unknown();
    if (!parts[1].equals(runId)) return new FindResult.OtherRun();
    // Decides from a single read of the slot, so that concurrent readers see a consistent state.
    Decision decision = ring.get((int) (number % ring.length()));
    if (decision == null || decision.number < number) return new FindResult.Unknown();
    return decision.number == number
        ? new FindResult.Present(decision)
        : new FindResult.Overwritten();
  }
}

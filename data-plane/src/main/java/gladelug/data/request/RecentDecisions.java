package gladelug.data.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The bounded ring of decision records a relay remembers, by the request's number. An older one is
 * overwritten and then reported as such.
 */
public final class RecentDecisions {
  public sealed interface FindResult {
    record Present(Decision decision) implements FindResult {}

    record Overwritten() implements FindResult {}

    record Unknown() implements FindResult {}

    record OtherRun() implements FindResult {}

    record Malformed() implements FindResult {}
  }

  private final AtomicReferenceArray<Decision> ring;
  private final String relay;
  private final String runId;
  private final ConcurrentHashMap<String, Long> numbersByCallerId = new ConcurrentHashMap<>();
  private long nextNumber;

  public RecentDecisions(int size, String relay, long run) {
    this.ring = new AtomicReferenceArray<>(size);
    this.relay = relay;
    this.runId = String.format("%04x", run & 0xffff);
  }

  public String runId() {
    return runId;
  }

  /** From the request thread only. */
  public Decision begin(long came) {
    long n = nextNumber;
    Decision decision = new Decision(relay + "." + runId + "." + n, n, came);
    Decision old = ring.getAndSet((int) (n % ring.length()), decision);
    if (old != null && !old.callerId.isEmpty()) numbersByCallerId.remove(old.callerId, old.number);
    nextNumber = n + 1;
    return decision;
  }

  /** The same, for a request that its caller names by an id of its own. */
  public Decision begin(long came, String alias) {
    Decision decision = begin(came);
    decision.callerId = alias;
    numbersByCallerId.put(alias, decision.number);
    return decision;
  }

  /** By the relay's id of a request, or by its caller's. */
  public FindResult find(String id) {
    Long nr = numbersByCallerId.get(id);
    if (nr == null) return findByRelayId(id);
    Decision decision = ring.get((int) (nr % ring.length()));
    return decision != null && decision.number == nr
        ? new FindResult.Present(decision)
        : new FindResult.Overwritten();
  }

  private FindResult findByRelayId(String id) {
    String[] ps = id.split("\\.", -1);
    long n;
    try {
      n = ps.length == 3 ? Long.parseLong(ps[2]) : -1;
    } catch (NumberFormatException e) {
      n = -1;
    }
    if (n < 0 || ps[0].isEmpty() || !ps[1].matches("[0-9a-f]{4}"))
      return new FindResult.Malformed();
    if (!ps[0].equals(relay)) return new FindResult.Unknown();
    if (!ps[1].equals(runId)) return new FindResult.OtherRun();
    // the slot alone tells all three, so that no two askers can see different moments
    Decision decision = ring.get((int) (n % ring.length()));
    if (decision == null || decision.number < n) return new FindResult.Unknown();
    return decision.number == n ? new FindResult.Present(decision) : new FindResult.Overwritten();
  }
}

package gladelug.data.request;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The state of a request: waiting, forwarded, streaming or ended. A single atomic transition takes
 * a request out of waiting, either to a replica or to a refusal, so it never has two outcomes. Only
 * a request that its replica reports as not run, or a repeatable request of which nothing was sent
 * to the caller, returns to waiting.
 */
public final class RequestState {
  /** The phases of a request, in order. */
  public enum Phase {
    WAITING,
    FORWARDED,
    STREAMING,
    ENDED
  }

  private final AtomicInteger phase = new AtomicInteger(Phase.WAITING.ordinal());

  public Phase phase() {
    return Phase.values()[phase.get()];
  }

  /** Moves to another phase if the request is in the given one; returns whether it did. */
  public boolean transition(Phase from, Phase to) {
    return phase.compareAndSet(from.ordinal(), to.ordinal());
  }

  /** Ends the request from any phase. Returns true for exactly one call. */
  public boolean end() {
    return phase.getAndSet(Phase.ENDED.ordinal()) != Phase.ENDED.ordinal();
  }
}

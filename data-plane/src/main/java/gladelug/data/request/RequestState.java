package gladelug.data.request;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Where a request is: waiting, forwarded, streaming, ended. One atomic step takes it out of
 * waiting, either to a replica or to a refusal, so it never has two outcomes. Only a replica that
 * says "not run", or a repeatable request with nothing yet out, goes back to waiting.
 */
public final class RequestState {
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

  public boolean transition(Phase from, Phase to) {
    return phase.compareAndSet(from.ordinal(), to.ordinal());
  }

  /** True for exactly one caller, whatever the request was at. */
  public boolean end() {
    return phase.getAndSet(Phase.ENDED.ordinal()) != Phase.ENDED.ordinal();
  }
}

package gladelug.control.instances;

import gladelug.control.core.message.ChangeResult;
import java.util.Optional;

/**
 * What a member has observed for a key and not yet seen accepted: who observed it may lose the key
 * before the change is through, and the source may say nothing more for a while. It is offered
 * again, to whoever owns the key, on the number it was based on, until it is accepted, a newer
 * number is there, or it is too old to count. Pure; not thread-safe.
 */
public final class PendingObservation {
  /** An observation that is older is given up. */
  private static final long MAX_AGE_MS = 30_000;

  /**
   * A change to propose again.
   *
   * @param baseNumber the version of the key's value that it was based on
   * @param value the observed value
   */
  public record Proposal(long baseNumber, byte[] value) {}

  private Optional<Proposal> pending = Optional.empty();
  private long observedAtMs;

  /** Something newer was observed, on this version of the key's value. */
  public void observe(long baseNumber, byte[] value, long nowMs) {
    pending = Optional.of(new Proposal(baseNumber, value));
    observedAtMs = nowMs;
  }

  /** What is to be offered again, empty where nothing is pending. */
  public Optional<Proposal> findProposal(long nowMs) {
    if (nowMs - observedAtMs > MAX_AGE_MS) pending = Optional.empty();
    return pending;
  }

  /** A change of the key ended so; one that certainly or perhaps wasn't accepted stays pending. */
  public void onChangeResult(ChangeResult result) {
    boolean mayBeOfferedAgain =
        result instanceof ChangeResult.NoOwner
            || result instanceof ChangeResult.QueueFull
            || result instanceof ChangeResult.Unknown;
    if (!mayBeOfferedAgain) pending = Optional.empty();
  }
}

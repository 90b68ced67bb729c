package gladelug.control.instances;

import gladelug.control.core.message.ChangeResult;
import java.util.Optional;

/**
 * An observed value of a key that has not been accepted yet. Its observer may lose ownership of the
 * key before the change completes, and the source may not be reachable for a while. The value is
 * therefore proposed again to the key's current owner, on the number that it was based on, until it
 * is accepted, a newer number exists, or it is too old. Not thread-safe.
 */
public final class PendingObservation {
  /** The age at which an observation is abandoned. */
  private static final long MAX_AGE_MS = 30_000;

  /**
   * A change to be proposed again.
   *
   * @param baseNumber the number of the key's value that the observation was based on
   * @param value the observed value
   */
  public record Proposal(long baseNumber, byte[] value) {}

  private Optional<Proposal> pending = Optional.empty();
  private long observedAtMs;

  /** Records a newer observation, based on this number of the key's value. */
  public void observe(long baseNumber, byte[] value, long nowMs) {
    pending = Optional.of(new Proposal(baseNumber, value));
    observedAtMs = nowMs;
  }

  /** Returns what is to be proposed again, or empty if nothing is pending. */
  public Optional<Proposal> findProposal(long nowMs) {
    if (nowMs - observedAtMs > MAX_AGE_MS) pending = Optional.empty();
    return pending;
  }

  /**
   * Records the result of a change of the key. The observation stays pending if the change was not
   * accepted for want of an owner or a free queue slot, or if its outcome is unknown.
   */
  public void onChangeResult(ChangeResult result) {
    boolean mayBeProposedAgain =
        result instanceof ChangeResult.NoOwner
            || result instanceof ChangeResult.QueueFull
            || result instanceof ChangeResult.Unknown;
    if (!mayBeProposedAgain) pending = Optional.empty();
  }
}

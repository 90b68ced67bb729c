package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.VersionedValue;

/** The services of a member that its {@link KeyOwner}s use; called on the core's thread only. */
interface OwnershipContext {
  /** Returns the core's configuration. */
  QuorumConfig config();

  /** Returns this member's name. */
  String self();

  /** Returns the members of the active generation. */
  MemberSet members();

  /** Returns the register that this member stores for a key. */
  Register register(String key);

  /** Returns the monotonic time, ms. */
  long nowMs();

  /**
   * Returns the wall-clock time in ms since the Unix epoch. It may jump, so it is used only for
   * timestamps shown to people.
   */
  long wallClockMs();

  /** Returns a random number from 0 (inclusive) to {@code bound} (exclusive). */
  long random(long bound);

  /** Sends to a member by name, this one included; may be lost. */
  void send(String member, CoreMessage message);

  /** Sends to all members, this one included; may be lost. */
  void broadcast(CoreMessage message);

  /** Logs an event with its field names and values, alternating. */
  void logEvent(String name, Object... pairs);

  /**
   * Returns whether contact with a majority has been missing for so long that nothing can be
   * served.
   */
  boolean isIsolatedFromMajority(long nowMs);

  /** Returns a number below that of every confirmation round that begins from now on. */
  long latestRoundNumber();

  /** Makes the next tick start a confirmation round. */
  void requestConfirmationRound();

  /** Lets another member be elected for a key before this one tries again. */
  void deferElection(String key, long nowMs);

  /** Returns the largest permitted body of a value of this key, in bytes. */
  long maxBodyBytes(String key);

  /**
   * Returns the maximum age in ms of the value with this number, according to the heartbeats of its
   * owners.
   */
  long knownAgeMs(String key, long number, long nowMs);

  /**
   * Returns for how many ms after a change of the weights data-plane processes may start requests
   * with the old ones.
   */
  int weightsAgeCutoffMs();

  /** Returns a one-line description of a change of a key's body, for operators. */
  String summarize(String key, byte[] oldBody, byte[] newBody);

  /**
   * Returns which cached prefixes tenants share after {@code nextBody} replaces a value; recorded
   * for the configuration only.
   */
  PrefixSharing prefixSharing(String key, VersionedValue value, byte[] nextBody);

  /** Called when the value is stored at a majority and is served from now on. */
  void onCommitted(String key, VersionedValue value);

  /** Pushes a new value to the data-plane processes that subscribe to its key. */
  void pushChange(String key, long epoch, VersionedValue previous, VersionedValue value);

  /** Called when the change with this number was acknowledged to its sender. */
  void onAcknowledged(String key, long number);
}

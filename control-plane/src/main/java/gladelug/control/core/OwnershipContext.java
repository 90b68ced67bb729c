package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.VersionedValue;

/** What a {@link KeyOwner} needs of the member it belongs to; all on the protocol's thread. */
interface OwnershipContext {
  /** Settings of the quorum. */
  QuorumConfig config();

  /** This member's name. */
  String self();

  /** The members of the active generation. */
  MemberSet members();

  /** What this member has on disk for a key. */
  Register register(String key);

  /** Monotonic time, ms. */
  long nowMs();

  /** Time of day, ms since 1970; may jump, so only for stamps that people read. */
  long wallClockMs();

  /** A random number from 0 up to this bound, exclusive. */
  long random(long bound);

  /** Sends to a member by name, this one included; may be lost. */
  void send(String member, CoreMessage message);

  /** Sends to all members, this one included; may be lost. */
  void broadcast(CoreMessage message);

  /** Logs an event with its key and value pairs. */
  void logEvent(String name, Object... pairs);

  /** Whether contact with a majority has been missing for so long that nothing can be served. */
  boolean isIsolatedFromMajority(long now);

  /**
   * The number of the newest confirmation round; rounds that begin from now on have higher ones.
   */
  long latestRoundNumber();

  /** Begins the next confirmation round at the next tick. */
  void requestConfirmationRound();

  /** Lets another member be elected for a key before this one tries again. */
  void deferElection(String key, long now);

  /** The greatest body a value of this key may have, bytes. */
  long maxBodyBytes(String key);

  /** How old at most the value with this number is by what its owners told, ms. */
  long knownAgeMs(String key, long number, long now);

  /** How old weights may be at a data-plane process, ms. */
  int weightsAgeCutoffMs();

  /** What a change of a key's body does, in a line for operators. */
  String summarize(String key, byte[] oldBody, byte[] newBody);

  /**
   * Which cached prefixes tenants share once a body follows a value; not recorded for other keys
   * than the configuration.
   */
  PrefixSharing prefixSharing(String key, VersionedValue value, byte[] nextBody);

  /** The value is on a majority of disks and is served from now on. */
  void onCommitted(String key, VersionedValue value);

  /** Pushes a new value to the data-plane processes that subscribe to its key. */
  void pushChange(String key, long epoch, VersionedValue previous, VersionedValue value);

  /** The change with this number was acknowledged to its sender. */
  void onAcknowledged(String key, long number);
}

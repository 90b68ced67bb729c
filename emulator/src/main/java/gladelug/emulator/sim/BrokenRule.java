package gladelug.emulator.sim;

import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;

/**
 * Rules of the core that a test breaks on purpose, to show that the judges of the simulator notice.
 */
enum BrokenRule {
  NONE,

  /** A member that tries to own a key asks itself alone, and its promise counts as that of all. */
  PROMISES_OF_A_MAJORITY,

  /** A member's own write counts as that of every member. */
  WRITES_OF_A_MAJORITY,

  /** A member's own confirmation counts as that of every member. */
  CONFIRMATIONS_OF_A_MAJORITY,

  /** A member answers before its disk has what it answers for. */
  DURABLE_BEFORE_ANSWERED,

  /** Changes that were taken are not remembered once others follow. */
  TAKEN_CHANGES_REMEMBERED,

  /** A member whose disk was lost comes back as though it were the same. */
  EMPTY_DISK_IS_ANOTHER;

  /** Whether a question to the others goes to the asking member itself in their place. */
  boolean sendsOnlyToSelf(CoreMessage message) {
    return this == PROMISES_OF_A_MAJORITY && message instanceof PrepareRequest;
  }

  /** Whether what a member says to itself is believed to be said by all. */
  boolean countsForAllMembers(CoreMessage message) {
    return switch (this) {
      case PROMISES_OF_A_MAJORITY -> message instanceof PrepareResponse;
      case WRITES_OF_A_MAJORITY -> message instanceof AcceptResponse;
      case CONFIRMATIONS_OF_A_MAJORITY -> message instanceof ConfirmResponse;
      default -> false;
    };
  }
}

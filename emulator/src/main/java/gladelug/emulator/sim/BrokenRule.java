package gladelug.emulator.sim;

import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;

/**
 * Rules of the core that a test can disable, to show that the simulator's checks detect the
 * violation.
 */
enum BrokenRule {
  NONE,

  /**
   * A candidate sends its promise request only to itself, and its own promise counts as that of
   * every member.
   */
  PROMISES_OF_A_MAJORITY,

  /** A member's own write counts as that of every member. */
  WRITES_OF_A_MAJORITY,

  /** A member's own confirmation counts as that of every member. */
  CONFIRMATIONS_OF_A_MAJORITY,

  /** A member answers before the state behind its answer is durable. */
  DURABLE_BEFORE_ANSWERED,

  /** Acknowledged changes are forgotten once later changes follow. */
  TAKEN_CHANGES_REMEMBERED,

  /** A member that lost its disk returns under the id of the old disk. */
  EMPTY_DISK_IS_ANOTHER;

  /** Returns whether a request to the other members is delivered to the sending member instead. */
  boolean sendsOnlyToSelf(CoreMessage message) {
    return this == PROMISES_OF_A_MAJORITY && message instanceof PrepareRequest;
  }

  /**
   * Returns whether a member's response to itself is also delivered as the response of every other
   * member.
   */
  boolean countsForAllMembers(CoreMessage message) {
    return switch (this) {
      case PROMISES_OF_A_MAJORITY -> message instanceof PrepareResponse;
      case WRITES_OF_A_MAJORITY -> message instanceof AcceptResponse;
      case CONFIRMATIONS_OF_A_MAJORITY -> message instanceof ConfirmResponse;
      default -> false;
    };
  }
}

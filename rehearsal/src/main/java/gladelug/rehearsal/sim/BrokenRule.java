/*
 * Rules of the core that a test breaks on purpose, to show that the judges of the simulator notice.
 */
package gladelug.rehearsal.sim;

import gladelug.control.core.CoreMessage;
import gladelug.control.core.CoreMessage.Accepted;
import gladelug.control.core.CoreMessage.Confirmed;
import gladelug.control.core.CoreMessage.Promised;

enum BrokenRule {
  NONE,

  /** A member's own promise counts as that of every member. */
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

  /** Whether what a member says to itself is believed to be said by all. */
  boolean speaksForAll(CoreMessage said) {
    return switch (this) {
      case PROMISES_OF_A_MAJORITY -> said instanceof Promised;
      case WRITES_OF_A_MAJORITY -> said instanceof Accepted;
      case CONFIRMATIONS_OF_A_MAJORITY -> said instanceof Confirmed;
      default -> false;
    };
  }
}

package gladelug.control.core;

/**
 * The reason why a {@link KeyOwner} gave up its epoch, as owner or as candidate; logged with the
 * event ownership-lost.
 */
enum StepDownReason {
  /** A member answered a prepare request that it has promised a higher epoch. */
  PREPARE_REJECTED,

  /** A member answered an accept request that it has promised a higher epoch. */
  ACCEPT_REJECTED,

  /**
   * A member answered a confirmation request that it has promised a higher epoch: another member
   * took the key.
   */
  CONFIRMATION_REJECTED,

  /**
   * So many members declined because they know of a working owner that a majority is impossible.
   */
  ELECTION_DECLINED,

  /** No majority answered within the election time-out. */
  ELECTION_TIMED_OUT,

  /** No majority confirmed the owner for two lease durations. */
  CONFIRMATION_TIMED_OUT,

  /** This member's disk does not complete writes in time. */
  DISK_UNHEALTHY,

  /** This process was asked to stop and gives up its keys. */
  DRAINING,

  /** Another generation of members became active, which has epochs of its own. */
  GENERATION_CHANGED,

  /** This generation was sealed at this member, which accepts nothing in it any more. */
  GENERATION_SEALED,

  /** This member does not belong to the newest generation. */
  MEMBER_REMOVED
}

package gladelug.control.core;

/** The reason of a change of the core's members; logged with each change. */
enum MembershipChangeReason {
  /** Members whose machines restarted with an empty disk rejoin with their new disks. */
  WIPED_DISK,

  /** A member has been out of contact for at least {@code replaceDeadAfterMs}. */
  DEAD,

  /** A member was asked to stop and is replaced before it stops. */
  DRAINING,

  /** The core grows towards the configured number of members. */
  GROWTH,

  /** An operator replaces a member with a machine that asked to join. */
  OPERATOR_REQUEST
}

package gladelug.control.core.register;

/**
 * What became of a number of a key, for the sender of a change whose outcome was reported as
 * unknown.
 */
public enum NumberStatus {
  /** The number was assigned to the sender's change. */
  APPLIED,

  /** The number was assigned to another change. */
  OTHER_CHANGE,

  /** The number has not been assigned so far; a change still in flight may get it. */
  NOT_ASSIGNED,

  /** The number is too old to tell. */
  EXPIRED
}

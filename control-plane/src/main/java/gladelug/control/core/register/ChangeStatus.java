package gladelug.control.core.register;

/** What a key's owner knows of a change that may have been sent before. */
public enum ChangeStatus {
  /** The same change, on the same base, was applied. */
  APPLIED,

  /** The change had not been applied as of the state that was queried. */
  NOT_APPLIED,

  /**
   * The change is based on a state too old to tell: it may have been applied and forgotten since.
   */
  EXPIRED
}

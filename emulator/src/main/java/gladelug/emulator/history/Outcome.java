package gladelug.emulator.history;

/** The outcome of one call of a change, as its caller was told. */
public enum Outcome {
  /** The change is in force, or was and has since been replaced. */
  ACKNOWLEDGED("acknowledged"),

  /** A version other than its base is current; the change never takes effect. */
  REFUSED("refused as stale"),

  /** No clear answer: the change may take effect at any time after the call started, or never. */
  UNKNOWN("no clear answer"),

  /** This call has no effect; another call of the same change may have one. */
  NOT_TAKEN("not taken by this call");

  private final String description;

  Outcome(String words) {
    this.description = words;
  }

  @Override
  public String toString() {
    return description;
  }
}

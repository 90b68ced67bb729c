package gladelug.emulator.history;

/**
 * One call of the register by an operator: its times, the member it went to, and its outcome. Times
 * are in ms on one clock that all callers share.
 */
public sealed interface Call {
  /** The end time of a call that has no clear answer. */
  long NO_END = Long.MAX_VALUE;

  /** Returns the operator that made the call. */
  String operator();

  /** Returns the member that was called. */
  String member();

  /** Returns the time at which the call was sent. */
  long startMs();

  /** Returns the time at which its answer arrived, or NO_END. */
  long endMs();

  /** Returns whether an order of effects has to explain this call. */
  boolean mustBeExplained();

  /** Returns the same call with an unknown outcome, or null if nothing remains of it. */
  Call withoutOutcome();

  /**
   * A call that sent a change.
   *
   * @param currentVersion the version that a refusal named as current, or UNKNOWN_VERSION
   */
  record ChangeCall(
      String operator,
      String member,
      long startMs,
      long endMs,
      Change change,
      Outcome outcome,
      long currentVersion)
      implements Call {
    /** The current version of a refusal that names none. */
    public static final long UNKNOWN_VERSION = -1;

    public ChangeCall {
      if (outcome == Outcome.UNKNOWN) endMs = NO_END;
      if (endMs < startMs) throw new IllegalArgumentException("the call ends before it starts");
    }

    @Override
    public boolean mustBeExplained() {
      return outcome == Outcome.ACKNOWLEDGED || outcome == Outcome.REFUSED;
    }

    @Override
    public Call withoutOutcome() {
      return new ChangeCall(
          operator, member, startMs, NO_END, change, Outcome.UNKNOWN, UNKNOWN_VERSION);
    }

    /** Returns whether the change can take effect by this call. */
    boolean mayTakeEffect() {
      return outcome == Outcome.ACKNOWLEDGED || outcome == Outcome.UNKNOWN;
    }
  }

  /**
   * A call that read the newest value; reads without an answer are not recorded.
   *
   * @param version the version read, 0 for a register that was never written
   * @param id the value read, empty for a register that was never written
   */
  record ReadCall(String operator, String member, long startMs, long endMs, long version, String id)
      implements Call {
    @Override
    public boolean mustBeExplained() {
      return true;
    }

    @Override
    public Call withoutOutcome() {
      return null;
    }
  }
}

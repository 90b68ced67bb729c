package gladelug.emulator.check;

/**
 * One step of a checked run. A step describes its target instead of holding a reference to an
 * object of one run, so that a run can still be replayed with some of its steps removed.
 *
 * <p>other: the sender of a message; what: the type of a message, or a key; amount, by kind: an
 * index, milliseconds, or a number of writes.
 */
record Step(Kind kind, String machine, String other, String what, long amount) {
  /** The kinds of steps. */
  enum Kind {
    /** The clock of one machine advances by amount and its timer fires. */
    TICK,
    /** The amount-th oldest message of a type from another machine arrives. */
    DELIVER,
    /** Like DELIVER, but the message also stays in flight. */
    DUPLICATE,
    /** The amount-th oldest message of a type is lost. */
    DROP,
    /** The oldest amount pending writes become durable; 0 stands for all. */
    SYNC,
    /** The process ends; the oldest amount pending writes are durable, the others are lost. */
    CRASH,
    /** The process starts again from its disk. */
    RESTART,
    /** The process ends and its disk is replaced by an empty one; amount holds WIPE flags. */
    WIPE,
    /** An operator sends a new value of a key; amount 1: only if the value kept here is current. */
    PROPOSE,
    /** An operator sends an earlier change again, amount requests back. */
    RESEND,
    /** An operator asks for the newest value of a key. */
    READ,
    /** An operator has the member named by other replaced by the one named by what. */
    SWAP,
    /** The disk monitor reports the disk as too slow (0) or healthy (1). */
    HEALTH
  }

  /** Flag of WIPE: the machine is started with the list of founders again. */
  static final long BOOTSTRAP_AGAIN = 1;

  /**
   * Flag of WIPE: the machine returns at a new address. Founders keep theirs, since they are listed
   * by address.
   */
  static final long NEW_ADDRESS = 2;

  static Step on(Kind kind, String machine) {
    return new Step(kind, machine, "", "", 0);
  }

  static Step on(Kind kind, String machine, long amount) {
    return new Step(kind, machine, "", "", amount);
  }

  static Step key(Kind kind, String machine, String key, long amount) {
    return new Step(kind, machine, "", key, amount);
  }

  @Override
  public String toString() {
    String text =
        switch (kind) {
          case TICK -> "tick +" + amount;
          case DELIVER -> "receives " + what + " from " + other;
          case DUPLICATE -> "receives a copy of " + what + " from " + other;
          case DROP -> "never receives " + what + " from " + other;
          case SYNC -> amount == 0 ? "syncs" : "syncs the first " + amount;
          case CRASH -> amount == 0 ? "crashes" : "crashes with " + amount + " writes durable";
          case RESTART -> "starts";
          case WIPE -> "loses its disk" + wipeFlags();
          case PROPOSE ->
              "is sent a value of " + what + (amount == 1 ? " based on its stored number" : "");
          case RESEND -> "is sent an earlier value again, " + amount + " back";
          case READ -> "is asked for " + what;
          case SWAP -> "is asked to replace " + other + " by " + what;
          case HEALTH -> amount == 0 ? "finds its disk slow" : "finds its disk healthy";
        };
    return text;
  }

  private String wipeFlags() {
    return ((amount & BOOTSTRAP_AGAIN) != 0 ? ", bootstraps again" : "")
        + ((amount & NEW_ADDRESS) != 0 ? ", new address" : "");
  }
}

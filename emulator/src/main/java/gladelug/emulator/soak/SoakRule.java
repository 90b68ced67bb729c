package gladelug.emulator.soak;

/** The rules that must hold in every soak test, whatever its plan. */
enum SoakRule {
  MIXED("a successful answer is the replica's complete and unchanged answer to this request"),
  UNASKED("a replica runs only requests that a client sent, unchanged and as the client's tenant"),
  TWICE("a request that must not be repeated runs at most once"),
  REFUSED("a request whose answer says that it did not run has not run"),
  KEY("no request runs with a key whose removal was acknowledged RevocationMs before it was sent"),
  WALL(
      "an isolated tenant uses no cached parts of other tenants, nor other tenants any of its parts"),
  DENIED("no valid request is denied that every possible configuration allows"),
  ANSWERED("a request has its final answer when its route's deadline has passed"),
  LOST_AT_STOP("a stop by SIGTERM cuts no request that could have ended within the grace period"),
  LOST_AT_CHANGE("configuration changes don't make a machine end requests without an answer"),
  LOST("an undisturbed machine ends no request without an answer"),
  BUDGET("retries stay within the retry budget of all machines"),
  ONE_WINNER("of two changes based on the same revision only one is acknowledged"),
  INVALID("an invalid configuration is not acknowledged"),
  SENT_AGAIN("an acknowledged change is not refused when it is sent again"),
  READ_BACK("the newest acknowledged configuration, or a later one, is read back as it was sent"),
  FENCE("no two holders send orders to a replica with the same fence token"),
  EXIT("no process ends by itself"),
  MEMORY("no process uses more memory than its limit"),
  READY("every relay is ready RecoveryS after the last disturbance"),
  RECOVERS(
      "at least a quarter of the requests sent RecoveryS after the last disturbance is served");

  final String description;

  SoakRule(String description) {
    this.description = description;
  }
}

package gladelug.emulator.soak;

/** What must hold of every soak, whatever its plan; the words are what a broken one is told in. */
enum SoakRule {
  MIXED("a success is the replica's own answer, whole, to this very request"),
  UNASKED("a replica runs only what a client sent, unchanged and in its tenant's name"),
  TWICE("a request that may not be repeated runs once at the most"),
  REFUSED("what is answered as not run has not run"),
  KEY("no request runs on a key whose end was acknowledged RevocationMs before it was sent"),
  WALL("an isolated tenant uses nothing of another's, nor another anything of its"),
  DENIED("no proper request is denied that every configuration allows"),
  ANSWERED("a request has its final answer when its route's time is over"),
  LOST_AT_STOP("SIGTERM cuts no request that could have ended within the grace period"),
  LOST_AT_CHANGE("configurations don't make a machine end requests without an answer"),
  LOST("a machine that nothing happens to ends no request without an answer"),
  BUDGET("further tries stay within the budget of all machines"),
  ONE_WINNER("of two changes on one version one is taken"),
  INVALID("an invalid configuration is not taken"),
  SENT_AGAIN("a change that was acknowledged is not refused when it is sent again"),
  READ_BACK("the newest acknowledged configuration is read back as it was sent"),
  FENCE("no two holders order a replica under one fence"),
  EXIT("no process ends by itself"),
  MEMORY("no process takes more memory than its machine has for it"),
  READY("every relay is ready once nothing disturbs it any more"),
  RECOVERS("a quarter of the requests is served RecoveryS after the last disturbance");

  final String description;

  SoakRule(String description) {
    this.description = description;
  }
}

package gladelug.control.core;

/**
 * Generates the ids by which this member matches responses to its requests. Confirmation rounds and
 * forwarded requests share one sequence. It starts at a random number, so that two runs of a
 * process do not use the same ids. Called on the core's thread only.
 */
final class RequestSequence {
  private long latest;

  RequestSequence(long first) {
    this.latest = first;
  }

  /** Returns an id greater than all earlier ones. */
  long next() {
    return ++latest;
  }

  /** Returns the last generated id. */
  long latest() {
    return latest;
  }
}

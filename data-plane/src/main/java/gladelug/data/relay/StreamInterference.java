package gladelug.data.relay;

/**
 * The delay that prompts and streams cause each other at a replica with continuous batching, in ms
 * that callers wait. Prompts are processed between the tokens of the running streams, so each
 * stream is delayed by the time a prompt takes. The cost of a request therefore includes the delay
 * its prompt causes to all streams of the replica, and the delay its own stream suffers from the
 * prompts that usually arrive there. All delays count the same, whichever request waits and
 * whatever longest pause its route allows.
 */
final class StreamInterference {
  private StreamInterference() {}

  /**
   * Returns the total delay that the prompt causes to the running streams of a replica, in ms.
   *
   * @param computeMs time to compute the prompt
   * @param running requests at the replica
   */
  static double causedMs(double computeMs, int running) {
    return running * computeMs;
  }

  /**
   * Returns the delay that the prompts usually arriving at a replica cause to the request's own
   * stream, in ms.
   *
   * @param prefillShare share of time the replica spends on prompts
   * @param replyMs duration of the stream after its first event
   */
  static double sufferedMs(double prefillShare, int replyMs) {
    return prefillShare * replyMs;
  }
}

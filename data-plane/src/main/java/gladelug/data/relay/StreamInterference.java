package gladelug.data.relay;

/**
 * What prompts and streams do to each other at a replica that batches continuously, in ms that
 * callers wait. Prompts are read between the tokens of the streams that run there, so each stream
 * there goes on later by as long as a prompt is read. A request's prompt therefore counts what it
 * holds up all streams of a replica, and its own stream what the prompts that usually come there
 * hold it up. A ms counts the same whoever waits for it and whatever its route names as the longest
 * pause.
 */
final class StreamInterference {
  private StreamInterference() {}

  /**
   * How long the request's prompt holds up the streams that run at a replica, all together.
   *
   * @param computeMs reading this prompt
   * @param running requests at the replica
   */
  static double causedMs(double computeMs, int running) {
    return running * computeMs;
  }

  /**
   * How long the prompts that usually come to a replica hold up the request's own stream.
   *
   * @param prefillShare the part of the time in which the replica reads prompts
   * @param replyMs how long the stream goes on after its first event
   */
  static double sufferedMs(double prefillShare, int replyMs) {
    return prefillShare * replyMs;
  }
}

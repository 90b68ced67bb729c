package gladelug.data.relay;

import gladelug.data.request.Request;

/**
 * What prompts and streams do to each other at a replica that batches continuously, in estimated
 * ms. Prompts are read between the tokens of the streams that run there, so a long one holds all of
 * them up, past the longest pause that a route allows. Long prompts therefore count the streams
 * that run at a replica, and streams the prompts that usually come there: the two come to be on
 * different replicas while there is room for that. Nothing counts on routes that name no pause.
 */
final class StreamInterference {
  /** What one stream's ms of pause count against a ms of the request's own wait. */
  private static final double STREAM_WEIGHT = 0.5;

  /** What a ms of prefill that a stream usually meets counts against a ms of its own wait. */
  private static final double PREFILL_WEIGHT = 0.5;

  /**
   * The share of the longest pause that prefill may take of a stream: an event may hold several
   * tokens, and a piece of the prompt is read before each of them.
   */
  private static final double SAFE_SHARE = 0.25;

  private StreamInterference() {}

  /**
   * How much the request's prompt, behind those that are read before it, holds up the streams that
   * run at a replica.
   *
   * @param prefillAheadMs until the prompts that the replica has are read
   * @param computeMs reading this prompt
   * @param running requests at the replica
   */
  static double causedMs(Request request, double prefillAheadMs, double computeMs, int running) {
    int pauseMs = longestPauseMs(request);
    double beyondSafeMs = prefillAheadMs + computeMs - pauseMs * SAFE_SHARE;
    double heldUpMs = Math.min(Math.min(pauseMs, computeMs), beyondSafeMs);
    return STREAM_WEIGHT * running * Math.max(0, heldUpMs);
  }

  /**
   * How much the prompts that usually come to a replica hold up the request's own stream.
   *
   * @param usualPrefillMs how long prompts keep the replica busy at a random moment
   * @param replyMs how long the stream goes on after its first event
   */
  static double sufferedMs(Request request, double usualPrefillMs, int replyMs) {
    int pauseMs = longestPauseMs(request);
    if (pauseMs == 0) return 0;
    return PREFILL_WEIGHT * usualPrefillMs * Math.min(1, (double) replyMs / pauseMs);
  }

  /** The longest pause that the request's route allows, in ms; 0 where it names none. */
  private static int longestPauseMs(Request request) {
    return request.route == null ? 0 : Math.max(0, request.route.gapMs());
  }
}

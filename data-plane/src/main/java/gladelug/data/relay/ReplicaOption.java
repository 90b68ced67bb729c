package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * One replica a request may go to, and what that is estimated to cost.
 *
 * @param backend the replica
 * @param matchedBlocks leading blocks of the prompt that it keeps
 * @param fetchFrom the holder from which it is to pull what it doesn't keep; empty for none
 * @param fetchBlocks how many blocks it pulls from there
 * @param queueMs the wait there before the request begins
 * @param prefillMs pulling and computing what isn't kept
 * @param computeUnits units (tokens) that are left to compute
 * @param totalMs all of that with its distance: what options are compared by
 */
record ReplicaOption(
    Backend backend,
    int matchedBlocks,
    String fetchFrom,
    int fetchBlocks,
    double queueMs,
    double prefillMs,
    int computeUnits,
    double totalMs) {
  JsonObject json(boolean chosen) {
    return Json.object()
        .add("replica", backend.replica.instance())
        .add("matched", matchedBlocks)
        .add("fetchFrom", fetchFrom)
        .add("fetchBlocks", fetchBlocks)
        .add("load", backend.load() - (chosen ? 1 : 0))
        .add("backlogMs", round(queueMs))
        .add("workMs", round(prefillMs))
        .add("totalMs", round(totalMs));
  }

  private static double round(double ms) {
    return Math.round(ms * 10) / 10.0;
  }
}

package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * A replica a request may be sent to, with the estimated cost.
 *
 * @param backend the replica
 * @param matchedBlocks leading blocks of the prompt cached there
 * @param fetchFrom the holder from which it pulls missing blocks; empty for none
 * @param fetchBlocks how many blocks it pulls from there
 * @param queueMs the wait before the request starts
 * @param prefillMs time to pull and compute the missing part
 * @param computeUnits units (tokens) left to compute
 * @param totalMs the sum of these and the other costs, by which options are compared
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

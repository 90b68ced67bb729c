package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;

/**
 * Estimates the cost of a request at a replica, in ms: queueing, pulling or computing the part of
 * the prompt that is not cached, distance, and the delay that prompts and streams cause each other.
 * The matches of the Cuckoo Summary tell what is cached; a wrong match costs a recompute. Used on
 * the request thread.
 */
final class ReplicaCosts {
  /** Setup time of a pull from another holder, in ms. */
  private static final double FETCH_SETUP_MS = 2;

  /** Cost of a replica that is about to load other weights, in ms. */
  private static final double WEIGHT_LOADING_MS = 600;

  /** Cost per request beyond the slots of a replica, in ms. */
  private static final double OVER_SLOTS_MS = 20;

  /** Number of blocks pulled over a link of unknown speed. */
  private static final int PROBE_BLOCKS = 2;

  private final Relay relay;
  private final ChoiceMode choiceMode;

  ReplicaCosts(Relay relay, ChoiceMode choiceMode) {
    this.relay = relay;
    this.choiceMode = choiceMode;
  }

  /**
   * The cached prefix of a prompt at a replica: whole blocks, and units including a partial block.
   */
  private record Kept(int blocks, int units) {}

  /**
   * How the missing part of a prompt is obtained: the holder to pull from (empty for none), and the
   * units left to compute.
   */
  private record Prefill(String holder, int fetchBlocks, int computeUnits, double ms) {}

  /**
   * Returns the units of the prompt's prefix that a holder has cached: whole blocks and a part of
   * the next.
   */
  static int keptUnits(Request request, Lookup.Match match) {
    int wholeBlocks = Math.min(request.blockKeys.length, match.blocks());
    int units = request.promptUnits(wholeBlocks);
    return wholeBlocks < request.blockKeys.length
        ? units + Math.min(match.partialUnits(), request.prompt.blockUnits(wholeBlocks))
        : units;
  }

  /**
   * Returns the units of the prompt that other requests may have in common: all blocks except its
   * own last one.
   */
  static int sharedUnits(Request request) {
    return request.promptUnits(Math.max(0, request.blockKeys.length - 1));
  }

  /** Returns the replica with the estimated cost of sending the request there now. */
  ReplicaOption estimate(Request request, Backend backend, long nowMs) {
    int promptUnits = request.promptUnits();
    boolean sameWeights =
        relay.effectiveWeights(backend, request.model).equals(request.weights)
            && choiceMode != ChoiceMode.LEAST_LOAD;
    Kept kept = sameWeights ? findKept(request, backend, nowMs) : new Kept(0, 0);
    int missingUnits = promptUnits - kept.units;
    Prefill prefill = new Prefill("", 0, missingUnits, missingUnits * backend.computeMsPerUnit);
    if (sameWeights && choiceMode == ChoiceMode.SUMMARY)
      for (Lookup.Match match : request.matches)
        prefill = cheaperPrefill(prefill, request, backend, kept, match, nowMs);
    double queueMs =
        backend.estimatedQueueMs(
                nowMs,
                relay.relayCount.getAsInt(),
                promptUnits + request.maxTokensOut,
                relay.settings)
            + Math.max(0, backend.runningRequests(nowMs) - backend.slots + 1) * OVER_SLOTS_MS
            + (relay.settings.isEnabled(Mechanism.ROLLOUT_AVOIDANCE)
                    && relay.isLoadingWeights(backend, request.model)
                ? WEIGHT_LOADING_MS
                : 0);
    double distanceMs =
        backend.replica.zone().equals(relay.zone)
                || !relay.settings.isEnabled(Mechanism.ZONE_PREFERENCE)
            ? 0
            : relay.settings.otherZoneMs();
    return new ReplicaOption(
        backend,
        kept.blocks,
        prefill.holder,
        prefill.fetchBlocks,
        queueMs,
        prefill.ms,
        prefill.computeUnits,
        queueMs
            + prefill.ms
            + distanceMs
            + displacementMs(missingUnits, backend)
            + interferenceMs(request, backend, prefill, nowMs));
  }

  /**
   * Returns the cost of evicting other blocks by storing a copy, in ms of recomputing them. Nothing
   * is lost while memory is plentiful; if every stored block evicts another, the cost is the share
   * that would be requested again.
   */
  private double displacementMs(int storedUnits, Backend backend) {
    if (!relay.settings.isEnabled(Mechanism.DISPLACEMENT_COST)) return 0;
    return relay.evictedShare() * relay.reuseShare.share() * storedUnits * backend.computeMsPerUnit;
  }

  /** Returns the delay that the request and the others at the replica cause each other, in ms. */
  private double interferenceMs(Request request, Backend backend, Prefill prefill, long nowMs) {
    if (!relay.settings.isEnabled(Mechanism.STREAM_INTERFERENCE)) return 0;
    return StreamInterference.causedMs(
            prefill.computeUnits * backend.computeMsPerUnit, backend.runningRequests(nowMs))
        + StreamInterference.sufferedMs(
            backend.recentPrefillShare(), relay.estimates.expectedReplyMs(request));
  }

  /**
   * Returns the prefix cached at the replica according to the index's matches and to this relay's
   * recent placements.
   */
  private Kept findKept(Request request, Backend backend, long nowMs) {
    String instance = backend.replica.instance();
    int blocks = 0;
    int units = 0;
    for (Lookup.Match match : request.matches)
      if (match.holder().equals(instance) && keptUnits(request, match) >= units) {
        blocks = Math.min(request.blockKeys.length, match.blocks());
        units = keptUnits(request, match);
      }
    int sentBlocks =
        backend.reportsLoad || !relay.settings.isEnabled(Mechanism.RECENT_PLACEMENTS)
            ? 0
            : relay.placements.leadingBlocks(request.blockKeys, instance, nowMs);
    return sentBlocks > blocks
        ? new Kept(sentBlocks, request.promptUnits(sentBlocks))
        : new Kept(blocks, units);
  }

  /**
   * Returns the transfer time per unit over a store's link, in ms; negative if no pull of this size
   * may be requested now.
   */
  private static double storeMsPerUnit(PrefixStore store, Backend backend, int units, long nowMs) {
    double msPerUnit = store.transferMsPerUnit(backend);
    return msPerUnit >= 0 && store.link().mayPull(units * msPerUnit, nowMs) ? msPerUnit : -1;
  }

  /** Returns the prefill that pulls from this holder if that is cheaper than the given one. */
  private Prefill cheaperPrefill(
      Prefill cheapest,
      Request request,
      Backend backend,
      Kept kept,
      Lookup.Match match,
      long nowMs) {
    int blocks = Math.min(request.blockKeys.length, match.blocks()) - kept.blocks;
    int pulledUnits = keptUnits(request, match) - kept.units;
    Replica holder = relay.findHolder(match.holder());
    if (pulledUnits <= 0 || holder == null) return cheapest;
    PrefixStore store = relay.stores.find(match.holder());
    if (!relay.settings.isEnabled(store == null ? Mechanism.REPLICA_FETCH : Mechanism.STORE_FETCH))
      return cheapest;
    if (store == null && backend.isLinkSpeedUnknown(match.holder(), nowMs))
      pulledUnits = blocks = Math.min(blocks, PROBE_BLOCKS);
    double msPerUnit =
        store == null
            ? backend.pullMsPerUnit(match.holder(), holder.zone(), nowMs)
            : storeMsPerUnit(store, backend, pulledUnits, nowMs);
    int remainingUnits = request.promptUnits() - kept.units - pulledUnits;
    double ms =
        FETCH_SETUP_MS + pulledUnits * msPerUnit + remainingUnits * backend.computeMsPerUnit;
    if (msPerUnit < 0 || ms >= cheapest.ms) return cheapest;
    return new Prefill(match.holder(), Math.max(1, blocks), remainingUnits, ms);
  }
}

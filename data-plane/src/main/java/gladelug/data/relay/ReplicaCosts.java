package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;

/**
 * What a request costs at a replica, in estimated ms: the wait there, what isn't kept to be pulled
 * or computed, distance, and what prompts and streams there hold each other up. The matches of the
 * Cuckoo Summary say what is kept; a wrong one costs a recompute. Used on the request thread.
 */
final class ReplicaCosts {
  /** Setting up a pull from another holder, in ms. */
  private static final double FETCH_SETUP_MS = 2;

  /** Going to a replica that is about to load other weights, in ms. */
  private static final double WEIGHT_LOADING_MS = 600;

  /** A request beyond the slots of a replica, in ms. */
  private static final double OVER_SLOTS_MS = 20;

  /** How many blocks are pulled over a link whose speed is not known. */
  private static final int PROBE_BLOCKS = 2;

  private final Relay relay;
  private final ChoiceMode choiceMode;

  ReplicaCosts(Relay relay, ChoiceMode mode) {
    this.relay = relay;
    this.choiceMode = mode;
  }

  /** What a replica keeps of a prompt's first blocks: whole blocks, and units with those. */
  private record Kept(int blocks, int units) {}

  /** How what isn't kept gets there: from a holder or not, and what is left to compute. */
  private record Prefill(String holder, int fetchBlocks, int computeUnits, double ms) {}

  /** Units that a holder keeps of the prompt's first blocks: whole ones, and a part of the next. */
  static int keptUnits(Request request, Lookup.Match match) {
    int whole = Math.min(request.blockKeys.length, match.blocks());
    int units = request.promptUnits(whole);
    return whole < request.blockKeys.length
        ? units + Math.min(match.partialUnits(), request.prompt.blockUnits(whole))
        : units;
  }

  /** Units of the prompt that other requests may ask for: all blocks but its own last one. */
  static int sharedUnits(Request request) {
    return request.promptUnits(Math.max(0, request.blockKeys.length - 1));
  }

  /** The cost of sending the request there now. */
  ReplicaOption estimate(Request request, Backend backend, long now) {
    int all = request.promptUnits();
    boolean same =
        relay.effectiveWeights(backend, request.model).equals(request.weights)
            && choiceMode != ChoiceMode.LEAST_LOAD;
    Kept kept = same ? findKept(request, backend, now) : new Kept(0, 0);
    int missing = all - kept.units;
    Prefill prefill = new Prefill("", 0, missing, missing * backend.computeMsPerUnit);
    if (same && choiceMode == ChoiceMode.SUMMARY)
      for (Lookup.Match match : request.matches)
        prefill = cheaperPrefill(prefill, request, backend, kept, match, now);
    double queue =
        backend.estimatedQueueMs(
                now, relay.relayCount.getAsInt(), all + request.maxTokensOut, relay.settings)
            + Math.max(0, backend.runningRequests(now) - backend.slots + 1) * OVER_SLOTS_MS
            + (relay.settings.isEnabled(Mechanism.ROLLOUT_AVOIDANCE)
                    && relay.isLoadingWeights(backend, request.model)
                ? WEIGHT_LOADING_MS
                : 0);
    double distance =
        backend.replica.zone().equals(relay.zone)
                || !relay.settings.isEnabled(Mechanism.ZONE_PREFERENCE)
            ? 0
            : relay.settings.otherZoneMs();
    return new ReplicaOption(
        backend,
        kept.blocks,
        prefill.holder,
        prefill.fetchBlocks,
        queue,
        prefill.ms,
        prefill.computeUnits,
        queue
            + prefill.ms
            + distance
            + displacementMs(missing, backend)
            + interferenceMs(request, backend, prefill, now));
  }

  /**
   * What a copy of so many units drives out there, in ms of computing it again: nothing while
   * memory is plenty; where every stored block drives another out, as much as is asked for again.
   */
  private double displacementMs(int storedUnits, Backend backend) {
    if (!relay.settings.isEnabled(Mechanism.DISPLACEMENT_COST)) return 0;
    return relay.evictedShare() * relay.reuseShare.share() * storedUnits * backend.computeMsPerUnit;
  }

  /** What the request and the others at the replica hold each other up. */
  private double interferenceMs(Request request, Backend backend, Prefill prefill, long now) {
    if (!relay.settings.isEnabled(Mechanism.STREAM_INTERFERENCE)) return 0;
    return StreamInterference.causedMs(
            prefill.computeUnits * backend.computeMsPerUnit, backend.runningRequests(now))
        + StreamInterference.sufferedMs(
            backend.recentPrefillShare(), relay.estimates.expectedReplyMs(request));
  }

  /** By the index's matches, and by what this relay sent there a moment ago. */
  private Kept findKept(Request request, Backend backend, long now) {
    String instance = backend.replica.instance();
    int blocks = 0;
    int units = 0;
    for (Lookup.Match match : request.matches)
      if (match.holder().equals(instance) && keptUnits(request, match) >= units) {
        blocks = Math.min(request.blockKeys.length, match.blocks());
        units = keptUnits(request, match);
      }
    int sent =
        backend.reportsLoad || !relay.settings.isEnabled(Mechanism.RECENT_PLACEMENTS)
            ? 0
            : relay.placements.leadingBlocks(request.blockKeys, instance, now);
    return sent > blocks ? new Kept(sent, request.promptUnits(sent)) : new Kept(blocks, units);
  }

  /** Ms a unit over a store's link, negative where a pull of so many isn't to be asked for now. */
  private static double storeMsPerUnit(PrefixStore store, Backend backend, int units, long now) {
    double unit = store.transferMsPerUnit(backend);
    return unit >= 0 && store.link().mayPull(units * unit, now) ? unit : -1;
  }

  /** The prefill by pulling from this holder where that is cheaper, else the one given. */
  private Prefill cheaperPrefill(
      Prefill least, Request request, Backend backend, Kept kept, Lookup.Match match, long now) {
    int blocks = Math.min(request.blockKeys.length, match.blocks()) - kept.blocks;
    int more = keptUnits(request, match) - kept.units;
    Replica holder = relay.findHolder(match.holder());
    if (more <= 0 || holder == null) return least;
    PrefixStore store = relay.stores.find(match.holder());
    if (!relay.settings.isEnabled(store == null ? Mechanism.REPLICA_FETCH : Mechanism.STORE_FETCH))
      return least;
    if (store == null && backend.isLinkSpeedUnknown(match.holder(), now))
      more = blocks = Math.min(blocks, PROBE_BLOCKS);
    double link =
        store == null
            ? backend.pullMsPerUnit(match.holder(), holder.zone(), now)
            : storeMsPerUnit(store, backend, more, now);
    int left = request.promptUnits() - kept.units - more;
    double ms = FETCH_SETUP_MS + more * link + left * backend.computeMsPerUnit;
    if (link < 0 || ms >= least.ms) return least;
    return new Prefill(match.holder(), Math.max(1, blocks), left, ms);
  }
}

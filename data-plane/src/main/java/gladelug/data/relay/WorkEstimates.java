package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is left to do for a request, in estimated ms: computing its prompt, its reply, and what
 * requests of its service usually wait for beside. Learned a service, from answers. Confined to the
 * request thread.
 */
final class WorkEstimates {
  private final Backends backends;
  private final ReuseShare reuseShare;
  private final Map<String, PrefillSpeed> prefillSpeeds = new HashMap<>();
  private final Map<String, ReplySpeed> replySpeeds = new HashMap<>();
  private final Map<String, RequestDurations> durations = new HashMap<>();

  WorkEstimates(Backends backends, ReuseShare reuse) {
    this.backends = backends;
    this.reuseShare = reuse;
  }

  /** The first piece of a request that computed all it lacked came so many ms after it left. */
  void recordFirstPiece(Request request, long ms) {
    String service = request.service.name();
    PrefillSpeed speed = prefillSpeeds.computeIfAbsent(service, name -> new PrefillSpeed());
    speed.recordAnswer(ms, request.computeUnits);
    for (Backend backend : backends.readyReplicas(service))
      backend.computeMsPerUnit = speed.msPerUnit();
  }

  /** A request ended with its whole answer. */
  void recordCompletion(Request request, long now) {
    String service = request.service.name();
    if (request.firstPieceMs >= 0)
      replySpeed(service)
          .recordReply(now - request.receivedAtMs - request.firstPieceMs, request.outputLimit());
    durations(service).recordCompletion(now - request.forwardedAtMs, request.ownWorkMs);
  }

  /** Notes at a request what is left to do for it, before it is given a place. */
  void estimate(Request request) {
    request.ownWorkMs = computeMs(request) + expectedReplyMs(request);
    request.expectedMs = durations(request.service.name()).expectedMs(request.ownWorkMs);
  }

  /** Computing the share of its prompt that is usually kept nowhere, in ms. */
  private double computeMs(Request request) {
    if (request.service.kind() != Configuration.Kind.MODEL) return 0;
    double unitMs = 0;
    int blockBytes = PrefixLookupFilter.DEFAULT_BLOCK_BYTES;
    List<Backend> all = backends.readyReplicas(request.service.name());
    for (Backend backend : all) {
      unitMs += backend.computeMsPerUnit / all.size();
      blockBytes = backend.blockBytes;
    }
    return request.prompt.totalUnits(blockBytes) * (1 - reuseShare.share()) * unitMs;
  }

  /** How long its reply is likely to take after its first event, in ms. */
  int expectedReplyMs(Request request) {
    return replySpeed(request.service.name()).expectedMs(request.outputLimit());
  }

  /** What a request that was just placed asks of its replica. */
  Lookup.Work placedWork(Request request) {
    return new Lookup.Work(
        (int) Math.round(request.workMs), expectedReplyMs(request), request.units());
  }

  /** What a request of the service usually takes from its hand-over, in ms. */
  double meanRequestMs(String service) {
    return durations(service).meanMs();
  }

  ReplySpeed replySpeed(String service) {
    return replySpeeds.computeIfAbsent(service, name -> new ReplySpeed());
  }

  private RequestDurations durations(String service) {
    return durations.computeIfAbsent(service, name -> new RequestDurations());
  }
}

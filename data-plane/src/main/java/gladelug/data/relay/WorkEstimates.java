package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates of a request's work, in ms: computing its prompt, its reply, and what requests of its
 * service usually wait for in addition. Learned per service from answers. Confined to the request
 * thread.
 */
final class WorkEstimates {
  private final Backends backends;
  private final ReuseShare reuseShare;
  private final Map<String, PrefillSpeed> prefillSpeeds = new HashMap<>();
  private final Map<String, ReplySpeed> replySpeeds = new HashMap<>();
  private final Map<String, RequestDurations> durations = new HashMap<>();

  WorkEstimates(Backends backends, ReuseShare reuseShare) {
    this.backends = backends;
    this.reuseShare = reuseShare;
  }

  /**
   * Records that the first piece of a request that computed all it lacked arrived durationMs after
   * it was sent.
   */
  void recordFirstPiece(Request request, long durationMs) {
    String service = request.service.name();
    PrefillSpeed speed = prefillSpeeds.computeIfAbsent(service, name -> new PrefillSpeed());
    speed.recordAnswer(durationMs, request.computeUnits);
    for (Backend backend : backends.readyReplicas(service))
      backend.computeMsPerUnit = speed.msPerUnit();
  }

  /** Records that a request completed. */
  void recordCompletion(Request request, long nowMs) {
    String service = request.service.name();
    if (request.firstPieceMs >= 0)
      replySpeed(service)
          .recordReply(nowMs - request.receivedAtMs - request.firstPieceMs, request.outputLimit());
    durations(service).recordCompletion(nowMs - request.forwardedAtMs, request.ownWorkMs);
  }

  /** Sets the estimates of a request before it is queued. */
  void estimate(Request request) {
    request.ownWorkMs = computeMs(request) + expectedReplyMs(request);
    request.expectedMs = durations(request.service.name()).expectedMs(request.ownWorkMs);
  }

  /** Returns the time to compute the part of the prompt that is usually not cached, in ms. */
  private double computeMs(Request request) {
    if (request.service.kind() != Configuration.Kind.MODEL) return 0;
    double msPerUnit = 0;
    int blockBytes = PrefixLookupFilter.DEFAULT_BLOCK_BYTES;
    List<Backend> all = backends.readyReplicas(request.service.name());
    for (Backend backend : all) {
      msPerUnit += backend.computeMsPerUnit / all.size();
      blockBytes = backend.blockBytes;
    }
    return request.prompt.totalUnits(blockBytes) * (1 - reuseShare.share()) * msPerUnit;
  }

  /** Returns the expected duration of the reply after its first event, in ms. */
  int expectedReplyMs(Request request) {
    return replySpeed(request.service.name()).expectedMs(request.outputLimit());
  }

  /** Returns the work that a request just placed causes at its replica. */
  Lookup.Work placedWork(Request request) {
    return new Lookup.Work(
        (int) Math.round(request.workMs), expectedReplyMs(request), request.units());
  }

  /**
   * Returns the mean duration of a request of the service after it was sent to a replica, in ms.
   */
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

package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;

/**
 * Admits a request at once, queues it by the tree of quota shares, or refuses it when the work
 * queued ahead of it would make it miss its deadline. Every queued request could therefore still
 * finish in time if it were served in order of arrival.
 */
record AdmissionFilter(Relay relay) implements RequestFilter {
  @Override
  public String name() {
    return "admission";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    FilterResult refusal = refusalIfUnservable(request);
    if (refusal != null) return Uni.createFrom().item(refusal);
    relay.estimates.estimate(request);
    double waitMs = relay.estimatedWaitMs(request);
    if (waitMs > 0
        && endsTooLate(request, waitMs)
        && relay.settings.isEnabled(Mechanism.EARLY_REFUSAL))
      return Uni.createFrom().item(refusalTooLate(request));
    return Uni.createFrom().emitter(emitter -> enqueue(request, emitter));
  }

  /** Returns the refusal when no replica can run the request now, or null. */
  private FilterResult refusalIfUnservable(Request request) {
    String service = request.service.name();
    if (request.service.kind() == Configuration.Kind.MODEL
        && relay.allowedWeights(request.model) == null)
      return relay.refusalForMissingWeights(request);
    if (relay.backends.readyReplicas(service).isEmpty())
      return FilterResult.notRun(
          503,
          "no replica of " + service + " is listed as ready",
          relay.retryAdvice.msUntilRoom(request));
    return null;
  }

  /**
   * Returns whether the request would finish after its deadline, the only time limit its caller is
   * known to have.
   */
  private boolean endsTooLate(Request request, double waitMs) {
    return relay.clock.now() + waitMs > request.latestStartMs();
  }

  private FilterResult refusalTooLate(Request request) {
    String service = request.service.name();
    String reason =
        "the queue is too long to meet the deadline: "
            + relay.queue(service).size()
            + " requests queued, "
            + relay.freeSlots(service)
            + " slots free";
    return FilterResult.notRun(503, reason, relay.retryAdvice.msUntilRoom(request));
  }

  private void enqueue(Request request, UniEmitter<? super FilterResult> emitter) {
    WaitQueue queue = relay.queue(request.service.name());
    long enteredAtMs = relay.clock.now();
    request.onLeaveQueue =
        result -> {
          request.onLeaveQueue = null;
          long nowMs = relay.clock.now();
          request.decision.add(
              "admission",
              nowMs,
              Json.object().add("waitedMs", nowMs - enteredAtMs).add("backlogThen", queue.size()));
          emitter.complete(result);
        };
    if (queue.offer(request)) {
      relay.admitWaiting();
      return;
    }
    request.onLeaveQueue = null;
    emitter.complete(
        FilterResult.notRun(503, "the queue is full", relay.retryAdvice.msUntilRoom(request)));
  }
}

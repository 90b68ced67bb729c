package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;

/**
 * When: a place at once, or the queue by the share tree, or refused at once where, behind the work
 * that waits already, it could not end before its caller's deadline. Whoever is let into the queue
 * could therefore be served in the order of arrival.
 */
record AdmissionFilter(Relay relay) implements RequestFilter {
  @Override
  public String name() {
    return "admission";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    FilterResult unservable = refusalIfUnservable(request);
    if (unservable != null) return Uni.createFrom().item(unservable);
    relay.estimates.estimate(request);
    double waitMs = relay.estimatedWaitMs(request);
    if (waitMs > 0
        && endsTooLate(request, waitMs)
        && relay.settings.isEnabled(Mechanism.EARLY_REFUSAL))
      return Uni.createFrom().item(refusalTooLate(request));
    return Uni.createFrom().emitter(emitter -> enqueue(request, emitter));
  }

  /** The refusal where nobody can run it now, or null. */
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

  /** Whether it would end after its deadline, the only time that its caller is known to have. */
  private boolean endsTooLate(Request request, double waitMs) {
    return relay.clock.now() + waitMs > request.latestStartMs();
  }

  private FilterResult refusalTooLate(Request request) {
    String service = request.service.name();
    String reason =
        "the backlog is longer than the order may wait: "
            + relay.queue(service).size()
            + " wait, "
            + relay.freeSlots(service)
            + " places";
    return FilterResult.notRun(503, reason, relay.retryAdvice.msUntilRoom(request));
  }

  private void enqueue(Request request, UniEmitter<? super FilterResult> emitter) {
    WaitQueue queue = relay.queue(request.service.name());
    long enteredAt = relay.clock.now();
    request.onLeaveQueue =
        result -> {
          request.onLeaveQueue = null;
          long now = relay.clock.now();
          request.decision.add(
              "admission",
              now,
              Json.object().add("waitedMs", now - enteredAt).add("backlogThen", queue.size()));
          emitter.complete(result);
        };
    if (queue.offer(request)) {
      relay.admitWaiting();
      return;
    }
    request.onLeaveQueue = null;
    emitter.complete(
        FilterResult.notRun(503, "the backlog is full", relay.retryAdvice.msUntilRoom(request)));
  }
}

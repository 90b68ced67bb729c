package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import gladelug.data.request.RequestState;
import gladelug.data.request.ResponseHead;
import gladelug.data.state.ControlStateSnapshot;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.buffer.Buffer;

/**
 * The last filter: sends the request to its replica once and passes the answer on. Lease, key,
 * cache scope, route, replica and weights are checked again on the event-loop turn in which the
 * request is sent. From then on only the replica's own "not run" counts as not run; any other
 * failure before the first piece leaves the outcome unknown. A resumable stream that breaks goes
 * back to the choice of a replica and is resumed after its last event within the same answer, under
 * the head of its first replica.
 */
public final class Forwarding implements RequestFilter {
  /** How long a replica is not used after it failed before an answer, in ms. */
  private static final long FAILURE_EJECTION_MS = 1000;

  /** How long a replica is not used after it broke off in the middle of an answer, in ms. */
  private static final long BROKEN_STREAM_EJECTION_MS = 300;

  private final Relay relay;
  private final Exchange exchange;

  public Forwarding(Relay relay, Exchange exchange) {
    this.relay = relay;
    this.exchange = exchange;
  }

  @Override
  public String name() {
    return "hand-over";
  }

  @Override
  public Uni<FilterResult> apply(Request request) {
    return Uni.createFrom()
        .emitter(
            emitter ->
                exchange.send(
                    request, request.backend, new ReplyHandler(request, request.backend, emitter)));
  }

  /** Repeats the checks whose result may have changed since; returns null if all still hold. */
  private FilterResult recheck(Request request, Backend backend) {
    FilterResult refusal = checkTimeAndAttempts(request, backend);
    if (refusal != null) return refusal;
    ControlStateSnapshot snapshot = relay.snapshot();
    Configuration.Route route = snapshot.configuration().route(request.host, request.path);
    FilterResult scopeRefusal = checkTenantAndScope(request, backend, snapshot, route);
    return scopeRefusal != null
        ? scopeRefusal
        : checkRouteAndReplica(request, backend, snapshot, route);
  }

  private FilterResult checkTimeAndAttempts(Request request, Backend backend) {
    long nowMs = relay.clock.now();
    FilterResult refusal = request.piecesOut == 0 ? relay.refusalIfOutlivesRelay(request) : null;
    if (refusal != null) return refusal;
    if (!relay.freshness.mayStartRequests(relay.settings, nowMs))
      return FilterResult.notRun(503, "no licence", relay.retryAdvice.msUntilState());
    if (nowMs >= request.deadlineMs)
      return FilterResult.notRun(
          503, Relay.EXPIRED_BEFORE_SEND, relay.retryAdvice.msUntilRoom(request));
    // the replica of the repeated attempt may have become unreachable in the meantime
    if (request.tryCount >= request.route.maxAttempts() && backend != request.lastTriedBackend)
      return FilterResult.notRun(
          503,
          "the request was already sent to the maximum number of replicas",
          relay.retryAdvice.msUntilRoom(request));
    return null;
  }

  /**
   * Checks that the key still belongs to its tenant and may use the cached prefixes found for it.
   */
  private FilterResult checkTenantAndScope(
      Request request, Backend backend, ControlStateSnapshot snapshot, Configuration.Route route) {
    boolean open = route != null && route.allowsAnonymous();
    Configuration.Tenant tenant = currentTenant(request, snapshot, open);
    if (tenant == null || !tenant.name().equals(request.tenant.name()))
      return open
          ? FilterResult.notRun(
              503, "the key belongs to another tenant now", FilterResult.RETRY_AT_ONCE_MS)
          : FilterResult.notRun(401, "the API key was revoked", 0);
    String scope = relay.cacheScope(request, tenant, snapshot);
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    if (!model || scope.equals(request.cacheScope)) return null;
    request.changeCacheScope(scope, backend.blockBytes);
    return new FilterResult.ChooseAgain("the scope of cached prefixes changed");
  }

  /**
   * Returns the tenant of the request by the newest configuration; null if the key belongs to no
   * tenant.
   */
  // All requests to open routes without a key share the object ANYBODY; no other tenant is that
  // object.
  @SuppressWarnings("ReferenceEquality")
  private static Configuration.Tenant currentTenant(
      Request request, ControlStateSnapshot snapshot, boolean open) {
    return open && request.tenant == Configuration.ANONYMOUS
        ? Configuration.ANONYMOUS
        : snapshot.configuration().tenantByKeyHash(request.apiKeyHash);
  }

  private FilterResult checkRouteAndReplica(
      Request request, Backend backend, ControlStateSnapshot snapshot, Configuration.Route route) {
    Configuration.Service service = snapshot.configuration().service(request.service.name());
    if (route == null || service == null || !route.allowsService(service.index()))
      return FilterResult.notRun(503, "the mapping changed", FilterResult.RETRY_AT_ONCE_MS);
    Replicas.Replica replica = snapshot.replicas().find(backend.replica.instance());
    if (replica == null
        || !replica.ready()
        || !replica.address().equals(backend.replica.address())
        || !replica.service().equals(service.name())
        || !service.allows(replica.address()))
      return new FilterResult.ChooseAgain(backend.replica.instance() + " is not ready any more");
    if (service.kind() == Configuration.Kind.MODEL && !relay.mayRun(request.model, request.weights))
      return new FilterResult.ChooseAgain("other weights are named now");
    return null;
  }

  /** Returns whether an event id may follow another in one answer: numeric ids must increase. */
  private static boolean mayFollow(String event, String lastEvent) {
    return Backend.isNewer(event, lastEvent);
  }

  private final class ReplyHandler implements Exchange.Reply {
    private final Request request;
    private final Backend backend;
    private final UniEmitter<? super FilterResult> emitter;
    private Exchange.Handle handle;
    private boolean finished;
    private boolean answerStarted;

    ReplyHandler(Request request, Backend backend, UniEmitter<? super FilterResult> emitter) {
      this.request = request;
      this.backend = backend;
      this.emitter = emitter;
    }

    /** Excludes the replica from new requests for this many ms. */
    private void eject(long ms) {
      if (ms > 0 && relay.settings.isEnabled(Mechanism.OUTLIER_EJECTION))
        backend.eject(relay.clock.now(), ms);
    }

    private boolean isResuming() {
      return request.piecesOut > 0;
    }

    private void finish(FilterResult result) {
      finished = true;
      if (handle != null && !answerStarted) backend.recordAnswered(false, relay.clock.now());
      answerStarted = true;
      request.cancel = () -> {};
      emitter.complete(result);
    }

    @Override
    public boolean beginSend(Exchange.Handle newHandle) {
      if (finished) return false;
      FilterResult result = recheck(request, backend);
      boolean sends =
          result == null
              && !request.callerGone
              && (isResuming()
                  ? request.state.phase() == RequestState.Phase.STREAMING
                  : request.state.transition(
                      RequestState.Phase.WAITING, RequestState.Phase.FORWARDED));
      if (!sends) {
        if (request.callerGone) request.decision.setOutcome("caller-gone");
        finish(request.callerGone || result == null ? FilterResult.ENDED : result);
        return false;
      }
      handle = newHandle;
      long nowMs = relay.clock.now();
      request.tryCount++;
      request.lastTriedBackend = backend;
      request.forwardedAtMs = nowMs;
      backend.recordSent(nowMs);
      if (request.tryCount == 1) relay.retryBudget.recordFirstAttempt(request.service.name());
      request.decision.add(
          "hand-over",
          nowMs,
          Json.object()
              .add("replica", backend.replica.instance())
              .add("try", request.tryCount)
              .add("after", request.lastEventId));
      request.cancel = newHandle::reset;
      request.onReplicaLost = this::broken;
      return true;
    }

    @Override
    public void connectionFailed(String why, long ejectMs) {
      if (finished) return;
      eject(ejectMs);
      finish(new FilterResult.ChooseAgain(why));
    }

    /**
     * Takes a retry from the budget, and returns whether the request may be sent again. The route
     * limits the number of replicas; repeating the attempt at the same replica does not count as
     * another one.
     */
    private boolean takeRetry(boolean sameReplica) {
      if (relay.clock.now() >= request.deadlineMs
          || !sameReplica && request.tryCount >= request.route.maxAttempts()
          || !relay.settings.isEnabled(Mechanism.RETRIES)
          || !relay.retryBudget.takeRetry(request.service.name())) return false;
      return isResuming()
          ? request.state.phase() == RequestState.Phase.STREAMING
          : request.state.transition(RequestState.Phase.FORWARDED, RequestState.Phase.WAITING);
    }

    @Override
    public void notRun(String why, long ejectMs) {
      if (finished) return;
      eject(ejectMs);
      notRun(why, false);
    }

    @Override
    public void weightsMismatch(String why) {
      if (finished) return;
      // at most one more attempt at the same replica, whatever weights it reports
      notRun(why, request.tryCount == request.route.maxAttempts());
    }

    private void notRun(String why, boolean sameReplica) {
      String reason = backend.replica.instance() + " did not run it: " + why;
      if (request.state.phase() == RequestState.Phase.ENDED) finish(FilterResult.ENDED);
      else if (takeRetry(sameReplica)) {
        request.requiredBackend = sameReplica ? backend : null;
        finish(new FilterResult.ChooseAgain(reason));
      } else if (isResuming()) cutOff(reason);
      else
        finish(
            FilterResult.notRun(
                503, "the replica did not run it: " + why, relay.retryAdvice.msUntilRoom(request)));
    }

    private void cutOff(String why) {
      relay.cutOff(request, why);
      finish(FilterResult.ENDED);
    }

    @Override
    public void head(ResponseHead newHead) {
      if (finished) return;
      recordByte();
      if (request.piecesOut == 0) request.responseHead = newHead;
    }

    private void recordByte() {
      if (!answerStarted) backend.recordAnswered(true, relay.clock.now());
      answerStarted = true;
      backend.recordByteReceived(relay.clock.now());
    }

    @Override
    public void piece(Buffer buffer, String event) {
      if (finished) return;
      recordByte();
      if (request.state.phase() == RequestState.Phase.ENDED) {
        handle.reset();
        finish(FilterResult.ENDED);
        return;
      }
      if (request.canResumeAfterLastEvent
          && !event.isEmpty()
          && !mayFollow(event, request.lastEventId)) {
        broken("received event " + event + " after event " + request.lastEventId);
        return;
      }
      if (request.piecesOut == 0) {
        if (!request.state.transition(RequestState.Phase.FORWARDED, RequestState.Phase.STREAMING))
          return;
        long nowMs = relay.clock.now();
        request.decision.add(
            "stream", nowMs, Json.object().add("firstPieceMs", nowMs - request.receivedAtMs));
        request.firstPieceMs = nowMs - request.receivedAtMs;
        relay.recordFirstPiece(request, backend, nowMs - request.forwardedAtMs);
        request.caller.sendHead(
            request, request.responseHead == null ? ResponseHead.EMPTY_OK : request.responseHead);
      }
      request.recordPiece(relay.clock.now());
      request.canResumeAfterLastEvent = !event.isEmpty();
      if (request.canResumeAfterLastEvent) request.lastEventId = event;
      if (!request.caller.sendPiece(request, buffer, handle::resume)) handle.pause();
    }

    @Override
    public void end() {
      if (finished) return;
      recordByte();
      if (request.state.end()) {
        request.decision.setOutcome("complete");
        if (!request.callerGone) {
          if (request.piecesOut == 0)
            request.caller.sendHead(
                request,
                request.responseHead == null ? ResponseHead.EMPTY_OK : request.responseHead);
          request.caller.complete(request, request.piecesOut);
        }
      }
      finish(FilterResult.ENDED);
    }

    @Override
    public boolean retryAfterFailure(String failure) {
      if (finished) return true;
      if (!request.repeatable || request.piecesOut > 0 || !takeRetry(false)) return false;
      // resetting the connection may report a break
      finished = true;
      handle.reset();
      backend.failures++;
      eject(FAILURE_EJECTION_MS);
      request.mayHaveRun = true;
      finish(new FilterResult.ChooseAgain(backend.replica.instance() + ": " + failure));
      return true;
    }

    /**
     * Retries a request that broke before its first piece where that is allowed; otherwise its
     * outcome is unknown.
     */
    @Override
    public void broken(String cause) {
      if (finished) return;
      // resetting the connection may report the break again
      finished = true;
      handle.reset();
      String why = backend.replica.instance() + ": " + cause;
      RequestState.Phase at = request.state.phase();
      if (at == RequestState.Phase.ENDED) {
        finish(FilterResult.ENDED);
        return;
      }
      backend.failures++;
      eject(at == RequestState.Phase.STREAMING ? BROKEN_STREAM_EJECTION_MS : FAILURE_EJECTION_MS);
      if (at == RequestState.Phase.STREAMING) {
        if (request.route.resumable() && request.canResumeAfterLastEvent && takeRetry(false)) {
          request.decision.add(
              "resume",
              relay.clock.now(),
              Json.object().add("after", request.lastEventId).add("why", why));
          finish(new FilterResult.ChooseAgain(why));
        } else cutOff(why);
        return;
      }
      request.mayHaveRun = true;
      if (request.repeatable && takeRetry(false)) finish(new FilterResult.ChooseAgain(why));
      else finish(FilterResult.unknown(502, why, relay.retryAdvice.msUntilRoom(request)));
    }
  }
}

package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.data.request.CacheScope;
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
 * The last filter: the request goes to its replica, once, and the answer's pieces come back. Lease,
 * key, whose cached prefixes it may use, route, replica and weights are checked again on the same
 * turn of the event loop in which the request leaves. From then on only the replica's own "not run"
 * makes it not run; anything else before the first piece is unknown. A stream that may be resumed
 * and breaks goes back to the choice and is resumed after its last event, inside the same answer,
 * under the head of its first replica.
 */
public final class Forwarding implements RequestFilter {
  /** How long a replica is left alone that failed before an answer, or broke off in its middle. */
  private static final long FAILURE_EJECTION_MS = 1000;

  private static final long BROKEN_STREAM_EJECTION_MS = 300;

  private final Relay relay;
  private final Exchange exchange;

  public Forwarding(Relay r, Exchange exchange) {
    this.relay = r;
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
            e ->
                exchange.send(
                    request, request.backend, new ReplyHandler(request, request.backend, e)));
  }

  /** Everything that may have changed since it was looked at first; null where all still holds. */
  private FilterResult recheck(Request request, Backend backend) {
    FilterResult late = checkTimeAndAttempts(request, backend);
    if (late != null) return late;
    ControlStateSnapshot snapshot = relay.snapshot();
    Configuration.Route route = snapshot.configuration().route(request.host, request.path);
    FilterResult other = checkTenantAndScope(request, backend, snapshot, route);
    return other != null ? other : checkRouteAndReplica(request, backend, snapshot, route);
  }

  private FilterResult checkTimeAndAttempts(Request request, Backend backend) {
    long now = relay.clock.now();
    FilterResult outlasts = request.piecesOut == 0 ? relay.refusalIfOutlivesRelay(request) : null;
    if (outlasts != null) return outlasts;
    if (!relay.subscription.leases.isValid(now))
      return FilterResult.notRun(503, "no licence", relay.retryAdvice.msUntilState());
    if (now >= request.deadlineMs)
      return FilterResult.notRun(
          503, Relay.EXPIRED_BEFORE_SEND, relay.retryAdvice.msUntilRoom(request));
    // the replica it was to go to once more may have become unreachable meanwhile
    if (request.tryCount >= request.route.maxAttempts() && backend != request.lastTriedBackend)
      return FilterResult.notRun(
          503, "it went to as many replicas as it may", relay.retryAdvice.msUntilRoom(request));
    return null;
  }

  /** Whether the key is still its tenant's, and may use the cached prefixes it was to use. */
  private FilterResult checkTenantAndScope(
      Request request, Backend backend, ControlStateSnapshot snapshot, Configuration.Route route) {
    boolean open = route != null && route.allowsAnonymous();
    Configuration.Tenant tenant = currentTenant(request, snapshot, open);
    if (tenant == null || !tenant.name().equals(request.tenant.name()))
      return open
          ? FilterResult.notRun(503, "the key's tenant changed", FilterResult.RETRY_AT_ONCE_MS)
          : FilterResult.notRun(401, "key revoked", 0);
    String scope = CacheScope.of(tenant, snapshot.prefixSharingSince());
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    if (!model || scope.equals(request.cacheScope)) return null;
    request.changeCacheScope(scope, backend.blockBytes);
    return new FilterResult.ChooseAgain("cached prefixes are shared among others now");
  }

  /** Whose request it is by the newest configuration; null where the key belongs to nobody. */
  // Whoever called an open route without a key is one object; no tenant is.
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
      return new FilterResult.ChooseAgain("other weights are named");
    return null;
  }

  /** Whether an event may come after another in one answer: names that are numbers rise. */
  private static boolean mayFollow(String event, String last) {
    return Backend.isNewer(event, last);
  }

  private final class ReplyHandler implements Exchange.Reply {
    private final Request request;
    private final Backend backend;
    private final UniEmitter<? super FilterResult> emitter;
    private Exchange.Handle handle;
    private boolean finished;
    private boolean answerStarted;

    ReplyHandler(Request request, Backend backend, UniEmitter<? super FilterResult> e) {
      this.request = request;
      this.backend = backend;
      this.emitter = e;
    }

    /** Nothing new goes to the replica for so many ms. */
    private void eject(long ms) {
      if (ms > 0 && relay.settings.isEnabled(Mechanism.OUTLIER_EJECTION))
        backend.eject(relay.clock.now(), ms);
    }

    private boolean isResuming() {
      return request.piecesOut > 0;
    }

    private void finish(FilterResult v) {
      finished = true;
      if (handle != null && !answerStarted) backend.recordAnswered(false, relay.clock.now());
      answerStarted = true;
      request.cancel = () -> {};
      emitter.complete(v);
    }

    @Override
    public boolean beginSend(Exchange.Handle h) {
      if (finished) return false;
      FilterResult v = recheck(request, backend);
      boolean goes =
          v == null
              && !request.callerGone
              && (isResuming()
                  ? request.state.phase() == RequestState.Phase.STREAMING
                  : request.state.transition(
                      RequestState.Phase.WAITING, RequestState.Phase.FORWARDED));
      if (!goes) {
        if (request.callerGone) request.decision.setOutcome("caller-gone");
        finish(request.callerGone || v == null ? FilterResult.ENDED : v);
        return false;
      }
      handle = h;
      long now = relay.clock.now();
      request.tryCount++;
      request.lastTriedBackend = backend;
      request.forwardedAtMs = now;
      backend.recordSent(now);
      if (request.tryCount == 1) relay.retryBudget.recordFirstAttempt(request.service.name());
      request.decision.add(
          "hand-over",
          now,
          Json.object()
              .add("replica", backend.replica.instance())
              .add("try", request.tryCount)
              .add("after", request.lastEventId));
      request.cancel = h::reset;
      request.onReplicaLost = this::broken;
      return true;
    }

    @Override
    public void connectionFailed(String why, long badMs) {
      if (finished) return;
      eject(badMs);
      finish(new FilterResult.ChooseAgain(why));
    }

    /**
     * Whether it may go to a replica once more, and if so takes that from the budget. Its route
     * bounds to how many replicas it may go; the same one again is no further replica.
     */
    private boolean takeRetry(boolean same) {
      if (relay.clock.now() >= request.deadlineMs
          || !same && request.tryCount >= request.route.maxAttempts()
          || !relay.settings.isEnabled(Mechanism.RETRIES)
          || !relay.retryBudget.takeRetry(request.service.name())) return false;
      return isResuming()
          ? request.state.phase() == RequestState.Phase.STREAMING
          : request.state.transition(RequestState.Phase.FORWARDED, RequestState.Phase.WAITING);
    }

    @Override
    public void notRun(String why, long badMs) {
      if (finished) return;
      eject(badMs);
      notRun(why, false);
    }

    @Override
    public void weightsMismatch(String why) {
      if (finished) return;
      // the same one once more at most, whatever it says of itself
      notRun(why, request.tryCount == request.route.maxAttempts());
    }

    private void notRun(String why, boolean same) {
      String told = backend.replica.instance() + " did not run it: " + why;
      if (request.state.phase() == RequestState.Phase.ENDED) finish(FilterResult.ENDED);
      else if (takeRetry(same)) {
        request.requiredBackend = same ? backend : null;
        finish(new FilterResult.ChooseAgain(told));
      } else if (isResuming()) cutOff(told);
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
    public void head(ResponseHead h) {
      if (finished) return;
      recordByte();
      if (request.piecesOut == 0) request.responseHead = h;
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
        broken("event " + event + " after event " + request.lastEventId);
        return;
      }
      if (request.piecesOut == 0) {
        if (!request.state.transition(RequestState.Phase.FORWARDED, RequestState.Phase.STREAMING))
          return;
        long now = relay.clock.now();
        request.decision.add(
            "stream", now, Json.object().add("firstPieceMs", now - request.receivedAtMs));
        request.firstPieceMs = now - request.receivedAtMs;
        relay.recordFirstPiece(request, backend, now - request.forwardedAtMs);
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
      // letting the connection go may tell of a break
      finished = true;
      handle.reset();
      backend.failures++;
      eject(FAILURE_EJECTION_MS);
      request.mayHaveRun = true;
      finish(new FilterResult.ChooseAgain(backend.replica.instance() + ": " + failure));
      return true;
    }

    /** Before the first piece: once more where that is allowed, else of unknown fate. */
    @Override
    public void broken(String what) {
      if (finished) return;
      // letting the connection go may tell of the break once more
      finished = true;
      handle.reset();
      String why = backend.replica.instance() + ": " + what;
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

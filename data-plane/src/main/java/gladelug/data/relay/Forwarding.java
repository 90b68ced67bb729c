package gladelug.data.relay;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.data.request.CacheScope;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Head;
import gladelug.data.request.Request;
import gladelug.data.request.RequestFilter;
import gladelug.data.request.State;
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
  private static final long FAILED_MS = 1000;

  private static final long BROKE_OFF_MS = 300;

  private final Relay r;
  private final Exchange exchange;

  public Forwarding(Relay r, Exchange exchange) {
    this.r = r;
    this.exchange = exchange;
  }

  @Override
  public String name() {
    return "hand-over";
  }

  @Override
  public Uni<FilterResult> pass(Request request) {
    return Uni.createFrom()
        .emitter(
            e -> exchange.send(request, request.backend, new Handed(request, request.backend, e)));
  }

  /** Everything that may have changed since it was looked at first; null where all still holds. */
  private FilterResult last(Request request, Backend backend) {
    FilterResult late = lateOrTriedOut(request, backend);
    if (late != null) return late;
    ControlStateSnapshot snapshot = r.tables();
    Configuration.Route route = snapshot.configuration().route(request.host, request.path);
    FilterResult other = otherTenantOrScope(request, backend, snapshot, route);
    return other != null ? other : otherRouteOrReplica(request, backend, snapshot, route);
  }

  private FilterResult lateOrTriedOut(Request request, Backend backend) {
    long now = r.clock.now();
    FilterResult outlasts = request.piecesOut == 0 ? r.refusalIfItMayOutlastThis(request) : null;
    if (outlasts != null) return outlasts;
    if (!r.news.leases.valid(now))
      return FilterResult.notRun(503, "no licence", r.retryAdvice.untilStateMs());
    if (now >= request.deadline)
      return FilterResult.notRun(503, Relay.EXPIRED_UNSENT, r.retryAdvice.untilRoomMs(request));
    // the replica it was to go to once more may have become unreachable meanwhile
    if (request.tries >= request.route.maxAttempts() && backend != request.triedLast)
      return FilterResult.notRun(
          503, "it went to as many replicas as it may", r.retryAdvice.untilRoomMs(request));
    return null;
  }

  /** Whether the key is still its tenant's, and may use the cached prefixes it was to use. */
  private FilterResult otherTenantOrScope(
      Request request, Backend backend, ControlStateSnapshot snapshot, Configuration.Route route) {
    boolean open = route != null && route.allowsAnonymous();
    Configuration.Tenant tenant = tenantNow(request, snapshot, open);
    if (tenant == null || !tenant.name().equals(request.tenant.name()))
      return open
          ? FilterResult.notRun(503, "the key's tenant changed", FilterResult.RETRY_AT_ONCE_MS)
          : FilterResult.notRun(401, "key revoked", 0);
    String scope = CacheScope.of(tenant, snapshot.prefixSharingSince());
    boolean model = request.service.kind() == Configuration.Kind.MODEL;
    if (!model || scope.equals(request.cacheScope)) return null;
    request.moveTo(scope, backend.blockBytes);
    return new FilterResult.Again("cached prefixes are shared among others now");
  }

  /** Whose request it is by the newest configuration; null where the key belongs to nobody. */
  // Whoever called an open route without a key is one object; no tenant is.
  @SuppressWarnings("ReferenceEquality")
  private static Configuration.Tenant tenantNow(
      Request request, ControlStateSnapshot snapshot, boolean open) {
    return open && request.tenant == Configuration.ANONYMOUS
        ? Configuration.ANONYMOUS
        : snapshot.configuration().tenantByKeyHash(request.keyHash);
  }

  private FilterResult otherRouteOrReplica(
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
      return new FilterResult.Again(backend.replica.instance() + " is not ready any more");
    if (service.kind() == Configuration.Kind.MODEL && !r.mayRun(request.model, request.weights))
      return new FilterResult.Again("other weights are named");
    return null;
  }

  /** Whether an event may come after another in one answer: names that are numbers rise. */
  private static boolean follows(String event, String last) {
    return Backend.newer(event, last);
  }

  private final class Handed implements Exchange.Reply {
    private final Request o;
    private final Backend b;
    private final UniEmitter<? super FilterResult> e;
    private Exchange.Handle handle;
    private boolean over;
    private boolean answered;

    Handed(Request request, Backend backend, UniEmitter<? super FilterResult> e) {
      this.o = request;
      this.b = backend;
      this.e = e;
    }

    /** Nothing new goes to the replica for so many ms. */
    private void leaveAlone(long ms) {
      if (ms > 0 && r.settings.has(Mechanism.OUTLIER_EJECTION)) b.bad(r.clock.now(), ms);
    }

    private boolean resumes() {
      return o.piecesOut > 0;
    }

    private void over(FilterResult v) {
      over = true;
      if (handle != null && !answered) b.answered(false, r.clock.now());
      answered = true;
      o.cancel = () -> {};
      e.complete(v);
    }

    @Override
    public boolean leave(Exchange.Handle h) {
      if (over) return false;
      FilterResult v = last(o, b);
      boolean goes =
          v == null
              && !o.gone
              && (resumes()
                  ? o.state.at() == State.At.STREAMING
                  : o.state.step(State.At.WAITING, State.At.HANDED));
      if (!goes) {
        if (o.gone) o.decision.outcome("caller-gone");
        over(o.gone || v == null ? FilterResult.ENDED : v);
        return false;
      }
      handle = h;
      long now = r.clock.now();
      o.tries++;
      o.triedLast = b;
      o.handedAt = now;
      b.asked(now);
      if (o.tries == 1) r.budget.firstTry(o.service.name());
      o.decision.add(
          "hand-over",
          now,
          Json.object()
              .add("replica", b.replica.instance())
              .add("try", o.tries)
              .add("after", o.lastEvent));
      o.cancel = h::reset;
      o.lost = this::broken;
      return true;
    }

    @Override
    public void unreached(String why, long badMs) {
      if (over) return;
      leaveAlone(badMs);
      over(new FilterResult.Again(why));
    }

    /**
     * Whether it may go to a replica once more, and if so takes that from the budget. Its route
     * bounds to how many replicas it may go; the same one again is no further replica.
     */
    private boolean again(boolean same) {
      if (r.clock.now() >= o.deadline
          || !same && o.tries >= o.route.maxAttempts()
          || !r.settings.has(Mechanism.RETRIES)
          || !r.budget.secondTry(o.service.name())) return false;
      return resumes()
          ? o.state.at() == State.At.STREAMING
          : o.state.step(State.At.HANDED, State.At.WAITING);
    }

    @Override
    public void notRun(String why, long badMs) {
      if (over) return;
      leaveAlone(badMs);
      notRun(why, false);
    }

    @Override
    public void otherWeights(String why) {
      if (over) return;
      // the same one once more at most, whatever it says of itself
      notRun(why, o.tries == o.route.maxAttempts());
    }

    private void notRun(String why, boolean same) {
      String told = b.replica.instance() + " did not run it: " + why;
      if (o.state.at() == State.At.ENDED) over(FilterResult.ENDED);
      else if (again(same)) {
        o.only = same ? b : null;
        over(new FilterResult.Again(told));
      } else if (resumes()) cut(told);
      else
        over(
            FilterResult.notRun(
                503, "the replica did not run it: " + why, r.retryAdvice.untilRoomMs(o)));
    }

    private void cut(String why) {
      r.cutOff(o, why);
      over(FilterResult.ENDED);
    }

    @Override
    public void head(Head h) {
      if (over) return;
      first();
      if (o.piecesOut == 0) o.head = h;
    }

    private void first() {
      if (!answered) b.answered(true, r.clock.now());
      answered = true;
      b.heard(r.clock.now());
    }

    @Override
    public void piece(Buffer buffer, String event) {
      if (over) return;
      first();
      if (o.state.at() == State.At.ENDED) {
        handle.reset();
        over(FilterResult.ENDED);
        return;
      }
      if (o.resumesAfterLast && !event.isEmpty() && !follows(event, o.lastEvent)) {
        broken("event " + event + " after event " + o.lastEvent);
        return;
      }
      if (o.piecesOut == 0) {
        if (!o.state.step(State.At.HANDED, State.At.STREAMING)) return;
        long now = r.clock.now();
        o.decision.add("stream", now, Json.object().add("firstPieceMs", now - o.came));
        o.firstPieceMs = now - o.came;
        r.firstPiece(o, b, now - o.handedAt);
        o.caller.head(o, o.head == null ? Head.PLAIN : o.head);
      }
      o.pieceCame(r.clock.now());
      o.resumesAfterLast = !event.isEmpty();
      if (o.resumesAfterLast) o.lastEvent = event;
      if (!o.caller.piece(o, buffer, handle::resume)) handle.pause();
    }

    @Override
    public void end() {
      if (over) return;
      first();
      if (o.state.end()) {
        o.decision.outcome("complete");
        if (!o.gone) {
          if (o.piecesOut == 0) o.caller.head(o, o.head == null ? Head.PLAIN : o.head);
          o.caller.complete(o, o.piecesOut);
        }
      }
      over(FilterResult.ENDED);
    }

    @Override
    public boolean goesOnAfter(String failure) {
      if (over) return true;
      if (!o.repeatable || o.piecesOut > 0 || !again(false)) return false;
      // letting the connection go may tell of a break
      over = true;
      handle.reset();
      b.failures++;
      leaveAlone(FAILED_MS);
      o.mayHaveRun = true;
      over(new FilterResult.Again(b.replica.instance() + ": " + failure));
      return true;
    }

    /** Before the first piece: once more where that is allowed, else of unknown fate. */
    @Override
    public void broken(String what) {
      if (over) return;
      // letting the connection go may tell of the break once more
      over = true;
      handle.reset();
      String why = b.replica.instance() + ": " + what;
      State.At at = o.state.at();
      if (at == State.At.ENDED) {
        over(FilterResult.ENDED);
        return;
      }
      b.failures++;
      leaveAlone(at == State.At.STREAMING ? BROKE_OFF_MS : FAILED_MS);
      if (at == State.At.STREAMING) {
        if (o.route.resumable() && o.resumesAfterLast && again(false)) {
          o.decision.add(
              "resume", r.clock.now(), Json.object().add("after", o.lastEvent).add("why", why));
          over(new FilterResult.Again(why));
        } else cut(why);
        return;
      }
      o.mayHaveRun = true;
      if (o.repeatable && again(false)) over(new FilterResult.Again(why));
      else over(FilterResult.unknown(502, why, r.retryAdvice.untilRoomMs(o)));
    }
  }
}

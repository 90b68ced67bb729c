package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Finding;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.connection.BodyReader;
import gladelug.common.connection.InboundBodies;
import gladelug.common.connection.InboundLimits;
import gladelug.data.request.Decision;
import gladelug.data.request.FilterChain;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Prompt;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The listener for callers, over HTTP/1.1: a JSON body in, numbered pieces out as JSON lines in a
 * chunked body with an explicit last line. An answer that cannot be finished ends with an error
 * line and an unterminated body, so that a truncated answer never looks complete. Every refusal
 * states in "outcome" whether the request ran, and in Retry-After when to retry.
 */
public final class CallerListener implements Request.Caller {
  private static final int MAX_PIECES = 100_000;
  private final Relay relay;
  private final RecentDecisions decisions;
  private final FilterChain filterChain;
  private final InboundBodies bodies;
  private final Map<Request, RoutingContext> contexts = new IdentityHashMap<>();

  public CallerListener(Relay relay, RecentDecisions decisions, FilterChain filterChain) {
    this.relay = relay;
    this.decisions = decisions;
    this.filterChain = filterChain;
    this.bodies = new InboundBodies(InboundLimits.ofProcess().clientBodies(), relay.clock);
  }

  /**
   * Registers the handlers. Requests are checked once their head is read and before their body is,
   * so that they are refused early.
   */
  public void registerRoutes(Router router) {
    router.route().handler(this::checkHead).handler(this::readBody);
    router.errorHandler(400, context -> refuse(context, 400, "the request is malformed", null, 0));
    router.errorHandler(
        500,
        context ->
            refuse(
                context,
                503,
                "internal error before the request was accepted",
                null,
                FilterResult.RETRY_AT_ONCE_MS));
  }

  private static String key(HttpServerRequest request) {
    String authorization = request.getHeader("Authorization");
    return authorization != null && authorization.startsWith("Bearer ")
        ? authorization.substring(7).trim()
        : "";
  }

  private void checkHead(RoutingContext context) {
    String unreadyReason = relay.unreadyReason();
    if (!unreadyReason.isEmpty()) {
      refuse(context, 503, unreadyReason, null, relay.retryAdvice.msUntilReady());
      return;
    }
    String hash = Configuration.hashKey(key(context.request()));
    if (relay.snapshot().configuration().tenantByKeyHash(hash) == null) {
      refuse(context, 401, "unknown API key", null, 0);
      return;
    }
    Configuration.Route route = relay.snapshot().configuration().route(context.request().path());
    if (route == null) {
      refuse(context, 404, "no mapping for this path", null, 0);
      return;
    }
    if (!context.request().method().name().equals("POST")) {
      context.response().putHeader("Allow", "POST");
      refuse(context, 405, "requests must be sent with POST", null, 0);
      return;
    }
    long arrivedAtMs = relay.clock.now();
    context.put("came", arrivedAtMs).put("hash", hash).put("most", route.maxBodyBytes()).next();
  }

  private void readBody(RoutingContext context) {
    int maxBytes = context.get("most");
    context.addEndHandler(ended -> bodies.release(context.request()));
    BodyReader.read(context.request(), bodies, maxBytes, new BodyReceiver(context));
  }

  /** Receives the body of one request. */
  private final class BodyReceiver implements BodyReader.Receiver {
    private final RoutingContext context;

    BodyReceiver(RoutingContext context) {
      this.context = context;
    }

    @Override
    public void onBody(HttpServerRequest request, Buffer body) {
      acceptBody(context, body, context.get("hash"), context.get("came"));
    }

    @Override
    public void onTooLarge(HttpServerRequest request) {
      refuse(context, 413, "the body is larger than the route allows", null, 0);
    }

    @Override
    public void onNoMemory(HttpServerRequest request) {
      refuse(
          context,
          503,
          "the memory for request bodies is full",
          null,
          Math.max(FilterResult.RETRY_AT_ONCE_MS, bodies.estimatedReleaseMs()));
    }
  }

  private record RequestBody(String prompt, int maxPieces, Boolean repeatable) {}

  private static Result<RequestBody> parseBody(String text) {
    return LocatedJson.parse(text)
        .flatMap(
            json -> {
              Findings findings = new Findings();
              LocatedJson.Fields fields = json.fields(findings);
              RequestBody body =
                  new RequestBody(
                      fields.text("prompt"),
                      (int) fields.integer("maxPieces", 256, 1, MAX_PIECES),
                      fields.has("repeatable") ? fields.flag("repeatable", false) : null);
              fields.reportUnknownFields();
              return Result.of(findings, () -> body);
            });
  }

  private void acceptBody(RoutingContext context, Buffer received, String hash, long arrivedAtMs) {
    Result<RequestBody> parsed = parseBody(received.toString(StandardCharsets.UTF_8));
    if (parsed instanceof Result.Bad<RequestBody> bad) {
      refuse(context, 400, "the body is not a valid request", bad.findings(), 0);
      return;
    }
    RequestBody body = ((Result.Good<RequestBody>) parsed).value();
    Request request =
        new Request(
            decisions.begin(arrivedAtMs), arrivedAtMs, hash, context.request().path(), this);
    request.prompt = new Prompt.Text(body.prompt);
    request.maxPieces = body.maxPieces;
    contexts.put(request, context);
    setRequestIdHeaders(context, request.id());
    context.response().closeHandler(closed -> callerDisconnected(request));
    context.response().exceptionHandler(failure -> callerDisconnected(request));
    relay.begin(request);
    if (body.repeatable != null) request.declaredRepeatable = body.repeatable;
    filterChain.start(request);
  }

  /**
   * Sets the headers with the request's id. Gladelug-Order is the earlier name, sent for one
   * release.
   */
  private static void setRequestIdHeaders(RoutingContext context, String id) {
    context.response().putHeader("Gladelug-Request", id).putHeader("Gladelug-Order", id);
  }

  private void callerDisconnected(Request request) {
    if (contexts.remove(request) != null) relay.callerGone(request);
  }

  private void refuse(
      RoutingContext context, int status, String reason, List<Finding> findings, long retryMs) {
    if (context.response().ended() || context.response().closed()) return;
    JsonObject json = Json.object().add("outcome", "not-run").add("reason", reason);
    if (status != 401) {
      // unauthenticated callers leave no record, so that they cannot push out those of requests
      Decision decision = decisions.begin(relay.clock.now());
      decision.add(
          "turned-away",
          relay.clock.now(),
          Json.object().add("status", status).add("reason", reason));
      decision.setOutcome("not-run");
      decision.end();
      relay.decisionSink.accept(decision);
      json.add("order", decision.id);
      setRequestIdHeaders(context, decision.id);
    }
    if (findings != null) {
      JsonArray array = new JsonArray();
      for (Finding finding : findings)
        array.add(Json.object().add("place", finding.place()).add("what", finding.what()));
      json.add("findings", array);
    }
    if (retryMs > 0) context.response().putHeader("Retry-After", toSeconds(retryMs));
    if (!context.request().isEnded()) context.response().putHeader("Connection", "close");
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(json + "\n");
  }

  private static String toSeconds(long ms) {
    return String.valueOf(Math.max(1, (ms + 999) / 1000));
  }

  // Request.Caller

  @Override
  public void refuse(Request request, FilterResult.Refuse refusal) {
    RoutingContext context = contexts.remove(request);
    if (context == null || context.response().ended() || context.response().closed()) return;
    if (refusal.retryAfterMs() > 0)
      context.response().putHeader("Retry-After", toSeconds(refusal.retryAfterMs()));
    context
        .response()
        .setStatusCode(refusal.status())
        .putHeader("Content-Type", "application/json")
        .end(
            Json.object()
                    .add("outcome", refusal.outcome())
                    .add("order", request.id())
                    .add("reason", refusal.reason())
                + "\n");
  }

  private static HttpServerResponse startResponse(RoutingContext context) {
    HttpServerResponse response = context.response();
    if (!response.headWritten())
      response
          .setStatusCode(200)
          .setChunked(true)
          .putHeader("Content-Type", "application/x-ndjson");
    return response;
  }

  @Override
  public boolean sendPiece(Request request, Buffer piece, Runnable ready) {
    RoutingContext context = contexts.get(request);
    if (context == null) return true;
    HttpServerResponse response = startResponse(context);
    response.write(Buffer.buffer(piece.length() + 1).appendBuffer(piece).appendByte((byte) '\n'));
    if (!response.writeQueueFull()) return true;
    response.drainHandler(drained -> ready.run());
    return false;
  }

  @Override
  public void complete(Request request, int pieces) {
    RoutingContext context = contexts.remove(request);
    if (context != null && !context.response().closed())
      startResponse(context)
          .end(
              Json.object()
                      .add("end", true)
                      .add("outcome", "complete")
                      .add("order", request.id())
                      .add("pieces", pieces)
                  + "\n");
  }

  @Override
  public void cutOff(Request request, String why) {
    RoutingContext context = contexts.remove(request);
    if (context == null || context.response().closed()) return;
    startResponse(context)
        .write(
            Json.object()
                    .add("error", "cut-off")
                    .add("outcome", "cut-off")
                    .add("order", request.id())
                    .add("pieces", request.piecesOut)
                    .add("reason", why)
                + "\n")
        .onComplete(written -> context.request().connection().close());
  }
}

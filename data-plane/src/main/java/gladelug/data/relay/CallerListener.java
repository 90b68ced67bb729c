package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Finding;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
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
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The listener for callers: HTTP/1.1, a JSON body in, numbered pieces out as lines of JSON in a
 * chunked body with an explicit last line. An answer that can't be finished ends with an error line
 * and a body that is not terminated, so nothing truncated looks complete. Every refusal says in
 * "outcome" whether the request ran, and Retry-After when to retry.
 */
public final class CallerListener implements Request.Caller {
  private static final int MAX_PIECES = 100_000;
  private final Relay relay;
  private final RecentDecisions decisions;
  private final FilterChain filterChain;
  private final Map<Integer, BodyHandler> bodyHandlersByLimit = new HashMap<>();
  private final Map<Request, RoutingContext> contexts = new IdentityHashMap<>();

  public CallerListener(Relay r, RecentDecisions decisions, FilterChain way) {
    this.relay = r;
    this.decisions = decisions;
    this.filterChain = way;
  }

  /** Once the head is known and before the body is read: what can be refused already is. */
  public void registerRoutes(Router t) {
    t.route()
        .handler(this::checkHead)
        .handler(this::readBody)
        .handler(context -> acceptBody(context, context.get("hash"), context.get("came")));
    t.errorHandler(
        413,
        context -> refuse(context, 413, "the body is larger than the mapping allows", null, 0));
    t.errorHandler(400, context -> refuse(context, 400, "the request is malformed", null, 0));
    t.errorHandler(
        500,
        context ->
            refuse(
                context,
                503,
                "an internal problem before the order was taken",
                null,
                FilterResult.RETRY_AT_ONCE_MS));
  }

  private static String key(HttpServerRequest request) {
    String a = request.getHeader("Authorization");
    return a != null && a.startsWith("Bearer ") ? a.substring(7).trim() : "";
  }

  private void checkHead(RoutingContext context) {
    String why = relay.unreadyReason();
    if (!why.isEmpty()) {
      refuse(context, 503, why, null, relay.retryAdvice.msUntilReady());
      return;
    }
    String hash = Configuration.hashKey(key(context.request()));
    if (relay.snapshot().configuration().tenantByKeyHash(hash) == null) {
      refuse(context, 401, "the key is not known", null, 0);
      return;
    }
    Configuration.Route m = relay.snapshot().configuration().route(context.request().path());
    if (m == null) {
      refuse(context, 404, "no mapping for this path", null, 0);
      return;
    }
    if (!context.request().method().name().equals("POST")) {
      context.response().putHeader("Allow", "POST");
      refuse(context, 405, "orders are sent with POST", null, 0);
      return;
    }
    long came = relay.clock.now();
    context.put("came", came).put("hash", hash).put("most", m.maxBodyBytes()).next();
  }

  private void readBody(RoutingContext context) {
    bodyHandlersByLimit
        .computeIfAbsent(context.get("most"), n -> BodyHandler.create(false).setBodyLimit(n))
        .handle(context);
  }

  private record RequestBody(String prompt, int maxPieces, Boolean repeatable) {}

  private static Result<RequestBody> parseBody(String text) {
    return LocatedJson.parse(text)
        .flatMap(
            json -> {
              Findings findings = new Findings();
              LocatedJson.Fields f = json.fields(findings);
              RequestBody a =
                  new RequestBody(
                      f.text("prompt"),
                      (int) f.integer("maxPieces", 256, 1, MAX_PIECES),
                      f.has("repeatable") ? f.flag("repeatable", false) : null);
              f.reportUnknownFields();
              return Result.of(findings, () -> a);
            });
  }

  private void acceptBody(RoutingContext context, String hash, long came) {
    byte[] bytes =
        context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
    Result<RequestBody> a = parseBody(new String(bytes, StandardCharsets.UTF_8));
    if (a instanceof Result.Bad<RequestBody> bad) {
      refuse(context, 400, "the body is not an order", bad.findings(), 0);
      return;
    }
    RequestBody x = ((Result.Good<RequestBody>) a).value();
    Request request =
        new Request(decisions.begin(came), came, hash, context.request().path(), this);
    request.prompt = new Prompt.Text(x.prompt);
    request.maxPieces = x.maxPieces;
    contexts.put(request, context);
    setRequestIdHeaders(context, request.id());
    context.response().closeHandler(v -> callerDisconnected(request));
    context.response().exceptionHandler(failure -> callerDisconnected(request));
    relay.begin(request);
    if (x.repeatable != null) request.declaredRepeatable = x.repeatable;
    filterChain.start(request);
  }

  /** The request's id; the second name is the earlier one, sent for one release. */
  private static void setRequestIdHeaders(RoutingContext context, String id) {
    context.response().putHeader("Gladelug-Request", id).putHeader("Gladelug-Order", id);
  }

  private void callerDisconnected(Request request) {
    if (contexts.remove(request) != null) relay.callerGone(request);
  }

  private void refuse(
      RoutingContext context, int status, String reason, List<Finding> fs, long retryMs) {
    if (context.response().ended() || context.response().closed()) return;
    JsonObject json = Json.object().add("outcome", "not-run").add("reason", reason);
    if (status != 401) {
      // whoever has no key leaves no record, so that strangers can't push out those of requests
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
    if (fs != null) {
      JsonArray array = new JsonArray();
      for (Finding f : fs) array.add(Json.object().add("place", f.place()).add("what", f.what()));
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

  // ---- the caller's side of a request

  @Override
  public void refuse(Request request, FilterResult.Refuse v) {
    RoutingContext context = contexts.remove(request);
    if (context == null || context.response().ended() || context.response().closed()) return;
    if (v.retryAfterMs() > 0)
      context.response().putHeader("Retry-After", toSeconds(v.retryAfterMs()));
    context
        .response()
        .setStatusCode(v.status())
        .putHeader("Content-Type", "application/json")
        .end(
            Json.object()
                    .add("outcome", v.outcome())
                    .add("order", request.id())
                    .add("reason", v.reason())
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
    response.drainHandler(v -> ready.run());
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
        .onComplete(x -> context.request().connection().close());
  }
}

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
import gladelug.data.request.Decisions;
import gladelug.data.request.FilterChain;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Prompt;
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
  private static final int MOST_PIECES = 100_000;
  private final Relay r;
  private final Decisions decisions;
  private final FilterChain way;
  private final Map<Integer, BodyHandler> bodies = new HashMap<>();
  private final Map<Request, RoutingContext> calls = new IdentityHashMap<>();

  public CallerListener(Relay r, Decisions decisions, FilterChain way) {
    this.r = r;
    this.decisions = decisions;
    this.way = way;
  }

  /** Once the head is known and before the body is read: what can be refused already is. */
  public void routes(Router t) {
    t.route()
        .handler(this::head)
        .handler(this::limit)
        .handler(context -> body(context, context.get("hash"), context.get("came")));
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

  private void head(RoutingContext context) {
    String why = r.unready();
    if (!why.isEmpty()) {
      refuse(context, 503, why, null, r.retryAdvice.untilReadyMs());
      return;
    }
    String hash = Configuration.hashKey(key(context.request()));
    if (r.tables().configuration().tenantByKeyHash(hash) == null) {
      refuse(context, 401, "the key is not known", null, 0);
      return;
    }
    Configuration.Route m = r.tables().configuration().route(context.request().path());
    if (m == null) {
      refuse(context, 404, "no mapping for this path", null, 0);
      return;
    }
    if (!context.request().method().name().equals("POST")) {
      context.response().putHeader("Allow", "POST");
      refuse(context, 405, "orders are sent with POST", null, 0);
      return;
    }
    long came = r.clock.now();
    context.put("came", came).put("hash", hash).put("most", m.maxBodyBytes()).next();
  }

  private void limit(RoutingContext context) {
    bodies
        .computeIfAbsent(context.get("most"), n -> BodyHandler.create(false).setBodyLimit(n))
        .handle(context);
  }

  private record Asked(String prompt, int maxPieces, Boolean repeatable) {}

  private static Result<Asked> read(String text) {
    return LocatedJson.parse(text)
        .flatMap(
            json -> {
              Findings findings = new Findings();
              LocatedJson.Fields f = json.fields(findings);
              Asked a =
                  new Asked(
                      f.text("prompt"),
                      (int) f.integer("maxPieces", 256, 1, MOST_PIECES),
                      f.has("repeatable") ? f.flag("repeatable", false) : null);
              f.reportUnknownFields();
              return Result.of(findings, () -> a);
            });
  }

  private void body(RoutingContext context, String hash, long came) {
    byte[] bytes =
        context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
    Result<Asked> a = read(new String(bytes, StandardCharsets.UTF_8));
    if (a instanceof Result.Bad<Asked> bad) {
      refuse(context, 400, "the body is not an order", bad.findings(), 0);
      return;
    }
    Asked x = ((Result.Good<Asked>) a).value();
    Request request =
        new Request(decisions.begin(came), came, hash, context.request().path(), this);
    request.prompt = new Prompt.Text(x.prompt);
    request.maxPieces = x.maxPieces;
    calls.put(request, context);
    tellId(context, request.id());
    context.response().closeHandler(v -> gone(request));
    context.response().exceptionHandler(failure -> gone(request));
    r.begin(request);
    if (x.repeatable != null) request.askedRepeatable = x.repeatable;
    way.go(request);
  }

  /** The request's id; the second name is the earlier one, sent for one release. */
  private static void tellId(RoutingContext context, String id) {
    context.response().putHeader("Gladelug-Request", id).putHeader("Gladelug-Order", id);
  }

  private void gone(Request request) {
    if (calls.remove(request) != null) r.gone(request);
  }

  private void refuse(
      RoutingContext context, int status, String reason, List<Finding> fs, long retryMs) {
    if (context.response().ended() || context.response().closed()) return;
    JsonObject json = Json.object().add("outcome", "not-run").add("reason", reason);
    if (status != 401) {
      // whoever has no key leaves no record, so that strangers can't push out those of requests
      Decision decision = decisions.begin(r.clock.now());
      decision.add(
          "turned-away", r.clock.now(), Json.object().add("status", status).add("reason", reason));
      decision.outcome("not-run");
      decision.end();
      r.reasons.accept(decision);
      json.add("order", decision.id);
      tellId(context, decision.id);
    }
    if (fs != null) {
      JsonArray array = new JsonArray();
      for (Finding f : fs) array.add(Json.object().add("place", f.place()).add("what", f.what()));
      json.add("findings", array);
    }
    if (retryMs > 0) context.response().putHeader("Retry-After", seconds(retryMs));
    if (!context.request().isEnded()) context.response().putHeader("Connection", "close");
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(json + "\n");
  }

  private static String seconds(long ms) {
    return String.valueOf(Math.max(1, (ms + 999) / 1000));
  }

  // ---- the caller's side of a request

  @Override
  public void refuse(Request request, FilterResult.Refuse v) {
    RoutingContext context = calls.remove(request);
    if (context == null || context.response().ended() || context.response().closed()) return;
    if (v.retryMs() > 0) context.response().putHeader("Retry-After", seconds(v.retryMs()));
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

  private static HttpServerResponse begun(RoutingContext context) {
    HttpServerResponse response = context.response();
    if (!response.headWritten())
      response
          .setStatusCode(200)
          .setChunked(true)
          .putHeader("Content-Type", "application/x-ndjson");
    return response;
  }

  @Override
  public boolean piece(Request request, Buffer piece, Runnable ready) {
    RoutingContext context = calls.get(request);
    if (context == null) return true;
    HttpServerResponse response = begun(context);
    response.write(Buffer.buffer(piece.length() + 1).appendBuffer(piece).appendByte((byte) '\n'));
    if (!response.writeQueueFull()) return true;
    response.drainHandler(v -> ready.run());
    return false;
  }

  @Override
  public void complete(Request request, int pieces) {
    RoutingContext context = calls.remove(request);
    if (context != null && !context.response().closed())
      begun(context)
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
    RoutingContext context = calls.remove(request);
    if (context == null || context.response().closed()) return;
    begun(context)
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

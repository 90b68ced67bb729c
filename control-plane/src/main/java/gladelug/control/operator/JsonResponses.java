package gladelug.control.operator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Finding;
import gladelug.common.Log;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.ReadResult;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The answers that several handlers give alike. Every answer says plainly whether a change was
 * applied, not applied, or of unknown outcome; unknown is never called failed. Fields, words and
 * statuses are read by operators' scripts.
 */
final class JsonResponses {
  /** What a body may have at most, bytes. */
  static final long MAX_BODY_BYTES = 5 << 20;

  private static final String NO_OWNER =
      "no majority owns this at the moment; if it was sent before, that may have been taken";

  private JsonResponses() {}

  /** Ends the call with this, unless it was ended or the client has gone. */
  static void send(RoutingContext context, int status, JsonObject body) {
    if (context.response().ended() || context.response().closed()) return;
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .endAndForget(body + "\n");
  }

  /** Nothing was changed, for this reason. */
  static void sendNotApplied(RoutingContext context, int status, String reason) {
    send(context, status, notAppliedBody().add("reason", reason));
  }

  /** Whether it was applied isn't known. */
  static void sendUnknown(RoutingContext context, int status, String reason) {
    send(context, status, Json.object().add("outcome", "unknown").add("reason", reason));
  }

  /** No owner with a majority behind it could be asked; worth another try in a second. */
  static void sendNoOwner(RoutingContext context) {
    sendRetryLater(context, NO_OWNER);
  }

  private static void sendRetryLater(RoutingContext context, String reason) {
    context.response().putHeader("Retry-After", "1");
    sendNotApplied(context, 503, reason);
  }

  /** Everything that is wrong with what was sent. */
  static void sendFindings(RoutingContext context, List<Finding> findings) {
    JsonArray array = new JsonArray();
    for (Finding finding : findings)
      array.add(Json.object().add("place", finding.place()).add("what", finding.what()));
    send(context, 400, notAppliedBody().add("findings", array));
  }

  /** A key's newest value with its number; without a value where there never was one. */
  static void sendValue(RoutingContext context, ReadResult newest) {
    context.response().putHeader("ETag", entityTag(newest.number()));
    JsonObject body = Json.object().add("number", newest.number());
    if (newest.number() > 0) body.add("value", Json.parse(bodyText(newest)));
    send(context, 200, body);
  }

  /** What became of a change. */
  static void sendChangeResult(RoutingContext context, ChangeResult result) {
    Log.event("change-answered", "path", context.request().path(), "answer", result);
    if (result instanceof ChangeResult.Acknowledged acknowledged)
      sendAcknowledged(context, acknowledged);
    else if (result instanceof ChangeResult.Conflict conflict)
      send(
          context,
          412,
          notAppliedBody()
              .add("reason", "it was based on another number")
              .add("current", conflict.current()));
    else if (result instanceof ChangeResult.Unknown unknown)
      send(
          context,
          504,
          Json.object()
              .add("outcome", "unknown")
              .add("number", unknown.number())
              .add(
                  "reason",
                  "it may have been taken; ask what became of the number, or send the same again"));
    else if (result instanceof ChangeResult.TooLarge tooLarge)
      sendNotApplied(context, 413, tooLarge.bytes() + " bytes; at most " + tooLarge.most());
    else
      sendRetryLater(
          context, result instanceof ChangeResult.QueueFull ? "too many changes wait" : NO_OWNER);
  }

  private static void sendAcknowledged(
      RoutingContext context, ChangeResult.Acknowledged acknowledged) {
    context.response().putHeader("ETag", entityTag(acknowledged.number()));
    send(
        context,
        200,
        Json.object()
            .add("outcome", "taken")
            .add("number", acknowledged.number())
            .add("repeated", acknowledged.repeated())
            .add("acknowledgedBy", acknowledged.acks())
            .add("licencesRunOut", acknowledged.lapsed())
            .add("waitedMs", acknowledged.waited()));
  }

  private static JsonObject notAppliedBody() {
    return Json.object().add("outcome", "not-taken");
  }

  private static String entityTag(long number) {
    return "\"" + number + "\"";
  }

  /** The value that was read, as text. */
  static String bodyText(ReadResult newest) {
    return new String(newest.body(), StandardCharsets.UTF_8);
  }
}

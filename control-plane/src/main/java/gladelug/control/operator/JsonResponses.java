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
 * The responses shared by several handlers. Every response to a change states whether it was
 * applied, not applied, or has an unknown outcome; an unknown outcome is never reported as a
 * failure. Operators' scripts depend on the fields, their values and the status codes.
 */
final class JsonResponses {
  /** The most bytes of a request body. */
  static final long MAX_BODY_BYTES = 5 << 20;

  private static final String NO_OWNER =
      "no owner with a majority is reachable at the moment; if this change was sent before, "
          + "the earlier one may have been applied";

  private JsonResponses() {}

  /** Sends a response, unless one was sent already or the client has disconnected. */
  static void send(RoutingContext context, int status, JsonObject body) {
    if (context.response().ended() || context.response().closed()) return;
    context
        .response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .endAndForget(body + "\n");
  }

  /** Reports that nothing was changed, with the reason. */
  static void sendNotApplied(RoutingContext context, int status, String reason) {
    send(context, status, notAppliedBody().add("reason", reason));
  }

  /** Reports that it is unknown whether a change was applied. */
  static void sendUnknown(RoutingContext context, int status, String reason) {
    send(context, status, Json.object().add("outcome", "unknown").add("reason", reason));
  }

  /**
   * Reports that no owner with a majority could be reached; the client may retry after a second.
   */
  static void sendNoOwner(RoutingContext context) {
    sendRetryLater(context, NO_OWNER);
  }

  private static void sendRetryLater(RoutingContext context, String reason) {
    context.response().putHeader("Retry-After", "1");
    sendNotApplied(context, 503, reason);
  }

  /** Reports everything that is wrong with the request. */
  static void sendFindings(RoutingContext context, List<Finding> findings) {
    JsonArray array = new JsonArray();
    for (Finding finding : findings)
      array.add(Json.object().add("place", finding.place()).add("what", finding.what()));
    send(context, 400, notAppliedBody().add("findings", array));
  }

  /**
   * Sends a key's newest value with its number, or only the number 0 if the key was never written.
   */
  static void sendValue(RoutingContext context, ReadResult newest) {
    context.response().putHeader("ETag", entityTag(newest.number()));
    JsonObject body = Json.object().add("number", newest.number());
    if (newest.number() > 0) body.add("value", Json.parse(bodyText(newest)));
    send(context, 200, body);
  }

  /** Sends the result of a change. */
  static void sendChangeResult(RoutingContext context, ChangeResult result) {
    Log.event("change-answered", "path", context.request().path(), "answer", result);
    if (result instanceof ChangeResult.Acknowledged acknowledged)
      sendAcknowledged(context, acknowledged);
    else if (result instanceof ChangeResult.Conflict conflict)
      send(
          context,
          412,
          notAppliedBody()
              .add("reason", "the change is based on a number that is not the newest")
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
                  "the change may have been applied; "
                      + "query the status of the number, or send the same change again"));
    else if (result instanceof ChangeResult.TooLarge tooLarge)
      sendNotApplied(context, 413, tooLarge.bytes() + " bytes; the limit is " + tooLarge.most());
    else
      sendRetryLater(
          context,
          result instanceof ChangeResult.QueueFull ? "too many changes are queued" : NO_OWNER);
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

  /** Returns the body of a value as text. */
  static String bodyText(ReadResult newest) {
    return new String(newest.body(), StandardCharsets.UTF_8);
  }
}

package gladelug.control.operator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Finding;
import gladelug.control.core.ChangeRecord;
import gladelug.control.core.CoreService;
import gladelug.control.core.message.ReadResult;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.time.Instant;
import java.util.List;

/** The changes an owner remembers of a key, and what became of one of them. */
final class ChangeHistoryHandler {
  private final CoreService core;

  ChangeHistoryHandler(CoreService core) {
    this.core = core;
  }

  /** The changes remembered of a key, for people: stamps are by the owner's wall clock. */
  void showChanges(RoutingContext context, String key) {
    core.ask(member -> member.changeHistory(key))
        .subscribe()
        .with(
            changes -> {
              JsonArray array = new JsonArray();
              for (ChangeRecord change : changes) array.add(toJson(change));
              JsonResponses.send(context, 200, Json.object().add("key", key).add("numbers", array));
            },
            failure -> context.fail(500, failure));
  }

  private static JsonObject toJson(ChangeRecord change) {
    JsonObject firstSeenAt = Json.object();
    change.firstSeenAt().forEach((name, atMs) -> firstSeenAt.add(name, formatTime(atMs)));
    return Json.object()
        .add("number", change.number())
        .add("digest", change.digest())
        .add("taken", formatTimeOrEmpty(change.appliedAt()))
        .add("by", change.appliedBy())
        .add("changed", change.summary())
        .add("acknowledged", formatTimeOrEmpty(change.acknowledgedAt()))
        .add("firstSeenAt", firstSeenAt);
  }

  private static String formatTimeOrEmpty(long atMs) {
    return atMs == 0 ? "" : formatTime(atMs);
  }

  private static String formatTime(long atMs) {
    return Instant.ofEpochMilli(atMs).toString();
  }

  /** What became of a change that was sent under a number, by the digest of its bytes. */
  void showOutcome(RoutingContext context, String key) {
    String digest = context.request().getParam("digest");
    long number = parsePositive(context.pathParam("number"));
    if (number == 0 || digest == null) {
      JsonResponses.sendFindings(
          context,
          List.of(
              new Finding(
                  "number and digest",
                  "needs a number from 1 and ?digest=, the SHA-256 of what was sent")));
      return;
    }
    core.readNewest(key)
        .subscribe()
        .with(
            newest -> JsonResponses.send(context, 200, outcomeJson(newest, number, digest)),
            failure -> context.fail(500, failure));
  }

  /** A number from 1, or 0 for anything else. */
  private static long parsePositive(String text) {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static JsonObject outcomeJson(ReadResult newest, long number, String digest) {
    String fate =
        !newest.hasOwner()
            ? "unknown"
            : switch (newest.statusOfNumber(number, digest)) {
              case APPLIED -> "taken";
              case OTHER_CHANGE -> "other";
              case NOT_ASSIGNED -> "not-yet";
              case EXPIRED -> "forgotten";
            };
    return Json.object().add("number", number).add("fate", fate);
  }
}

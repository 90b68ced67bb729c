package gladelug.control.operator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.CoreMember;
import gladelug.control.core.CoreService;
import gladelug.control.core.KeyStatus;
import gladelug.control.core.SubscriberStatus;
import gladelug.control.core.config.MemberSet;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Map;

/** This member's view of members, keys and subscribers, and whether it is ready to serve. */
final class StatusHandler {
  private final CoreService core;
  private volatile boolean isStopping;

  StatusHandler(CoreService core) {
    this.core = core;
  }

  /** From now on this machine is not ready. */
  void markStopping() {
    isStopping = true;
  }

  /** 200 while this member knows the members and a majority of them is in reach, else 503. */
  void showReadiness(RoutingContext context) {
    core.ask(StatusHandler::reachesMajority)
        .subscribe()
        .with(
            majority -> {
              boolean ready = majority && !isStopping;
              String reason =
                  isStopping ? "stopping" : majority ? "" : "no majority of the core is in reach";
              JsonResponses.send(
                  context,
                  ready ? 200 : 503,
                  Json.object().add("ready", ready).add("reason", reason));
            },
            failure -> context.fail(500, failure));
  }

  private static boolean reachesMajority(CoreMember member) {
    return member.isInitialized()
        && member.memberLiveness().values().stream().filter(alive -> alive).count()
            > member.members().all().size() / 2;
  }

  /** All this member knows, in one answer; 503 where it takes no part in the core. */
  void showStatus(RoutingContext context) {
    core.ask(this::statusJson)
        .subscribe()
        .with(
            status ->
                JsonResponses.send(context, status.getBoolean("active", false) ? 200 : 503, status),
            failure -> context.fail(500, failure));
  }

  private JsonObject statusJson(CoreMember member) {
    return Json.object()
        .add("generation", member.members().generation())
        .add("members", membersJson(member))
        .add("keys", keysJson(member))
        .add("wouldJoin", joinCandidatesJson(member))
        .add("sealed", member.isSealed())
        .add("retired", member.isRetired())
        .add("active", member.isActive())
        .add("nodes", subscribersJson(member));
  }

  private static JsonArray membersJson(CoreMember member) {
    Map<String, Boolean> alive = member.memberLiveness();
    JsonArray array = new JsonArray();
    for (MemberSet.Member other : member.members().all())
      array.add(
          Json.object()
              .add("name", other.name())
              .add("records", other.recordsAddress().toString())
              .add("operator", other.operatorAddress().toString())
              .add("alive", alive.getOrDefault(other.name(), false)));
    return array;
  }

  private static JsonArray keysJson(CoreMember member) {
    JsonArray array = new JsonArray();
    for (KeyStatus key : member.keyStatuses())
      array.add(
          Json.object()
              .add("key", key.key())
              .add("owner", key.owner())
              .add("epoch", key.epoch())
              .add("number", key.number())
              .add("digest", key.digest())
              .add("licensed", key.leaseCount())
              .add("confirmedMsAgo", key.confirmedAgoMs()));
    return array;
  }

  private static JsonArray joinCandidatesJson(CoreMember member) {
    JsonArray array = new JsonArray();
    for (MemberSet.Member joiner : member.joinCandidates())
      array.add(
          Json.object()
              .add("name", joiner.name())
              .add("records", joiner.recordsAddress().toString()));
    return array;
  }

  private JsonArray subscribersJson(CoreMember member) {
    JsonArray array = new JsonArray();
    for (SubscriberStatus subscriber : member.subscribers()) {
      JsonObject versions = Json.object();
      for (StateUpdate.KnownVersion version : subscriber.versions())
        versions.add(
            version.key(),
            Json.object()
                .add("number", version.number())
                .add(
                    "forMs",
                    core.nowMs()
                        - subscriber.versionSinceMs().getOrDefault(version.key(), core.nowMs())));
      array.add(
          Json.object()
              .add("name", subscriber.name())
              .add("role", subscriber.role())
              .add("domain", subscriber.zone())
              .add("operator", subscriber.operatorAddress())
              .add("askedMsAgo", core.nowMs() - subscriber.lastRequestAtMs())
              .add("holds", versions));
    }
    return array;
  }
}

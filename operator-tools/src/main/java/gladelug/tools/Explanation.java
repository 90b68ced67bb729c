package gladelug.tools;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.message.StateKeys;
import java.util.ArrayList;
import java.util.List;

/**
 * Formats operator responses as readable text: a relay's record of a request, stage by stage, the
 * history of a number of the control state, and the status of the fleet. The text contains only
 * what the responses contain; no reasons are inferred.
 */
final class Explanation {
  private Explanation() {}

  /** Returns the name by which operators know a key of the control state. */
  static String displayName(String key) {
    return key.equals(StateKeys.CONFIGURATION) ? "configuration" : key;
  }

  /** Formats a relay's record of a request, with a line for each stage. */
  static String describeRequest(JsonObject request) {
    StringBuilder builder = new StringBuilder();
    builder
        .append("request ")
        .append(request.getString("order", "?"))
        .append(", received ")
        .append(request.getString("came", "?"))
        .append(": ")
        .append(request.getString("outcome", "?"))
        .append('\n');
    for (JsonValue value : request.get("stages").asArray()) {
      JsonObject stage = value.asObject();
      builder.append(
          String.format("%8d ms  %-12s ", stage.getLong("atMs", 0), stage.getString("stage", "")));
      builder.append(describeStage(stage)).append('\n');
    }
    return builder.toString();
  }

  /**
   * Names the node that a request's record was read from if that is not the relay that took the
   * request. For a request recorded as live, also says which replica it was handed to, since the
   * node cannot know how the request ended.
   */
  static String describeRecordSource(JsonObject request, String source) {
    String replica = "";
    for (JsonValue value : request.get("stages").asArray())
      if (value.asObject().getString("stage", "").equals("hand-over"))
        replica = value.asObject().getString("replica", "");
    return "as its relay told "
        + source
        + (request.getString("outcome", "").equals("live")
            ? "; handed to "
                + (replica.isEmpty() ? "no replica" : "replica " + replica)
                + ", fate not known here\n"
            : "\n");
  }

  private static String describeStage(JsonObject stage) {
    return switch (stage.getString("stage", "")) {
      case "key" ->
          "the key belongs to tenant "
              + stage.getString("tenant", "")
              + (stage.getBoolean("isolated", false) ? ", which shares no cached prefixes" : "")
              + "; configuration "
              + stage.get("policy");
      case "mapping" ->
          "route "
              + stage.getString("mapping", "")
              + " leads to service "
              + stage.getString("service", "")
              + "; share "
              + stage.getString("share", "")
              + ", deadline "
              + stage.get("expiryMs")
              + " ms, "
              + (stage.getBoolean("repeatable", false) ? "may be retried" : "must not be retried");
      case "admission" ->
          "waited "
              + stage.get("waitedMs")
              + " ms for a free slot, "
              + stage.get("backlogThen")
              + " requests still waiting at that time";
      case "lookup" ->
          stage.get("blocks")
              + " full blocks for weights "
              + stage.getString("weights", "")
              + "; the index "
              + stage.getString("index", "")
              + ": "
              + describeMatches(stage);
      case "choice" ->
          "replica "
              + stage.getString("replica", "")
              + " of "
              + stage.get("of")
              + " with a free slot:"
              + describeOptions(stage);
      case "fetch" ->
          stage.get("kept")
              + " blocks expected in its cache"
              + (stage.getInt("pull", 0) > 0
                  ? ", " + stage.get("pull") + " to be fetched from " + stage.getString("from", "")
                  : "")
              + ", "
              + stage.get("compute")
              + " to be computed";
      case "hand-over" ->
          "attempt " + stage.get("try") + " went to " + stage.getString("replica", "");
      case "replica" ->
          "the replica reports: reused "
              + stage.get("reused")
              + ", fetched "
              + stage.get("fetched")
              + ", computed "
              + stage.get("computed");
      case "stream" -> "first piece after " + stage.get("firstPieceMs") + " ms";
      case "again" -> "another replica is chosen: " + stage.getString("why", "");
      case "turned-away" ->
          "refused with " + stage.get("status") + ": " + stage.getString("reason", "");
      case "cut-off" ->
          "cut off after " + stage.get("pieces") + " pieces: " + stage.getString("why", "");
      case "caller-gone" -> "the caller disconnected after " + stage.get("pieces") + " pieces";
      default -> stage.toString();
    };
  }

  private static String describeMatches(JsonObject stage) {
    List<String> parts = new ArrayList<>();
    for (JsonValue value : stage.get("matches").asArray())
      parts.add(
          value.asObject().getString("holder", "") + " may hold " + value.asObject().get("blocks"));
    return parts.isEmpty() ? "no holder known" : String.join(", ", parts);
  }

  private static String describeOptions(JsonObject stage) {
    StringBuilder builder = new StringBuilder();
    for (JsonValue value : stage.get("options").asArray()) {
      JsonObject option = value.asObject();
      builder.append(
          String.format(
              "%n%26s%-14s %8s ms = queue %s + work %s; %s blocks matched, %s requests in progress",
              "",
              option.getString("replica", ""),
              option.get("totalMs"),
              option.get("backlogMs"),
              option.get("workMs"),
              option.get("matched"),
              option.get("load")));
      if (option.getInt("fetchBlocks", 0) > 0)
        builder
            .append(", ")
            .append(option.get("fetchBlocks"))
            .append(" from ")
            .append(option.getString("fetchFrom", ""));
    }
    return builder.toString();
  }

  /**
   * Formats which node owns a key, which nodes hold the given number or a later one and for how
   * long, and which nodes are behind.
   *
   * @param status the status that a control machine reports
   */
  static String describeNumber(String key, long number, JsonObject status) {
    StringBuilder builder = new StringBuilder();
    for (JsonValue value : status.get("keys").asArray()) {
      JsonObject entry = value.asObject();
      if (entry.getString("key", "").equals(key))
        builder
            .append(displayName(key))
            .append(' ')
            .append(entry.get("number"))
            .append(" is the latest number; owner: ")
            .append(entry.getString("owner", "").isEmpty() ? "none" : entry.getString("owner", ""))
            .append(
                number > entry.getLong("number", 0)
                    ? "; " + number + " has not been assigned yet"
                    : "")
            .append('\n');
    }
    for (JsonValue value : status.get("nodes").asArray()) {
      JsonObject node = value.asObject();
      JsonObject holding =
          node.get("holds").asObject().get(key) == null
              ? null
              : node.get("holds").asObject().get(key).asObject();
      long held = holding == null ? 0 : holding.getLong("number", 0);
      builder.append(
          String.format(
              "  %-12s %-6s %s%n",
              node.getString("name", ""),
              node.getString("role", ""),
              held >= number
                  ? "has had " + held + " for " + holding.get("forMs") + " ms"
                  : "is behind at "
                      + held
                      + ", last contact "
                      + node.get("askedMsAgo")
                      + " ms ago"));
    }
    return builder.toString();
  }

  /**
   * Formats when a number was taken and by which node, what it changed, when each node was first
   * seen with it, and which number replaced it.
   *
   * @param numbers the numbers of the key that the control machine remembers
   */
  static String describeHistory(String key, long number, JsonArray numbers) {
    StringBuilder builder = new StringBuilder();
    for (JsonValue value : numbers) {
      JsonObject entry = value.asObject();
      long current = entry.getLong("number", 0);
      String when =
          entry.getString("taken", "").isEmpty()
              ? "at an unrecorded time"
              : "at " + entry.getString("taken", "");
      if (current == number) {
        builder
            .append(displayName(key))
            .append(' ')
            .append(current)
            .append(" was taken ")
            .append(when)
            .append(" by ")
            .append(entry.getString("by", ""))
            .append("; it changed ")
            .append(entry.getString("changed", ""));
        if (!entry.getString("acknowledged", "").isEmpty())
          builder.append("; acknowledged at ").append(entry.getString("acknowledged", ""));
        builder.append('\n');
        for (JsonObject.Member node : entry.get("firstSeenAt").asObject())
          builder
              .append("  ")
              .append(node.getName())
              .append(" was first seen with it at ")
              .append(node.getValue().asString())
              .append('\n');
      } else if (current == number + 1)
        builder
            .append("it was replaced by ")
            .append(current)
            .append(' ')
            .append(when)
            .append(", which changed ")
            .append(entry.getString("changed", ""))
            .append('\n');
    }
    if (builder.length() == 0)
      builder
          .append("nothing more is remembered of ")
          .append(displayName(key))
          .append(' ')
          .append(number)
          .append("; only the last ")
          .append(numbers.size())
          .append(" numbers are remembered\n");
    return builder.toString();
  }

  /** Formats the status that a control machine reports: core members, keys and nodes. */
  static String describeFleet(JsonObject status) {
    StringBuilder builder = new StringBuilder("core generation " + status.get("generation") + "\n");
    for (JsonValue value : status.get("members").asArray()) {
      JsonObject member = value.asObject();
      builder.append(
          String.format(
              "  %-12s %-6s %s%n",
              member.getString("name", ""),
              member.getBoolean("alive", false) ? "alive" : "silent",
              member.getString("operator", "")));
    }
    for (JsonValue value : status.get("wouldJoin").asArray())
      builder
          .append("  ")
          .append(value.asObject().getString("name", ""))
          .append(" requests to join\n");
    builder.append("keys\n");
    for (JsonValue value : status.get("keys").asArray()) {
      JsonObject key = value.asObject();
      builder.append(
          String.format(
              "  %-24s number %-6s owner %-12s epoch %s%s%n",
              displayName(key.getString("key", "")),
              key.get("number"),
              key.getString("owner", "").isEmpty() ? "none" : key.getString("owner", ""),
              key.get("epoch"),
              key.getInt("licensed", -1) >= 0 ? ", leases granted " + key.get("licensed") : ""));
    }
    builder.append("nodes\n");
    for (JsonValue value : status.get("nodes").asArray()) {
      JsonObject node = value.asObject();
      builder.append(
          String.format(
              "  %-12s %-6s %-8s last contact %s ms ago, holds",
              node.getString("name", ""),
              node.getString("role", ""),
              node.getString("domain", ""),
              node.get("askedMsAgo")));
      for (var holding : node.get("holds").asObject())
        builder
            .append(' ')
            .append(displayName(holding.getName()))
            .append(' ')
            .append(holding.getValue().asObject().get("number"));
      builder.append('\n');
    }
    return builder.toString();
  }

  /** Formats the status that a node reports about itself, with a line for each entry. */
  static String describeNode(String name, JsonObject status) {
    StringBuilder builder = new StringBuilder(name).append('\n');
    for (JsonObject.Member entry : status) {
      if (entry.getValue().isObject())
        for (JsonObject.Member field : entry.getValue().asObject())
          builder
              .append("  ")
              .append(entry.getName())
              .append(' ')
              .append(field.getName())
              .append(' ')
              .append(formatInline(field.getValue()))
              .append('\n');
      else if (entry.getValue().isArray())
        for (JsonValue value : entry.getValue().asArray())
          builder
              .append("  ")
              .append(entry.getName())
              .append(' ')
              .append(formatInline(value))
              .append('\n');
      else
        builder
            .append("  ")
            .append(entry.getName())
            .append(' ')
            .append(formatInline(entry.getValue()))
            .append('\n');
    }
    return builder.toString();
  }

  /** Formats a JSON value on one line; an empty string becomes "-". */
  private static String formatInline(JsonValue value) {
    if (value.isString()) return value.asString().isEmpty() ? "-" : value.asString();
    if (!value.isObject()) return value.toString();
    List<String> parts = new ArrayList<>();
    for (JsonObject.Member field : value.asObject())
      parts.add(field.getName() + "=" + formatInline(field.getValue()));
    return String.join(" ", parts);
  }
}

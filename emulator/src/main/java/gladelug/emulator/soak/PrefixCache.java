package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt prefix cache of a stand-in replica or store. Remembers which request created each part
 * and answers the two cache calls, for events and for the whole list. A part is found only under
 * the salt, id and token count it was stored with.
 */
final class PrefixCache {
  /** The request that created a part, and its tenant. */
  record Creator(String tenant, String id) {}

  /** The lookup key of a cached part of a prompt. */
  record Part(String salt, String id, int tokens) {
    JsonArray toJson() {
      return new JsonArray().add(salt).add(id).add(tokens).add(ConfigurationModel.MODEL);
    }
  }

  private static final int MAX_ENTRIES = 4000;

  private final Map<Part, Creator> parts = new LinkedHashMap<>();
  private final List<JsonArray> events = new ArrayList<>();
  private int epoch = 1;

  /** Drops all parts and events and begins a new epoch, as a restart does. */
  synchronized void restart() {
    parts.clear();
    events.clear();
    epoch++;
    notifyAll();
  }

  /** Evicts all parts, as new weights require, and logs an event for each. */
  synchronized void dropAll() {
    for (Part part : List.copyOf(parts.keySet())) remove(part);
  }

  synchronized Creator find(Part part) {
    return parts.get(part);
  }

  synchronized void keep(Part part, Creator creator) {
    if (parts.putIfAbsent(part, creator) != null) return;
    logEvent("+", part, part.tokens());
    if (parts.size() > MAX_ENTRIES) remove(parts.keySet().iterator().next());
  }

  private void remove(Part part) {
    parts.remove(part);
    logEvent("-", part, 0);
  }

  private void logEvent(String sign, Part part, int tokensNow) {
    events.add(
        new JsonArray()
            .add(events.size() + 1)
            .add(sign)
            .add(part.salt())
            .add(part.id())
            .add(tokensNow)
            .add(ConfigurationModel.MODEL));
    notifyAll();
  }

  /** Parses the value of a prompt prefix header into parts, in order. */
  static List<Part> parseParts(String salt, String prefix) {
    List<Part> parts = new ArrayList<>();
    for (String one : prefix.split(",")) {
      String[] fields = one.trim().split(":");
      if (fields.length == 2) parts.add(new Part(salt, fields[0], Integer.parseInt(fields[1])));
    }
    return parts;
  }

  /**
   * Answers `/-/kv-events` and `/-/kv-list`; returns false, without an answer, for any other
   * target.
   */
  boolean answerIfCacheCall(String target, HttpMessage request, OutputStream out)
      throws IOException {
    if (target.startsWith("/-/kv-events"))
      SocketServer.writeAnswer(out, 200, "", eventsPage(target, request));
    else if (target.startsWith("/-/kv-list")) SocketServer.writeAnswer(out, 200, "", entriesList());
    else return false;
    return true;
  }

  private synchronized String eventsPage(String target, HttpMessage request) {
    int since = Integer.parseInt(target.replaceAll(".*SinceTime=(\\d+).*", "$1"));
    String wait = request.header("Wait-Ms");
    long untilNs = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait) * 1_000_000);
    while (events.size() <= since && System.nanoTime() < untilNs)
      try {
        wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    JsonArray log = new JsonArray();
    for (int i = since; i < events.size(); i++) log.add(events.get(i));
    return Json.object()
        .add("RestartEpoch", epoch)
        .add("NextPageToken", events.size())
        .add("LostCount", since > events.size())
        .add("EventLog", log)
        .toString();
  }

  private synchronized String entriesList() {
    JsonArray held = new JsonArray();
    for (Part part : parts.keySet()) held.add(part.toJson());
    return Json.object()
        .add("RestartEpoch", epoch)
        .add("NextPageToken", events.size())
        .add("HeldCount", held)
        .toString();
  }
}

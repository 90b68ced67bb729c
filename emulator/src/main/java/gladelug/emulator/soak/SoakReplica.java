package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.emulator.soak.SoakLedger.Run;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A stand-in for a model replica. It speaks the platform's protocol, caches parts of prompts along
 * with the requests that created them, records every run in the ledger and injects faults on
 * demand.
 */
final class SoakReplica implements AutoCloseable {
  static final int SLOTS = 96;

  /** How long an endless answer goes on if its caller doesn't close the connection. */
  private static final int MAX_ENDLESS_ANSWER_MS = 5000;

  private static final int HUGE_ANSWER_BYTES = 24 << 20;
  private static final int SLOWDOWN_FACTOR = 10;
  private static final String ENDLESS_LINE = "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n";

  final int number;
  final ActiveFaults faults = new ActiveFaults();
  final PrefixCache cache = new PrefixCache();
  private final SoakLedger ledger;
  private final SocketServer server;

  /**
   * Looks up the cache of the replica or store at an address; returns null for an unknown address.
   */
  private final Function<String, PrefixCache> cacheByAddress;

  private final AtomicInteger active = new AtomicInteger();
  private int incarnation = 1;
  private int sequence;
  private long highestFence = -1;
  private volatile int revision = 1;
  private volatile boolean listed = true;

  SoakReplica(
      int number, String host, SoakLedger ledger, Function<String, PrefixCache> cacheByAddress)
      throws IOException {
    this.number = number;
    this.ledger = ledger;
    this.cacheByAddress = cacheByAddress;
    server = new SocketServer(host, "replica " + number, this::handle);
    server.open();
  }

  String instance() {
    return "i-" + number + "-" + incarnation;
  }

  String address() {
    return server.address();
  }

  /** Returns this replica's entry in the platform's list, or null while it is not listed. */
  JsonObject listEntry() {
    return !listed
        ? null
        : Json.object()
            .add("BackendService", ConfigurationModel.SERVICE)
            .add("Address", address())
            .add("Zone", SoakMachines.zone(number))
            .add("Revision", "v1")
            .add("SlotCount", SLOTS)
            .add("LifecycleState", "ready")
            .add("ColdRemainingMs", 0)
            .add("ServingStage", "prefill_decode")
            .add("ModelList", modelsJson())
            .add("InstanceId", instance());
  }

  private JsonArray modelsJson() {
    return new JsonArray()
        .add(
            Json.object()
                .add("Name", ConfigurationModel.MODEL)
                .add("Revision", revision)
                .add("AdapterList", new JsonArray()));
  }

  /** Simulates the end of the process: resets all connections and clears the cache. */
  void crash() {
    server.close();
    cache.restart();
  }

  /** Simulates a restart, as a new instance at the same address. */
  void restart(int newestRevision) throws IOException {
    synchronized (this) {
      incarnation++;
      sequence = 0;
      highestFence = -1;
      revision = newestRevision;
    }
    server.open();
    listed = true;
  }

  /** Removes this replica from the platform's list. */
  void unlist() {
    listed = false;
  }

  private void handle(HttpMessage request, OutputStream out) throws IOException {
    String target = request.startLine().split(" ")[1];
    String expected = request.header("X-Gladelug-Expect-Instance");
    boolean page = target.startsWith("/-/");
    if (page && faults.isActive(EventKind.PAGES_MALFORMED) && !target.startsWith("/-/order"))
      writeMalformed(out);
    else if (!expected.isEmpty() && !expected.equals(instance()))
      SocketServer.writeAnswer(out, 421, notExecutedHeaders(request), "{}");
    else if (target.startsWith("/-/report")) SocketServer.writeAnswer(out, 200, "", reportJson());
    else if (target.startsWith("/-/order")) handleOrder(request, out);
    else if (target.equals("/health"))
      SocketServer.writeAnswer(out, 200, "X-Gladelug-Instance-Id: " + instance() + "\r\n", "{}");
    else if (!cache.answerIfCacheCall(target, request, out)) handleRequest(request, target, out);
  }

  private static String requestIdHeader(HttpMessage request) {
    return "X-Gladelug-Request-Id: " + request.header("X-Gladelug-Request-Id") + "\r\n";
  }

  private static String notExecutedHeaders(HttpMessage request) {
    return requestIdHeader(request) + "X-Gladelug-Not-Executed: 1\r\n";
  }

  private String reportJson() {
    return Json.object()
        .add("ServingStage", "prefill_decode")
        .add("ModelList", modelsJson())
        .add("IsBusy", false)
        .add("Sequence", sequence)
        .add("Queued", 0)
        .add("Active", active.get())
        .add("KvUsedTokens", 0)
        .add("KvTotalTokens", 78_050)
        .add("HandleCount", 0)
        .toString();
  }

  /** Writes an answer that is truncated JSON, far too deeply nested, or endless. */
  private void writeMalformed(OutputStream out) throws IOException {
    switch ((int) (System.nanoTime() / 1000 % 3)) {
      case 0 -> SocketServer.writeAnswer(out, 200, "", "{\"EventLog\":[[1,");
      case 1 -> SocketServer.writeAnswer(out, 200, "", "[".repeat(200_000));
      default -> writeEndless(out, "application/json");
    }
  }

  private void handleOrder(HttpMessage request, OutputStream out) throws IOException {
    JsonObject order = Json.parse(request.text()).asObject();
    long fence = order.getLong("FenceToken", -1);
    boolean refused;
    synchronized (this) {
      refused = fence < highestFence;
      if (!refused) {
        highestFence = fence;
        sequence++;
        revision = order.getInt("Revision", revision);
      }
    }
    if (!refused) {
      cache.dropAll();
      ledger.recordOrder(
          new SoakLedger.Order(instance(), order.getString("HolderId", ""), fence, ledger.nowMs()));
    }
    SocketServer.writeAnswer(out, refused ? 412 : 202, "", "{}");
  }

  private void handleRequest(HttpMessage request, String target, OutputStream out)
      throws IOException {
    String version = request.header("X-Gladelug-Expect-Version");
    if (!version.isEmpty() && !version.equals(String.valueOf(revision))) {
      SocketServer.writeAnswer(out, 421, notExecutedHeaders(request), "{}");
      return;
    }
    RequestKind kind = RequestKind.ofPath(target);
    if (kind == null) {
      SocketServer.writeAnswer(out, 404, requestIdHeader(request), "{}");
      return;
    }
    if (active.incrementAndGet() > SLOTS) {
      active.decrementAndGet();
      SocketServer.writeAnswer(out, 503, notExecutedHeaders(request), "{}");
      return;
    }
    Run run =
        ledger.recordRun(
            new Run(
                request.header("X-Gladelug-Request-Id"),
                instance(),
                ConfigurationModel.SERVICE,
                request.header("X-Gladelug-Tenant-Id"),
                ledger.nowMs(),
                request.digest(),
                request.header("X-Gladelug-Credential")));
    try {
      useParts(request, run);
      EventKind fault = faults.faultFor(run.id);
      run.spoiledBy = fault;
      writeAnswer(kind, request, run, fault, out);
      run.answerComplete = fault == null || fault == EventKind.ANSWER_SURPLUS;
    } finally {
      run.endedAtMs = ledger.nowMs();
      active.decrementAndGet();
    }
  }

  /**
   * Looks up the parts of the prompt in order, in this cache and in the one to fetch from, records
   * each use, and stores all parts.
   */
  private void useParts(HttpMessage request, Run run) {
    PrefixCache other = cacheByAddress.apply(request.header("X-Gladelug-Kv-Fetch-From"));
    PrefixCache store = cacheByAddress.apply(request.header("X-Gladelug-Kv-Save-To"));
    List<PrefixCache.Part> parts =
        PrefixCache.parseParts(
            request.header("X-Gladelug-Cache-Salt"), request.header("X-Gladelug-Prompt-Prefix"));
    PrefixCache.Creator self = new PrefixCache.Creator(run.tenant, run.id);
    boolean found = true;
    for (PrefixCache.Part part : parts) {
      PrefixCache.Creator creator = cache.find(part);
      if (creator == null && other != null) creator = other.find(part);
      found &= creator != null;
      if (found)
        ledger.recordPartUse(
            new SoakLedger.PartUse(run.id, run.tenant, creator.id(), creator.tenant(), run.atMs));
      cache.keep(part, found ? creator : self);
      if (store != null) store.keep(part, found ? creator : self);
    }
  }

  private void writeAnswer(
      RequestKind kind, HttpMessage request, Run run, EventKind fault, OutputStream out)
      throws IOException {
    int workMs =
        kind.workPerStepMs * (faults.isActive(EventKind.REPLICA_SLOW) ? SLOWDOWN_FACTOR : 1);
    if (fault == EventKind.ANSWER_ENDLESS) {
      writeEndless(out, answerHeaders(request));
    } else if (fault == EventKind.ANSWER_HUGE && kind.eventCount == 0) {
      DaemonThreads.pause(workMs);
      byte[] body = new byte[HUGE_ANSWER_BYTES];
      Arrays.fill(body, (byte) 'h');
      writeBody(out, answerHeaders(request), body, body.length);
    } else if (kind.eventCount == 0) {
      DaemonThreads.pause(workMs);
      byte[] body = expectedBody(run.id);
      writeBody(
          out,
          answerHeaders(request),
          body,
          fault == null ? body.length : bytesToSend(fault, body.length));
    } else writeEvents(kind, request, run, workMs, fault, out);
    if (fault == EventKind.ANSWER_SURPLUS)
      out.write(
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra".getBytes(StandardCharsets.US_ASCII));
    if (fault == EventKind.ANSWER_CUT || fault == EventKind.REPLICA_RESET)
      throw new IOException("answer cut by a planned fault");
  }

  private static int bytesToSend(EventKind fault, int length) {
    return fault == EventKind.ANSWER_SURPLUS ? length : length / 2;
  }

  /** Returns the body of the answer to a request that is not streamed. */
  static byte[] expectedBody(String id) {
    return ("answer to " + id + " ").repeat(12).getBytes(StandardCharsets.US_ASCII);
  }

  static String expectedEvent(String id, int number) {
    return "id: " + number + "\ndata: piece " + number + " of " + id + "\n\n";
  }

  private String answerHeaders(HttpMessage request) {
    return "HTTP/1.1 200 OK\r\n"
        + requestIdHeader(request)
        + "X-Gladelug-Server-Seal: "
        + seal(request.header("X-Gladelug-Request-Id"))
        + "\r\nX-Gladelug-Weight-Versions: "
        + revision
        + "\r\nX-Gladelug-Instance-Load: "
        + active.get()
        + ",0,"
        + SLOTS
        + "\r\n";
  }

  private String seal(String id) {
    return "seal-" + instance() + "-" + id;
  }

  private static void writeBody(OutputStream out, String head, byte[] body, int sent)
      throws IOException {
    HttpMessage.write(out, head + "Content-Length: " + body.length + "\r\n", new byte[0]);
    out.write(body, 0, sent);
    out.flush();
  }

  private void writeEvents(
      RequestKind kind, HttpMessage request, Run run, int workMs, EventKind fault, OutputStream out)
      throws IOException {
    String last = request.header("Last-Event-Id");
    int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    int to =
        fault == EventKind.ANSWER_CUT || fault == EventKind.REPLICA_RESET
            ? (from + kind.eventCount) / 2
            : kind.eventCount;
    HttpMessage.write(
        out,
        answerHeaders(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        new byte[0]);
    for (int number = from; number <= to; number++) {
      DaemonThreads.pause(workMs);
      writeChunk(out, expectedEvent(run.id, number));
    }
    if (to == kind.eventCount) writeChunk(out, "");
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    out.write(
        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /**
   * Writes an answer whose first event or JSON value never ends, as fast as the caller reads it.
   */
  private static void writeEndless(OutputStream out, String headOrType) throws IOException {
    String head =
        headOrType.startsWith("HTTP/")
            ? headOrType + "Content-Type: text/event-stream\r\n"
            : "HTTP/1.1 200 OK\r\nContent-Type: " + headOrType + "\r\n";
    HttpMessage.write(out, head + "Transfer-Encoding: chunked\r\n", new byte[0]);
    String chunk = Integer.toHexString(ENDLESS_LINE.length()) + "\r\n" + ENDLESS_LINE + "\r\n";
    byte[] many = chunk.repeat(200).getBytes(StandardCharsets.US_ASCII);
    long untilNs = System.nanoTime() + MAX_ENDLESS_ANSWER_MS * 1_000_000L;
    while (System.nanoTime() < untilNs) out.write(many);
    throw new IOException("the caller did not close an endless answer");
  }

  @Override
  public void close() {
    server.close();
  }
}

package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for callers: send requests of several kinds at given rates. Each prompt begins with a
 * prefix shared by its kind, or by kind and tenant, and ends with unique text and a tag. Answers
 * are checked piece by piece against the content that only the correct run can produce.
 */
public final class StandInCallers {
  public record Kind(
      String name,
      String path,
      double perSecond,
      int prefixBlocks,
      int ownBytes,
      boolean repeatable) {}

  public record Tenant(String name, String key, int size) {}

  private final Vertx vertx;
  private final Ledger ledger;
  private final HttpClient http;
  private final List<String> relays;
  private final List<Tenant> tenants;
  private final List<Kind> kinds;
  private final Random random;
  private final int tenantWeight;
  private final AtomicInteger openRequests = new AtomicInteger();
  private volatile boolean running;
  private int nextNumber;
  public volatile double rateFactor = 1;

  public StandInCallers(
      Vertx vertx,
      Ledger ledger,
      List<String> relays,
      List<Tenant> tenants,
      List<Kind> kinds,
      long seed) {
    this.vertx = vertx;
    this.ledger = ledger;
    this.relays = relays;
    this.tenants = tenants;
    this.kinds = kinds;
    this.random = new Random(seed);
    this.tenantWeight = tenants.stream().mapToInt(Tenant::size).sum();
    this.http =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setMaxPoolSize(400)
                .setKeepAlive(true)
                .setConnectTimeout(1000)
                .setIdleTimeout(60));
  }

  public void start() {
    running = true;
    for (Kind k : kinds) scheduleNext(k);
  }

  public void stop() {
    running = false;
  }

  public int openRequests() {
    return openRequests.get();
  }

  private void scheduleNext(Kind k) {
    if (!running) return;
    double gap = -Math.log(1 - random.nextDouble()) * 1000 / (k.perSecond * rateFactor);
    vertx.setTimer(
        Math.max(1, (long) gap),
        i -> {
          if (!running) return;
          send(k, randomTenant(), relays.get(random.nextInt(relays.size())));
          scheduleNext(k);
        });
  }

  private Tenant randomTenant() {
    int n = random.nextInt(tenantWeight);
    for (Tenant t : tenants) if ((n -= t.size) < 0) return t;
    return tenants.get(0);
  }

  static String prefix(Kind kind, Tenant tenant) {
    StringBuilder builder = new StringBuilder();
    String line =
        "Instructions for "
            + kind.name
            + " written for "
            + (kind.prefixBlocks > 20 ? tenant.name : "everybody")
            + ", line ";
    for (int i = 0; builder.length() < kind.prefixBlocks * StandInContent.BLOCK_BYTES; i++)
      builder.append(line).append(i).append(".\n");
    builder.setLength(kind.prefixBlocks * StandInContent.BLOCK_BYTES);
    return builder.toString();
  }

  public Ledger.Call send(Kind kind, Tenant tenant, String relay) {
    String tag =
        kind.name
            + "-"
            + tenant.name
            + "-"
            + nextNumber++
            + "-"
            + Integer.toHexString(random.nextInt());
    StringBuilder own = new StringBuilder();
    while (own.length() < kind.ownBytes)
      own.append(Integer.toHexString(random.nextInt())).append(' ');
    Ledger.Call call =
        new Ledger.Call(
            tag, kind.name, tenant.name, relay, kind.repeatable, System.nanoTime() / 1_000_000);
    ledger.calls.put(tag, call);
    String body =
        new JsonObject()
            .put("prompt", prefix(kind, tenant) + own + "#" + tag)
            .put("maxPieces", 64)
            .encode();
    int colon = relay.lastIndexOf(':');
    openRequests.incrementAndGet();
    http.request(
            new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(relay.substring(0, colon))
                .setPort(Integer.parseInt(relay.substring(colon + 1)))
                .setURI(kind.path)
                .setTimeout(30_000))
        .onComplete(
            a -> {
              if (a.failed()) {
                finish(call, "no-circuit");
                return;
              }
              a.result()
                  .putHeader("Authorization", "Bearer " + tenant.key)
                  .send(Buffer.buffer(body))
                  .onComplete(
                      b -> {
                        if (b.failed()) {
                          finish(call, "broken");
                          return;
                        }
                        var response = b.result();
                        call.status = response.statusCode();
                        call.order =
                            response.getHeader("Gladelug-Request") == null
                                ? ""
                                : response.getHeader("Gladelug-Request");
                        RecordParser lines =
                            RecordParser.newDelimited("\n", buffer -> handleLine(call, buffer));
                        response.handler(lines);
                        response.exceptionHandler(
                            failure ->
                                finish(
                                    call, call.outcome.equals("none") ? "broken" : call.outcome));
                        response.endHandler(
                            v -> {
                              call.bodyTerminated = true;
                              finish(call, call.outcome);
                            });
                      });
            });
    return call;
  }

  private void handleLine(Ledger.Call call, Buffer buffer) {
    JsonObject json;
    try {
      json = buffer.toJsonObject();
    } catch (RuntimeException e) {
      call.foreign++;
      return;
    }
    if (json.containsKey("piece")) {
      if (call.explicitEnd || json.getInteger("piece") != call.pieces) call.misordered++;
      if (!StandInContent.textOf(call.tag, call.pieces).equals(json.getString("text")))
        call.foreign++;
      if (call.pieces == 0) call.firstPieceMs = System.nanoTime() / 1_000_000;
      call.pieces++;
    } else {
      call.outcome = json.getString("outcome", "none");
      call.reason = json.getString("reason", "");
      if (json.getBoolean("end", false)) {
        call.explicitEnd = true;
        if (json.getInteger("pieces") != call.pieces) call.misordered++;
      }
    }
  }

  private void finish(Ledger.Call call, String outcome) {
    if (call.doneMs >= 0) return;
    call.doneMs = System.nanoTime() / 1_000_000;
    call.outcome = outcome;
    openRequests.decrementAndGet();
  }
}

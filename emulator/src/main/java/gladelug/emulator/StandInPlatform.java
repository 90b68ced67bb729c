package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** A stand-in for the platform that lists replicas as ready or leaving over HTTP. */
public final class StandInPlatform {
  private record Entry(
      String service, String instance, String address, String zone, String state) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final HttpServer server;
  public final int port;
  public final String host;
  public volatile boolean silent;

  /** Whether answers are malformed. */
  public volatile boolean malformed;

  /** Called when an instance is first reported in a new state: ready, leaving or gone. */
  public volatile BiConsumer<String, String> stateListener = (i, text) -> {};

  private final Map<String, String> lastStates = new HashMap<>();

  private final String advertised;

  /** Starts the platform on {@code host}; its address names {@code advertised}. */
  public StandInPlatform(Vertx vertx, String host, String advertised) throws Exception {
    this.host = host;
    this.advertised = advertised;
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  if (silent) return;
                  if (!request.path().equals("/replicas"))
                    request.response().setStatusCode(404).end();
                  else if (malformed)
                    request
                        .response()
                        .putHeader("Content-Type", "application/json")
                        .end("{\"replicas\": [{\"service\"");
                  else
                    request
                        .response()
                        .putHeader("Content-Type", "application/json")
                        .end(replicaList().toBuffer());
                });
    port =
        server
            .listen(0, host)
            .toCompletionStage()
            .toCompletableFuture()
            .get(10, TimeUnit.SECONDS)
            .actualPort();
  }

  private synchronized JsonObject replicaList() {
    Map<String, String> now = new HashMap<>();
    lastStates.keySet().forEach(i -> now.put(i, "gone"));
    entries.values().forEach(l -> now.put(l.instance, l.state));
    now.forEach(
        (i, text) -> {
          if (!text.equals(lastStates.put(i, text))) stateListener.accept(i, text);
        });
    JsonArray array = new JsonArray();
    for (Entry l : entries.values())
      array.add(
          new JsonObject()
              .put("service", l.service)
              .put("instance", l.instance)
              .put("address", l.address)
              .put("domain", l.zone)
              .put("state", l.state));
    return new JsonObject().put("replicas", array);
  }

  public synchronized void list(
      String service, String instance, String address, String zone, boolean ready) {
    entries.put(instance, new Entry(service, instance, address, zone, ready ? "ready" : "leaving"));
  }

  public synchronized void unlist(String instance) {
    entries.remove(instance);
  }

  public String address() {
    return advertised + ":" + port;
  }

  String boundAddress() {
    return host + ":" + port;
  }
}

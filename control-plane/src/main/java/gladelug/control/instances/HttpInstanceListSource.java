package gladelug.control.instances;

import gladelug.common.Address;
import gladelug.common.MemoryBudget;
import gladelug.common.Result;
import gladelug.common.configuration.Replicas;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.BoundedHttpClient;
import gladelug.common.connection.BufferedHttpResponse;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;

/** Fetches the list of replicas over the product's own HTTP protocol. */
public final class HttpInstanceListSource implements InstanceListSource {
  private static final int HTTP_OK = 200;
  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final long LIST_TIMEOUT_MS = 1500;
  private static final long POLL_INTERVAL_MS = 250;

  /** The most bytes of the whole list; a replica takes some hundred bytes. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private final BoundedHttpClient calls;
  private final Address platformAddress;

  /**
   * Creates the client; connections are opened on demand.
   *
   * @param bindAddress the local address that connections are opened from
   * @param platformAddress the address of the platform
   */
  public HttpInstanceListSource(Vertx vertx, BindAddress bindAddress, Address platformAddress) {
    this.platformAddress = platformAddress;
    calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            bindAddress.withLocalAddress(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS)),
            MemoryBudget.forResponses());
  }

  @Override
  public Uni<Result<Replicas>> fetchList() {
    RequestOptions target =
        new RequestOptions()
            .setHost(platformAddress.host())
            .setPort(platformAddress.port())
            .setURI("/replicas");
    return calls.send(target, MAX_LIST_BYTES, LIST_TIMEOUT_MS).map(HttpInstanceListSource::parse);
  }

  private static Result<Replicas> parse(BufferedHttpResponse response) {
    try (response) {
      return response.status() == HTTP_OK
          ? Replicas.parse(response.body().toString())
          : Result.bad("status", String.valueOf(response.status()));
    }
  }

  @Override
  public long pollIntervalMs() {
    return POLL_INTERVAL_MS;
  }
}

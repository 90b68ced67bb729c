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

/** The list of replicas by the product's own HTTP protocol. */
public final class HttpInstanceListSource implements InstanceListSource {
  private static final int HTTP_OK = 200;
  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final long LIST_TIMEOUT_MS = 1500;
  private static final long POLL_INTERVAL_MS = 250;

  /** The list as a whole: some hundred bytes for each replica. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private final BoundedHttpClient calls;
  private final Address platformAddress;

  /**
   * Opens no connection yet.
   *
   * @param local the address that connections are opened from
   */
  public HttpInstanceListSource(Vertx vertx, BindAddress local, Address platform) {
    this.platformAddress = platform;
    calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            local.withLocalAddress(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS)),
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

  private static Result<Replicas> parse(BufferedHttpResponse answer) {
    try (answer) {
      return answer.status() == HTTP_OK
          ? Replicas.parse(answer.body().toString())
          : Result.bad("status", String.valueOf(answer.status()));
    }
  }

  @Override
  public long pollIntervalMs() {
    return POLL_INTERVAL_MS;
  }
}

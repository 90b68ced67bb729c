package gladelug.data.index;

import gladelug.common.Clock;
import gladelug.common.MemoryBudget;
import gladelug.common.SingleThreadWorker;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.BoundedHttpClient;
import gladelug.common.connection.ConnectionAcceptor;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpClient;

/** Holders followed by the product's own protocol over HTTP, whole blocks only. */
public final class HttpHolderFeeds implements HolderFeeds {
  private final SingleThreadWorker worker;
  private final Clock clock;
  private final CacheEventFeed.Policy policy;
  private final HttpClient http;
  private final BoundedHttpClient calls;

  HttpHolderFeeds(
      Vertx vertx,
      BindAddress local,
      SingleThreadWorker duty,
      Clock clock,
      CacheEventFeed.Policy policy) {
    this.worker = duty;
    this.clock = clock;
    this.policy = policy;
    http =
        vertx.createHttpClient(
            local.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(1000)
                    .setKeepAlive(false)
                    .setMaxPoolSize(4)
                    .setIdleTimeout(10)));
    calls =
        new BoundedHttpClient(
            vertx.getDelegate(),
            local.withLocalAddress(
                new HttpClientOptions()
                    .setConnectTimeout(1000)
                    .setKeepAlive(false)
                    .setMaxPoolSize(4)),
            MemoryBudget.forResponses());
  }

  /** Feeds from the address that the process's doors call from, all with this policy. */
  public static Factory factory(Vertx vertx, CacheEventFeed.Policy policy) {
    return (registry, duty, clock) ->
        new HttpHolderFeeds(
            vertx,
            registry.find("doors", ConnectionAcceptor.class).bindAddress,
            duty,
            clock,
            policy);
  }

  @Override
  public CacheEventFeed.Policy policy(Replica holder) {
    return policy;
  }

  @Override
  public Subscription follow(Holder holder, Sink sink) {
    return new HolderConnection(http, calls, worker, clock, holder, sink);
  }

  @Override
  public void close() {
    http.closeAndForget();
    calls.close();
  }
}

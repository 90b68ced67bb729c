package gladelug.data.index;

import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.MemoryBudget;
import gladelug.common.SingleThreadWorker;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BoundedHttpClient;
import gladelug.common.connection.BufferedHttpResponse;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import io.vertx.mutiny.core.http.HttpClient;
import java.util.List;

/**
 * The connections to one holder that the index process follows by the product's own protocol:
 * identity first, then the stream of cache events, and the block list whenever its feed asks.
 * Everything is handed to the sink; an address that turns out to be somebody else's gets nothing
 * more.
 */
final class HolderConnection implements HolderFeeds.Subscription {
  private static final long RETRY_DELAY_MS = 300;
  private static final int MAX_IDENTITY_BYTES = 1 << 16,
      IDENTITY_TIMEOUT_MS = 1000,
      LIST_TIMEOUT_MS = 3000;

  private final Holder holder;
  private final Replica replica;
  private final CacheEventFeed feed;
  private final HttpClient http;
  private final BoundedHttpClient calls;
  private final SingleThreadWorker worker;
  private final Clock clock;
  private final HolderFeeds.Sink sink;
  private HttpClientRequest stream;
  private boolean closed;

  HolderConnection(
      HttpClient http,
      BoundedHttpClient calls,
      SingleThreadWorker duty,
      Clock clock,
      Holder holder,
      HolderFeeds.Sink sink) {
    this.http = http;
    this.calls = calls;
    this.worker = duty;
    this.clock = clock;
    this.sink = sink;
    this.holder = holder;
    this.replica = holder.replica;
    this.feed = holder.feed;
    identify();
  }

  @Override
  public void close() {
    closed = true;
    if (stream != null) stream.reset();
  }

  private void retryLater(Runnable task) {
    worker.scheduleAfter(
        RETRY_DELAY_MS,
        () -> {
          if (!closed) task.run();
        });
  }

  private RequestOptions requestTo(String path) {
    return new RequestOptions()
        .setHost(replica.address().host())
        .setPort(replica.address().port())
        .setURI(path);
  }

  private void identify() {
    calls
        .send(requestTo("/identity"), MAX_IDENTITY_BYTES, IDENTITY_TIMEOUT_MS)
        .subscribe()
        .with(
            answer -> {
              JsonObject identity = parseIdentity(answer);
              worker.offer(() -> onIdentity(identity));
            },
            failure -> worker.offer(this::onUnidentified));
  }

  /** What a holder says of itself; empty where that makes no sense. */
  private static JsonObject parseIdentity(BufferedHttpResponse answer) {
    try (answer) {
      return new JsonObject(answer.body());
    } catch (RuntimeException malformed) {
      return new JsonObject();
    }
  }

  private void onIdentity(JsonObject identity) {
    if (closed) return;
    if (replica.instance().equals(identity.getString("instance"))
        && replica.service().equals(identity.getString("service"))) {
      sink.onConnected(identity.getLong("capacityBlocks", 0L));
      follow();
      return;
    }
    Log.warn("holder-is-another", "instance", replica.instance(), "address", replica.address());
    onUnidentified();
  }

  private void onUnidentified() {
    sink.onUnreachable();
    if (!closed) retryLater(this::identify);
  }

  private void follow() {
    if (closed) return;
    http.getDelegate()
        .request(
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(replica.address().host())
                .setPort(replica.address().port())
                .setURI(
                    "/cache/events?instance="
                        + replica.instance()
                        + "&incarnation="
                        + feed.incarnation()
                        + "&after="
                        + feed.appliedSequence())
                .setTimeout(2000))
        .compose(
            request -> {
              worker.offer(
                  () -> {
                    stream = request;
                    if (closed) request.reset();
                  });
              return request.send();
            })
        .onSuccess(
            resp -> {
              if (resp.statusCode() != 200) {
                resp.request().reset();
                worker.offer(() -> retryLater(this::identify));
                return;
              }
              RecordParser p =
                  RecordParser.newDelimited(
                      "\n",
                      buffer -> {
                        JsonObject json;
                        try {
                          json = buffer.toJsonObject();
                          onLine(json);
                        } catch (RuntimeException e) {
                          Log.warn("malformed-cache-event", "instance", replica.instance());
                          resp.request().reset();
                        }
                      });
              p.maxRecordSize(1 << 16);
              p.exceptionHandler(failure -> resp.request().reset());
              resp.handler(p);
              resp.exceptionHandler(failure -> onStreamEnd());
              resp.endHandler(v -> onStreamEnd());
            })
        .onFailure(failure -> onStreamEnd());
  }

  private void onStreamEnd() {
    worker.offer(
        () ->
            retryLater(
                () -> {
                  if (holder.isSilent(clock.now())) identify();
                  else follow();
                }));
  }

  private void onLine(JsonObject json) {
    String inc = json.getString("incarnation"), op = json.getString("op");
    long seq = json.getLong("seq");
    long block = op.equals("pulse") ? 0 : Long.parseUnsignedLong(json.getString("block"), 16);
    switch (op) {
      case "store" -> sink.onEvents(List.of(CacheEvent.store(inc, seq, block, 1)));
      case "evict" -> sink.onEvents(List.of(CacheEvent.evict(inc, seq, block, 0)));
      default -> sink.onPulse(inc, seq);
    }
  }

  @Override
  public void requestList(long nr) {
    calls
        .send(
            requestTo("/cache/list?instance=" + replica.instance()),
            MemoryBudget.maxPageBytes(),
            LIST_TIMEOUT_MS)
        .subscribe()
        .with(answer -> onList(nr, answer), failure -> sink.onListFailed(nr));
  }

  private void onList(long nr, BufferedHttpResponse answer) {
    try (answer) {
      JsonObject json = new JsonObject(answer.body());
      JsonArray array = json.getJsonArray("blocks");
      long[] blocks = new long[array.size()];
      for (int i = 0; i < blocks.length; i++)
        blocks[i] = Long.parseUnsignedLong(array.getString(i), 16);
      sink.onList(nr, BlockList.whole(json.getString("incarnation"), json.getLong("seq"), blocks));
    } catch (RuntimeException malformed) {
      sink.onListFailed(nr);
    }
  }
}

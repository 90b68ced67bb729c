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
final class HolderConnection implements HolderFeeds.Following {
  private static final long AGAIN = 300;
  private static final int IDENTITY_BYTES = 1 << 16, IDENTITY_MS = 1000, LIST_MS = 3000;

  private final Holder h;
  private final Replica replica;
  private final CacheEventFeed feed;
  private final HttpClient http;
  private final BoundedHttpClient calls;
  private final SingleThreadWorker duty;
  private final Clock clock;
  private final HolderFeeds.Sink sink;
  private HttpClientRequest stream;
  private boolean gone;

  HolderConnection(
      HttpClient http,
      BoundedHttpClient calls,
      SingleThreadWorker duty,
      Clock clock,
      Holder holder,
      HolderFeeds.Sink sink) {
    this.http = http;
    this.calls = calls;
    this.duty = duty;
    this.clock = clock;
    this.sink = sink;
    this.h = holder;
    this.replica = holder.replica;
    this.feed = holder.feed;
    identify();
  }

  @Override
  public void close() {
    gone = true;
    if (stream != null) stream.reset();
  }

  private void again(Runnable task) {
    duty.scheduleAfter(
        AGAIN,
        () -> {
          if (!gone) task.run();
        });
  }

  private RequestOptions get(String path) {
    return new RequestOptions()
        .setHost(replica.address().host())
        .setPort(replica.address().port())
        .setURI(path);
  }

  private void identify() {
    calls
        .send(get("/identity"), IDENTITY_BYTES, IDENTITY_MS)
        .subscribe()
        .with(
            answer -> {
              JsonObject identity = identity(answer);
              duty.offer(() -> identified(identity));
            },
            failure -> duty.offer(this::unidentified));
  }

  /** What a holder says of itself; empty where that makes no sense. */
  private static JsonObject identity(BufferedHttpResponse answer) {
    try (answer) {
      return new JsonObject(answer.body());
    } catch (RuntimeException malformed) {
      return new JsonObject();
    }
  }

  private void identified(JsonObject identity) {
    if (gone) return;
    if (replica.instance().equals(identity.getString("instance"))
        && replica.service().equals(identity.getString("service"))) {
      sink.began(identity.getLong("capacityBlocks", 0L));
      follow();
      return;
    }
    Log.warn("holder-is-another", "instance", replica.instance(), "address", replica.address());
    unidentified();
  }

  private void unidentified() {
    sink.silent();
    if (!gone) again(this::identify);
  }

  private void follow() {
    if (gone) return;
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
                        + feed.applied())
                .setTimeout(2000))
        .compose(
            request -> {
              duty.offer(
                  () -> {
                    stream = request;
                    if (gone) request.reset();
                  });
              return request.send();
            })
        .onSuccess(
            resp -> {
              if (resp.statusCode() != 200) {
                resp.request().reset();
                duty.offer(() -> again(this::identify));
                return;
              }
              RecordParser p =
                  RecordParser.newDelimited(
                      "\n",
                      buffer -> {
                        JsonObject json;
                        try {
                          json = buffer.toJsonObject();
                          line(json);
                        } catch (RuntimeException e) {
                          Log.warn("malformed-cache-event", "instance", replica.instance());
                          resp.request().reset();
                        }
                      });
              p.maxRecordSize(1 << 16);
              p.exceptionHandler(failure -> resp.request().reset());
              resp.handler(p);
              resp.exceptionHandler(failure -> broke());
              resp.endHandler(v -> broke());
            })
        .onFailure(failure -> broke());
  }

  private void broke() {
    duty.offer(
        () ->
            again(
                () -> {
                  if (h.silent(clock.now())) identify();
                  else follow();
                }));
  }

  private void line(JsonObject json) {
    String inc = json.getString("incarnation"), op = json.getString("op");
    long seq = json.getLong("seq");
    long block = op.equals("pulse") ? 0 : Long.parseUnsignedLong(json.getString("block"), 16);
    switch (op) {
      case "store" -> sink.events(List.of(CacheEvent.store(inc, seq, block, 1)));
      case "evict" -> sink.events(List.of(CacheEvent.evict(inc, seq, block, 0)));
      default -> sink.pulse(inc, seq);
    }
  }

  @Override
  public void list(long nr) {
    calls
        .send(
            get("/cache/list?instance=" + replica.instance()), MemoryBudget.maxPageBytes(), LIST_MS)
        .subscribe()
        .with(answer -> listed(nr, answer), failure -> sink.listFailed(nr));
  }

  private void listed(long nr, BufferedHttpResponse answer) {
    try (answer) {
      JsonObject json = new JsonObject(answer.body());
      JsonArray array = json.getJsonArray("blocks");
      long[] blocks = new long[array.size()];
      for (int i = 0; i < blocks.length; i++)
        blocks[i] = Long.parseUnsignedLong(array.getString(i), 16);
      sink.listed(nr, BlockList.whole(json.getString("incarnation"), json.getLong("seq"), blocks));
    } catch (RuntimeException malformed) {
      sink.listFailed(nr);
    }
  }
}

/*
 * The index process's one duty: the Cuckoo Summary of all holders, fed by one feed a holder and
 * asked by relays.
 */
package gladelug.data.index;

import com.eclipsesource.json.JsonObject;
import gladelug.data.news.NewsService;
import gladelug.data.news.Tables;
import gladelug.kernel.Clock;
import gladelug.kernel.Duty;
import gladelug.kernel.Kernel;
import gladelug.kernel.connection.Connection;
import gladelug.kernel.connection.Doors;
import gladelug.kernel.connection.Local;
import gladelug.kernel.message.Hello;
import gladelug.kernel.message.Lookup;
import gladelug.kernel.message.Wire;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class IndexService implements Kernel.Service {
    private final Vertx vertx;
    private final Clock clock;
    private final Duty duty;
    private final FleetSummary summary;
    private final Map<Holder, HolderConnection> connections = new HashMap<>();
    private HttpClient http;
    private WebClient web;

    public IndexService(Vertx vertx, Clock clock, int fingerprintBits) {
        this.vertx = vertx;
        this.clock = clock;
        this.duty = new Duty("summary", 65536, clock);
        this.summary = new FleetSummary(fingerprintBits);
    }

    @Override public void start(Kernel k) {
        NewsService news = k.find("news", NewsService.class);
        Local local = k.find("doors", Doors.class).local;
        http = vertx.createHttpClient(local.from(
            new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false).setMaxPoolSize(4).setIdleTimeout(10)));
        web = WebClient.create(vertx, local.from(new WebClientOptions().setConnectTimeout(1000).setKeepAlive(false)
            .setFollowRedirects(false).setMaxPoolSize(4)));
        news.listen(t -> duty.offer(() -> tables(t)));
        duty.every(100, () -> summary.tick(clock.now()));
        k.find("doors", Doors.class).take(Hello.LOOKUP, (h, c) -> new Connection.Receiver() {
            @Override public void record(byte[] r) throws IOException {
                if (!(Wire.read(r, Lookup::read) instanceof Lookup.Question q))
                    throw new IOException("an answer nobody asked for");
                if (!duty.offer(() -> c.send(summary.answer(q)))) c.send(new Lookup.Answer(q.nr(), false, List.of()));
            }
        });
    }

    private void tables(Tables t) {
        summary.holders(t, clock.now());
        connections.entrySet().removeIf(e -> {
            if (summary.has(e.getKey())) return false;
            e.getValue().letGo();
            return true;
        });
        for (Holder h : summary.all())
            connections.computeIfAbsent(h, x -> new HolderConnection(vertx, http, web, duty, clock, summary, x));
    }

    /** For operators, from the duty's own thread. */
    public Uni<JsonObject> status() {
        return Uni.createFrom().emitter(e -> duty.offer(() -> e.complete(summary.json(clock.now()))));
    }

    @Override public void stop() {
        duty.close();
    }
}

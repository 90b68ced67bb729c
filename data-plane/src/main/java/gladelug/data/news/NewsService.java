/*
 * Keeps this process in touch with the core: held circuits to every core member it knows of,
 * asking on each every 400 ms what it holds; pushes become a new snapshot, and are acknowledged by
 * asking at once. Whom to call comes from the newest list of the core, else from the shuffled
 * view, else from the seeds, so it goes on when all of the core has moved.
 */
package gladelug.data.news;

import gladelug.kernel.Address;
import gladelug.kernel.Clock;
import gladelug.kernel.Duty;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.Result;
import gladelug.kernel.circuit.Doors;
import gladelug.kernel.circuit.Held;
import gladelug.kernel.message.Hello;
import gladelug.kernel.message.Keys;
import gladelug.kernel.message.News;
import gladelug.kernel.message.Shuffle;
import gladelug.kernel.message.Wire;
import gladelug.kernel.policy.CoreList;
import gladelug.kernel.policy.Policy;
import gladelug.kernel.policy.Replicas;
import gladelug.kernel.policy.Weights;
import gladelug.kernel.view.ViewService;
import io.vertx.mutiny.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

public final class NewsService implements Kernel.Service {
    /** milli: thousandths of a place by leaf; empty and not full where nothing is bounded. */
    public record Allotment(long at, boolean full, Map<String, Integer> milli) {}

    private static final long ASK = 400, CIRCLE = 1000;
    private final Vertx vertx;
    private final Clock clock;
    private final Shuffle.Descriptor self;
    private final List<Address> seeds;
    private final long run = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private final Duty duty;
    private final Map<Address, Held> held = new HashMap<>();
    private final List<Consumer<Tables>> listeners = new CopyOnWriteArrayList<>();
    private final NewsBook book;
    public final Licences licences;
    private volatile Tables tables = Tables.NONE;
    private volatile List<News.Demand> demands = List.of();
    private volatile List<News.Places> places = List.of();
    private final Map<String, Allotment> allotments = new ConcurrentHashMap<>();
    private Doors doors;
    private ViewService views;

    public NewsService(Vertx vertx, Clock clock, Shuffle.Descriptor self, List<Address> seeds) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = self;
        this.seeds = seeds;
        this.duty = new Duty("news", 4096, clock);
        this.book = new NewsBook(self, run, this::take);
        this.licences = book.licences;
    }

    public Tables tables() {
        return tables;
    }

    public long run() {
        return run;
    }

    /**
     * Called on the news duty with what is held now, which may have come before anybody listened, and after each
     * swap.
     */
    public void listen(Consumer<Tables> l) {
        duty.offer(() -> {
            listeners.add(l);
            l.accept(tables);
        });
    }

    @Override public void start(Kernel k) {
        doors = k.find("doors", Doors.class);
        views = k.find("views", ViewService.class);
        duty.every(CIRCLE, this::circle);
        duty.every(ASK, this::askAll);
    }

    private void circle() {
        Set<Address> want = new HashSet<>();
        for (CoreList.Member m : tables.core().all()) want.add(m.records());
        boolean reached = held.values().stream().anyMatch(Held::open);
        if (want.isEmpty() || !reached) {
            for (Shuffle.Descriptor d : views.all()) if (d.role().equals("control")) want.add(Address.of(d.records()));
            if (tables.core().all().isEmpty()) want.addAll(seeds);
        }
        held.entrySet().removeIf(e -> {
            if (want.contains(e.getKey())) return false;
            e.getValue().letGo();
            return true;
        });
        for (Address a : want)
            held.computeIfAbsent(a, x -> new Held(vertx, doors, x, Hello.NEWS,
                (h, r) -> {
                    News n = Wire.read(r, News::read);
                    duty.offer(() -> told(h, n));
                },
                h -> duty.offer(() -> h.send(ask()))));
    }

    /** Where a relay puts what it has waiting and sees free, for whoever divides. */
    public void demand(List<News.Demand> d, List<News.Places> p) {
        demands = d;
        places = p;
    }

    /** The newest division for this process, or null. */
    public Allotment allotment(String service) {
        return allotments.get(service);
    }

    private News.Ask ask() {
        return book.ask(clock.now(), demands, places);
    }

    private void askAll() {
        News.Ask a = ask();
        for (Held h : held.values()) h.send(a);
    }

    private void told(Held from, News n) {
        switch (book.told(n)) {
            case TAKEN -> {
                News.Push p = (News.Push) n;
                Log.event("news-taken", "key", p.key(), "number", p.number(), "epoch", p.epoch(), "bytes",
                    p.value().length, "whole", p.base() < 0);
                for (Consumer<Tables> l : listeners) l.accept(tables);
            }
            case ALLOTTED -> {
                News.Allot a = (News.Allot) n;
                Map<String, Integer> m = new HashMap<>();
                for (News.Part x : a.parts()) m.put(x.leaf(), x.milli());
                allotments.put(a.service(), new Allotment(clock.now(), a.full(), m));
            }
            case WANTS_WHOLE -> from.send(new News.Whole(((News.Push) n).key()));
            case NOTHING -> {
                // nothing to do
            }
        }
        if (n instanceof News.Push) from.send(ask());
    }

    private boolean take(News.Push p) {
        String s = new String(p.value(), StandardCharsets.UTF_8);
        Tables t = tables;
        Result<Tables> r = switch (p.key()) {
            case Keys.POLICY -> Policy.parse(s).then(x -> Result.good(t.policy(p.number(), p.digest(), x)));
            case Keys.WEIGHTS -> Weights.parse(s).then(x -> Result.good(t.weights(p.number(), x)));
            case Keys.REPLICAS -> Replicas.parse(s).then(x -> Result.good(t.replicas(p.number(), x)));
            case Keys.CORE -> CoreList.parse(s).then(x -> Result.good(t.core(p.number(), x)));
            default -> Result.bad(p.key(), "is no key");
        };
        if (!(r instanceof Result.Good<Tables> g)) {
            Log.warn("news-refused", "key", p.key(), "number", p.number(), "findings", r.toString());
            return false;
        }
        tables = g.value();
        if (p.key().equals(Keys.CORE)) {
            views.generation(p.number());
            circle();
        }
        return true;
    }

    @Override public void stop() {
        duty.close();
        for (Held h : held.values()) h.letGo();
    }
}

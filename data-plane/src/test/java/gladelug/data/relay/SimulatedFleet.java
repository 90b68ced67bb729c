package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.AllowedEndpoint;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Lookup;
import gladelug.data.index.FleetLoad;
import gladelug.data.request.Decisions;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Head;
import gladelug.data.request.Prompt;
import gladelug.data.request.Request;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Relays with their filters and an index's load of the fleet before {@link SimulatedEngine}s, on
 * one simulated time and without a network. Requests of several kinds come at random by a seed.
 * Nothing is kept of prompts: all that a kind computes is computed.
 */
final class SimulatedFleet {
  private static final long DEADLINE_MS = 20_000;
  private static final long TICK_MS = 100;
  private static final double TOLD_AFTER_MS = 3;
  private static final int SLOTS = 64;
  private static final int KEPT_TOKENS = 75_996;
  private static final int TOKEN_BYTES = 131_072;
  private static final double LINK_MBPS = 550_000;
  private static final double[] SLOWNESS = {1, 1, 1.3};

  /**
   * A kind of request.
   *
   * @param name its path without the slash
   * @param perSecond how many come in a second
   * @param computedTokens the mean of what is computed of its prompt
   * @param spread of those, as the deviation of their logarithm
   * @param mostTokens the most of those
   * @param replyTokens the mean of a reply's tokens
   * @param gapMs the longest pause that its callers bear
   */
  record Kind(
      String name,
      double perSecond,
      int computedTokens,
      double spread,
      int mostTokens,
      int replyTokens,
      int gapMs) {}

  private final SimulatedTime time = new SimulatedTime();
  private final Random random;
  private final List<Kind> kinds;
  private final List<Relay> relays = new ArrayList<>();
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final FleetLoad load = new FleetLoad();
  private final Decisions decisions = new Decisions(64, "r", 1);
  private final List<Request> requests = new ArrayList<>();

  SimulatedFleet(
      long seed, int relayCount, int replicaCount, List<Kind> kinds, Set<Mechanism> without) {
    this.random = new Random(seed);
    this.kinds = kinds;
    List<Replicas.Replica> replicas = new ArrayList<>();
    for (int i = 0; i < replicaCount; i++) {
      String name = "replica-" + i;
      SimulatedEngine[] engine = new SimulatedEngine[1];
      engine[0] =
          new SimulatedEngine(
              SLOWNESS[i % SLOWNESS.length], ms -> after(ms, () -> engine[0].stepEnded()));
      engines.put(name, engine[0]);
      replicas.add(
          new Replicas.Replica(
              "m", name, Address.of("1.1.1.1:" + (100 + i)), "z", true, SLOTS, Map.of("m", "1")));
    }
    RelaySettings settings = RelaySettings.builder().anyWeights(true).without(without).build();
    for (int i = 0; i < relayCount; i++)
      relays.add(SimulatedRelay.started(time, configuration(), replicas, settings, relayCount));
    for (Kind kind : kinds) nextOf(kind);
    after(TICK_MS, this::tick);
  }

  private void tick() {
    for (Relay relay : relays) relay.tick();
    after(TICK_MS, this::tick);
  }

  private void after(double ms, Runnable what) {
    time.after(ms, what);
  }

  /** Plays so many ms. */
  void run(long ms) {
    time.run(ms);
  }

  /** All requests of a kind that came so far. */
  List<Request> of(Kind kind) {
    return requests.stream().filter(x -> x.path.equals("/" + kind.name)).toList();
  }

  private Configuration configuration() {
    Configuration.Engine engine =
        new Configuration.Engine(SLOTS, KEPT_TOKENS, TOKEN_BYTES, LINK_MBPS, SLOTS, List.of("m"));
    Configuration.Service service =
        new Configuration.Service(
            0,
            "m",
            Configuration.Kind.MODEL,
            List.of(new AllowedEndpoint(0, 0, 1, 65535)),
            100,
            engine,
            null,
            "z");
    List<Configuration.Route> routes = new ArrayList<>();
    for (Kind kind : kinds)
      routes.add(
          Configuration.Route.named(kind.name)
              .matching("", "/" + kind.name, false)
              .addService(0, 1)
              .timings((int) DEADLINE_MS, 0, kind.gapMs)
              .allowsAnonymous(true)
              .build(routes.size()));
    return new Configuration(1, List.of(service), routes, List.of(), Configuration.Limits.DEFAULT);
  }

  private void nextOf(Kind kind) {
    after(
        -Math.log(1 - random.nextDouble()) * 1000 / kind.perSecond,
        () -> {
          ask(kind);
          nextOf(kind);
        });
  }

  private int tokens(Kind kind) {
    double normal = random.nextGaussian() * kind.spread - kind.spread * kind.spread / 2;
    return (int) Math.max(1, Math.min(kind.mostTokens, kind.computedTokens * Math.exp(normal)));
  }

  private void ask(Kind kind) {
    Relay relay = relays.get(random.nextInt(relays.size()));
    Request request =
        new Request(decisions.begin(time.nowMs()), time.nowMs(), "", "/" + kind.name, new Taker());
    request.model = "m";
    request.tokensOut = Math.max(1, (int) (kind.replyTokens * (0.5 + random.nextDouble())));
    request.prompt =
        new Prompt.Parts(List.of(new Prompt.Part("part-" + requests.size(), tokens(kind))));
    requests.add(request);
    relay.begin(request);
    relay.way(lookups(), ChoiceMode.SUMMARY, this::send).go(request);
  }

  private Lookups lookups() {
    return new Lookups() {
      @Override
      public Uni<Found> ask(long[] blocks) {
        return Uni.createFrom().item(new Found(ANSWERED, List.of(), load.told(time.nowMs())));
      }

      @Override
      public void placed(String holder, long[] blocks, Lookup.Work work) {
        after(TOLD_AFTER_MS, () -> load.placed(holder, work, time.nowMs()));
      }
    };
  }

  private void send(Request request, Backend backend, Exchange.Reply to) {
    if (!to.leave(new SimulatedRelay.Unheld())) return;
    engines
        .get(backend.replica.instance())
        .take(
            request.computeUnits,
            request.tokensOut,
            new SimulatedEngine.Reply() {
              @Override
              public void event() {
                to.piece(Buffer.buffer("x"), "");
              }

              @Override
              public void end() {
                to.end();
              }
            });
  }

  /** A caller that takes whatever comes. */
  private static final class Taker implements Request.Caller {
    @Override
    public void refuse(Request request, FilterResult.Refuse refusal) {}

    @Override
    public boolean piece(Request request, Buffer piece, Runnable ready) {
      return true;
    }

    @Override
    public void head(Request request, Head head) {}

    @Override
    public void complete(Request request, int pieces) {}

    @Override
    public void cutOff(Request request, String why) {}
  }
}

package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.AllowedEndpoint;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Lookup;
import gladelug.data.index.FleetLoad;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Prompt;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import gladelug.data.request.ResponseHead;
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
  private static final double INDEX_DELAY_MS = 3;
  private static final int SLOTS = 64;
  private static final int KEPT_TOKENS = 75_996;
  private static final int TOKEN_BYTES = 131_072;
  private static final double LINK_MBPS = 550_000;
  private static final double[] SLOWDOWN_FACTORS = {1, 1, 1.3};

  /**
   * A kind of request.
   *
   * @param name its path without the slash
   * @param perSecond how many come in a second
   * @param computedTokens the mean of what is computed of its prompt
   * @param logDeviation of those, as the deviation of their logarithm
   * @param maxTokens the most of those
   * @param replyTokens the mean of a reply's tokens
   * @param maxPauseMs the longest pause that its callers bear
   */
  record Kind(
      String name,
      double perSecond,
      int computedTokens,
      double logDeviation,
      int maxTokens,
      int replyTokens,
      int maxPauseMs) {}

  private final SimulatedTime time = new SimulatedTime();
  private final Random random;
  private final List<Kind> kinds;
  private final List<Relay> relays = new ArrayList<>();
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final FleetLoad load = new FleetLoad();
  private final RecentDecisions decisions = new RecentDecisions(64, "r", 1);
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
              SLOWDOWN_FACTORS[i % SLOWDOWN_FACTORS.length],
              ms -> after(ms, () -> engine[0].stepEnded()));
      engines.put(name, engine[0]);
      replicas.add(
          new Replicas.Replica(
              "m", name, Address.of("1.1.1.1:" + (100 + i)), "z", true, SLOTS, Map.of("m", "1")));
    }
    RelaySettings settings =
        RelaySettings.builder().allowsUnnamedWeights(true).without(without).build();
    for (int i = 0; i < relayCount; i++)
      relays.add(SimulatedRelay.started(time, configuration(), replicas, settings, relayCount));
    for (Kind kind : kinds) scheduleNext(kind);
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
  List<Request> requestsOf(Kind kind) {
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
              .timings((int) DEADLINE_MS, 0, kind.maxPauseMs)
              .allowsAnonymous(true)
              .build(routes.size()));
    return new Configuration(1, List.of(service), routes, List.of(), Configuration.Limits.DEFAULT);
  }

  private void scheduleNext(Kind kind) {
    after(
        -Math.log(1 - random.nextDouble()) * 1000 / kind.perSecond,
        () -> {
          ask(kind);
          scheduleNext(kind);
        });
  }

  private int tokens(Kind kind) {
    double normal =
        random.nextGaussian() * kind.logDeviation - kind.logDeviation * kind.logDeviation / 2;
    return (int) Math.max(1, Math.min(kind.maxTokens, kind.computedTokens * Math.exp(normal)));
  }

  private void ask(Kind kind) {
    Relay relay = relays.get(random.nextInt(relays.size()));
    Request request =
        new Request(
            decisions.begin(time.nowMs()),
            time.nowMs(),
            "",
            "/" + kind.name,
            new AcceptingCaller());
    request.model = "m";
    request.maxTokensOut = Math.max(1, (int) (kind.replyTokens * (0.5 + random.nextDouble())));
    request.prompt =
        new Prompt.Parts(List.of(new Prompt.Part("part-" + requests.size(), tokens(kind))));
    requests.add(request);
    relay.begin(request);
    relay.filterChain(lookups(), ChoiceMode.SUMMARY, this::send).start(request);
  }

  private Lookups lookups() {
    return new Lookups() {
      @Override
      public Uni<LookupResult> ask(long[] blocks) {
        return Uni.createFrom()
            .item(new LookupResult(ANSWERED, List.of(), load.snapshot(time.nowMs())));
      }

      @Override
      public void recordPlacement(String holder, long[] blocks, Lookup.Work work) {
        after(INDEX_DELAY_MS, () -> load.recordPlacement(holder, work, time.nowMs()));
      }
    };
  }

  private void send(Request request, Backend backend, Exchange.Reply to) {
    if (!to.beginSend(new SimulatedRelay.IgnoringHandle())) return;
    engines
        .get(backend.replica.instance())
        .submit(
            request.computeUnits,
            request.maxTokensOut,
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
  private static final class AcceptingCaller implements Request.Caller {
    @Override
    public void refuse(Request request, FilterResult.Refuse refusal) {}

    @Override
    public boolean sendPiece(Request request, Buffer piece, Runnable ready) {
      return true;
    }

    @Override
    public void sendHead(Request request, ResponseHead head) {}

    @Override
    public void complete(Request request, int pieces) {}

    @Override
    public void cutOff(Request request, String why) {}
  }
}

package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.AllowedEndpoint;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.QuotaShare;
import gladelug.common.configuration.Replicas;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Prompt;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Callers in a burst at one of several relays before one replica, on simulated time and without a
 * network. The replica serves as many at once as it has slots, the others in the order they came;
 * an answer begins when it is served.
 */
final class SimulatedBurst {
  static final int SLOTS = 2;

  private static final int ROUTE_TIMEOUT_MS = 60_000;
  private static final long TICK_MS = 100;

  /** What a caller asks and how long it waits. */
  record Call(String tenant, String path, long patienceMs, int promptTokens, int replyTokens) {
    static Call waiting(long patienceMs) {
      return new Call("t", "/x", patienceMs, 0, 0);
    }

    Call of(String otherTenant) {
      return new Call(otherTenant, path, patienceMs, promptTokens, replyTokens);
    }

    Call on(String otherPath) {
      return new Call(tenant, otherPath, patienceMs, promptTokens, replyTokens);
    }

    Call tokens(int prompt, int reply) {
      return new Call(tenant, path, patienceMs, prompt, reply);
    }
  }

  /** What became of a call: its times are -1 where that didn't happen. */
  static final class Outcome implements Request.Caller {
    final Call call;
    final long calledAtMs;
    long firstPieceAtMs = -1;
    long completeAtMs = -1;
    long refusedAtMs = -1;
    FilterResult.Refuse refusal;
    private final SimulatedBurst burst;

    Outcome(SimulatedBurst burst, Call call) {
      this.burst = burst;
      this.call = call;
      this.calledAtMs = burst.nowMs();
    }

    boolean served() {
      return completeAtMs >= 0 && completeAtMs - calledAtMs <= call.patienceMs;
    }

    long refusedAfterMs() {
      return refusedAtMs - calledAtMs;
    }

    @Override
    public void refuse(Request request, FilterResult.Refuse told) {
      refusedAtMs = burst.nowMs();
      refusal = told;
    }

    @Override
    public boolean sendPiece(Request request, Buffer piece, Runnable ready) {
      if (firstPieceAtMs < 0) firstPieceAtMs = burst.nowMs();
      return true;
    }

    @Override
    public void complete(Request request, int pieces) {
      completeAtMs = burst.nowMs();
    }

    @Override
    public void cutOff(Request request, String why) {}
  }

  private record AtReplica(Request request, Exchange.Reply to) {}

  private final SimulatedTime time = new SimulatedTime();
  private final Deque<AtReplica> waiting = new ArrayDeque<>();
  private final RecentDecisions decisions = new RecentDecisions(64, "r", 1);
  private final List<Relay> relays = new ArrayList<>();
  private int running;
  private int callCount;

  /** How long the replica works at a request, in ms. */
  interface Work {
    long ms(Request request);
  }

  private final Work work;

  SimulatedBurst(int relayCount, Work work, Configuration configuration) {
    this.work = work;
    Replicas.Replica replica =
        new Replicas.Replica(
            "m", "replica", Address.of("1.1.1.1:100"), "z", true, SLOTS, Map.of("m", "1"));
    RelaySettings settings =
        RelaySettings.builder().allowsUnnamedWeights(true).localSharesOnly(true).build();
    for (int i = 0; i < relayCount; i++)
      relays.add(
          SimulatedRelay.started(time, configuration, List.of(replica), settings, relayCount));
    tick();
  }

  /** One tenant, one service and one route of this target latency (0: none named). */
  static Configuration configuration(int targetLatencyMs) {
    return configuration(
        List.of(tenant("t", 0)),
        List.of(route("/x").timings(ROUTE_TIMEOUT_MS, targetLatencyMs, 0)));
  }

  static Configuration configuration(
      List<Configuration.Tenant> tenants, List<Configuration.Route.Builder> routes) {
    Configuration.Engine engine = new Configuration.Engine(SLOTS, 0, 0, 0, 0, List.of("m"));
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
    List<Configuration.Route> built = new ArrayList<>();
    for (Configuration.Route.Builder route : routes) built.add(route.build(built.size()));
    return new Configuration(1, List.of(service), built, tenants, Configuration.Limits.DEFAULT);
  }

  static Configuration.Route.Builder route(String path) {
    return Configuration.Route.named(path)
        .matching("", path, false)
        .addService(0, 1)
        .timings(ROUTE_TIMEOUT_MS, 0, 0);
  }

  static Configuration.Tenant tenant(String name, int tier) {
    return new Configuration.Tenant(
        0,
        name,
        List.of(Configuration.hashKey("key-of-" + name)),
        false,
        new QuotaShare(name, name, 1, tier, 0, List.of(), List.of()));
  }

  private void tick() {
    for (Relay relay : relays) relay.tick();
    time.after(TICK_MS, this::tick);
  }

  /** Plays so many ms. */
  void run(long ms) {
    time.run(ms);
  }

  long nowMs() {
    return time.nowMs();
  }

  /** The relay that is asked. */
  Relay relay() {
    return relays.get(0);
  }

  /** So many calls alike at the first relay, evenly over so many ms, which are played. */
  List<Outcome> burst(int calls, Call call, long overMs) {
    List<Outcome> outcomes = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      outcomes.add(ask(call));
      run(overMs / calls);
    }
    return outcomes;
  }

  /** One call at the first relay. */
  Outcome ask(Call call) {
    Outcome outcome = new Outcome(this, call);
    Relay relay = relays.get(0);
    Request request =
        new Request(
            decisions.begin(nowMs()),
            nowMs(),
            Configuration.hashKey("key-of-" + call.tenant),
            call.path,
            outcome);
    request.model = "m";
    request.patienceMs = call.patienceMs;
    request.maxTokensOut = call.replyTokens;
    request.prompt =
        new Prompt.Parts(List.of(new Prompt.Part("part-" + callCount++, call.promptTokens)));
    relay.begin(request);
    relay
        .filterChain(
            blocks -> Uni.createFrom().item(new Lookups.LookupResult("no-index", List.of())),
            ChoiceMode.SUMMARY,
            this::send)
        .start(request);
    return outcome;
  }

  private void send(Request request, Backend backend, Exchange.Reply to) {
    if (!to.beginSend(new SimulatedRelay.IgnoringHandle())) return;
    waiting.add(new AtReplica(request, to));
    serveNext();
  }

  private void serveNext() {
    while (running < SLOTS && !waiting.isEmpty()) {
      AtReplica next = waiting.poll();
      running++;
      next.to.piece(Buffer.buffer("x"), "");
      time.after(work.ms(next.request), () -> served(next));
    }
  }

  private void served(AtReplica done) {
    running--;
    done.to.end();
    serveNext();
  }
}

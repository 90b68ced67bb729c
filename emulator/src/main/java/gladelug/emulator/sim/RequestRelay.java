package gladelug.emulator.sim;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateUpdate;
import gladelug.data.relay.Backends;
import gladelug.data.relay.ChoiceMode;
import gladelug.data.relay.LineExchange;
import gladelug.data.relay.Relay;
import gladelug.data.relay.RelaySettings;
import gladelug.data.request.FilterChain;
import gladelug.data.request.FilterResult;
import gladelug.data.request.Prompt;
import gladelug.data.request.RecentDecisions;
import gladelug.data.request.Request;
import gladelug.data.state.ReplicatedStateView;
import gladelug.data.state.StateSubscription;
import gladelug.emulator.Ledger;
import gladelug.emulator.StandInContent;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A whole relay in the simulated world: the product's news, stages, queue, budget and hand-over
 * over simulated connections, with its callers. It can be killed, paused, and run on a clock that
 * drifts. What its callers see goes into the ledger.
 */
final class RequestRelay {
  private static final long LATE = 1700;
  private final RequestSim sim;
  final String name;
  int life;
  boolean up;
  boolean paused;
  double rate = 1;
  private long woke;
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  private StateSubscription news;
  private Relay relay;
  private RecentDecisions decisions;
  private FilterChain way;
  private SimConnections connections;
  private final Map<Request, Ledger.Call> calls = new HashMap<>();
  private final Set<Ledger.Call> open = new LinkedHashSet<>();
  int restarts;
  long complete;

  RequestRelay(RequestSim sim, String name) {
    this.sim = sim;
    this.name = name;
  }

  private long base;
  private long since;

  private long now() {
    return base + (long) ((sim.now() - since) * rate);
  }

  /** From now on its clock goes so much as fast as time. */
  void drift(double r) {
    base = now();
    since = sim.now();
    rate = r;
  }

  void start() {
    if (up) return;
    up = true;
    paused = false;
    held.clear();
    int l = ++life;
    news =
        new StateSubscription(
            this::now,
            new Shuffle.Descriptor(name, "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            l,
            snapshot -> relay.applySnapshot(snapshot));
    connections = new SimConnections(sim, this);
    decisions = new RecentDecisions(512, name, l);
    relay =
        new Relay(
            this::now,
            news,
            x -> new Backends(this::now, (r, told) -> sim.load(this, r, told), x::admitWaiting),
            "z",
            RelaySettings.builder().maxQueuedRequests(64).build(),
            () -> sim.fronts.size());
    way =
        relay.filterChain(
            blocks -> Uni.createFrom().emitter(e -> sim.lookup(this, blocks, e::complete)),
            ChoiceMode.SUMMARY,
            new LineExchange(relay, connections));
    every(l, 50, () -> relay.tick());
    every(l, Backends.POLL_INTERVAL_MS, () -> relay.backends.pollAll());
    every(l, 400, this::ask);
  }

  private void every(int l, long ms, Runnable task) {
    if (l != life) return;
    run(l, task);
    sim.after(ms, () -> every(l, ms, task));
  }

  private void ask() {
    StateUpdate.SubscriptionRequest a = news.subscriptionRequest();
    for (String c : sim.controlNames()) sim.ask(name, c, a);
  }

  /** On the request thread of this life, or when its pause is over. */
  void run(int l, Runnable task) {
    if (!up || l != life) return;
    if (paused) held.add(task);
    else task.run();
  }

  void wake() {
    paused = false;
    woke = now();
    while (!held.isEmpty() && !paused) held.poll().run();
  }

  void kill() {
    if (!up) return;
    up = false;
    life++;
    restarts++;
    connections.die();
    for (Ledger.Call c : new ArrayList<>(open)) end(c, "broken");
    calls.clear();
  }

  void told(StateUpdate update) {
    run(
        life,
        () -> {
          if (news.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
            sim.whole(name, ((StateUpdate.ValuePush) update).key());
          if (update instanceof StateUpdate.ValuePush) ask();
        });
  }

  void broke(SimReplica replica) {
    if (up) connections.broke(replica);
  }

  /** All connections to a replica are reset at its end. */
  void resetConnections(SimReplica replica) {
    if (up) connections.resetAll(replica);
  }

  /** The caller of a request goes away, if it is this relay's and is not answered yet. */
  void callerLeaves(String tag) {
    for (Map.Entry<Request, Ledger.Call> e : new ArrayList<>(calls.entrySet()))
      if (e.getValue().tag.equals(tag)) run(life, () -> gone(e.getKey()));
  }

  /** The caller of the request that came last goes away. */
  void lastCallerLeaves() {
    String last = "";
    for (Ledger.Call c : open) last = c.tag;
    callerLeaves(last);
  }

  /** Who the relay's list says is at an address. */
  String wanted(String address) {
    return news.snapshot().replicas().all.stream()
        .filter(r -> r.address().toString().equals(address))
        .map(r -> r.service() + "/" + r.instance())
        .findFirst()
        .orElse("");
  }

  long number(String key) {
    return news.number(key);
  }

  private void end(Ledger.Call c, String outcome) {
    open.remove(c);
    c.outcome = outcome;
    c.doneMs = sim.now();
  }

  /** A caller sends a request, and perhaps goes away before its end. */
  void send(
      String kind, String path, String tenant, boolean repeatable, String prompt, String tag) {
    Ledger.Call c = new Ledger.Call(tag, kind, tenant, name, repeatable, sim.now());
    sim.ledger.calls.put(tag, c);
    if (!up) {
      end(c, "no-circuit");
      return;
    }
    open.add(c);
    run(
        life,
        () -> {
          Request request =
              new Request(
                  decisions.begin(now()),
                  now(),
                  Configuration.hashKey("key-of-" + tenant),
                  path,
                  new Side());
          request.prompt = new Prompt.Text(prompt + "#" + tag);
          request.maxPieces = 16;
          c.order = request.id();
          calls.put(request, c);
          relay.begin(request);
          way.start(request);
          if (sim.random.nextInt(25) == 0)
            sim.after(sim.random.nextInt(200), () -> run(request.id(), () -> gone(request)));
        });
  }

  private void run(String id, Runnable task) {
    if (id.contains(String.format(".%04x.", life & 0xffff))) run(life, task);
  }

  private void gone(Request request) {
    Ledger.Call c = calls.remove(request);
    if (c == null) return;
    end(c, "gone");
    relay.callerGone(request);
  }

  /** What a caller is told, checked as a caller would. */
  private final class Side implements Request.Caller {
    @Override
    public void refuse(Request request, FilterResult.Refuse v) {
      Ledger.Call c = calls.remove(request);
      if (c == null) return;
      c.status = v.status();
      c.reason = v.reason();
      if (c.pieces > 0) sim.violation(request.id() + " was turned away after pieces went out");
      if (v.status() >= 500 && v.retryAfterMs() <= 0)
        sim.violation(request.id() + " is not told when to come back");
      if (request.deadlineMs > 0 && now() > Math.max(request.deadlineMs, woke) + LATE)
        sim.violation(
            request.id()
                + " was answered "
                + (now() - request.deadlineMs)
                + " ms after its expiry");
      end(c, v.outcome());
    }

    @Override
    public boolean sendPiece(Request request, Buffer piece, Runnable ready) {
      Ledger.Call c = calls.get(request);
      if (c == null) return true;
      JsonObject json = Json.parse(piece.toString()).asObject();
      if (c.explicitEnd || json.getInt("piece", -1) != c.pieces) c.misordered++;
      if (!StandInContent.textOf(c.tag, c.pieces).equals(json.getString("text", ""))) c.foreign++;
      if (c.firstPieceMs < 0) c.firstPieceMs = sim.now();
      c.pieces++;
      return true;
    }

    @Override
    public void complete(Request request, int pieces) {
      Ledger.Call c = calls.remove(request);
      if (c == null) return;
      c.status = 200;
      c.explicitEnd = c.bodyTerminated = true;
      if (pieces != c.pieces) c.misordered++;
      complete++;
      end(c, "complete");
    }

    @Override
    public void cutOff(Request request, String why) {
      Ledger.Call c = calls.remove(request);
      if (c == null) return;
      c.status = 200;
      c.reason = why;
      end(c, "cut-off");
    }
  }
}

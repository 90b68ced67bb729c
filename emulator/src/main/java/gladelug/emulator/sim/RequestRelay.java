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
  private static final long MAX_LATENESS_MS = 1700;
  private final RequestSimulation sim;
  final String name;
  int processNumber;
  boolean up;
  boolean paused;
  double clockRate = 1;
  private long wokeAtMs;
  private final ArrayDeque<Runnable> heldTasks = new ArrayDeque<>();
  private StateSubscription subscription;
  private Relay relay;
  private RecentDecisions decisions;
  private FilterChain filterChain;
  private SimReplicaConnections connections;
  private final Map<Request, Ledger.Call> calls = new HashMap<>();
  private final Set<Ledger.Call> openCalls = new LinkedHashSet<>();
  int restartCount;
  long completeCount;

  RequestRelay(RequestSimulation sim, String name) {
    this.sim = sim;
    this.name = name;
  }

  private long clockBaseMs;
  private long clockSinceMs;

  private long nowMs() {
    return clockBaseMs + (long) ((sim.nowMs() - clockSinceMs) * clockRate);
  }

  /** From now on its clock goes so much as fast as time. */
  void setClockRate(double rate) {
    clockBaseMs = nowMs();
    clockSinceMs = sim.nowMs();
    clockRate = rate;
  }

  void start() {
    if (up) return;
    up = true;
    paused = false;
    heldTasks.clear();
    int ownProcess = ++processNumber;
    subscription =
        new StateSubscription(
            this::nowMs,
            new Shuffle.Descriptor(name, "relay", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            ownProcess,
            snapshot -> relay.applySnapshot(snapshot));
    connections = new SimReplicaConnections(sim, this);
    decisions = new RecentDecisions(512, name, ownProcess);
    relay =
        new Relay(
            this::nowMs,
            subscription,
            x ->
                new Backends(
                    this::nowMs, (rate, told) -> sim.fetchLoad(this, rate, told), x::admitWaiting),
            "z",
            RelaySettings.builder().maxQueuedRequests(64).build(),
            () -> sim.requestRelays.size());
    filterChain =
        relay.filterChain(
            blocks -> Uni.createFrom().emitter(e -> sim.lookup(this, blocks, e::complete)),
            ChoiceMode.SUMMARY,
            new LineExchange(relay, connections));
    runEvery(ownProcess, 50, () -> relay.tick());
    runEvery(ownProcess, Backends.POLL_INTERVAL_MS, () -> relay.backends.pollAll());
    runEvery(ownProcess, 400, this::requestUpdates);
  }

  private void runEvery(int ownProcess, long intervalMs, Runnable task) {
    if (ownProcess != processNumber) return;
    run(ownProcess, task);
    sim.after(intervalMs, () -> runEvery(ownProcess, intervalMs, task));
  }

  private void requestUpdates() {
    StateUpdate.SubscriptionRequest subscriptionRequest = subscription.subscriptionRequest();
    for (String control : sim.controlNames())
      sim.sendSubscriptionRequest(name, control, subscriptionRequest);
  }

  /** On the request thread of this life, or when its pause is over. */
  void run(int ownProcess, Runnable task) {
    if (!up || ownProcess != processNumber) return;
    if (paused) heldTasks.add(task);
    else task.run();
  }

  void resume() {
    paused = false;
    wokeAtMs = nowMs();
    while (!heldTasks.isEmpty() && !paused) heldTasks.poll().run();
  }

  void kill() {
    if (!up) return;
    up = false;
    processNumber++;
    restartCount++;
    connections.closeAll();
    for (Ledger.Call call : new ArrayList<>(openCalls)) closeCall(call, "broken");
    calls.clear();
  }

  void onUpdate(StateUpdate update) {
    run(
        processNumber,
        () -> {
          if (subscription.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
            sim.requestFullValue(name, ((StateUpdate.ValuePush) update).key());
          if (update instanceof StateUpdate.ValuePush) requestUpdates();
        });
  }

  void onReplicaCrashed(SimReplica replica) {
    if (up) connections.onReplicaCrashed(replica);
  }

  /** All connections to a replica are reset at its end. */
  void resetConnections(SimReplica replica) {
    if (up) connections.resetAllTo(replica);
  }

  /** The caller of a request goes away, if it is this relay's and is not answered yet. */
  void callerLeaves(String tag) {
    for (Map.Entry<Request, Ledger.Call> entry : new ArrayList<>(calls.entrySet()))
      if (entry.getValue().tag.equals(tag)) run(processNumber, () -> onCallerGone(entry.getKey()));
  }

  /** The caller of the request that came last goes away. */
  void lastCallerLeaves() {
    String last = "";
    for (Ledger.Call call : openCalls) last = call.tag;
    callerLeaves(last);
  }

  /** Who the relay's list says is at an address. */
  String listedIdentity(String address) {
    return subscription.snapshot().replicas().all.stream()
        .filter(rate -> rate.address().toString().equals(address))
        .map(rate -> rate.service() + "/" + rate.instance())
        .findFirst()
        .orElse("");
  }

  long versionOf(String key) {
    return subscription.number(key);
  }

  private void closeCall(Ledger.Call call, String outcome) {
    openCalls.remove(call);
    call.outcome = outcome;
    call.done = sim.nowMs();
  }

  /** A caller sends a request, and perhaps goes away before its end. */
  void send(
      String kind, String path, String tenant, boolean repeatable, String prompt, String tag) {
    Ledger.Call call = new Ledger.Call(tag, kind, tenant, name, repeatable, sim.nowMs());
    sim.ledger.calls.put(tag, call);
    if (!up) {
      closeCall(call, "no-circuit");
      return;
    }
    openCalls.add(call);
    run(
        processNumber,
        () -> {
          Request request =
              new Request(
                  decisions.begin(nowMs()),
                  nowMs(),
                  Configuration.hashKey("key-of-" + tenant),
                  path,
                  new CallerSide());
          request.prompt = new Prompt.Text(prompt + "#" + tag);
          request.maxPieces = 16;
          call.order = request.id();
          calls.put(request, call);
          relay.begin(request);
          filterChain.start(request);
          if (sim.random.nextInt(25) == 0)
            sim.after(
                sim.random.nextInt(200), () -> run(request.id(), () -> onCallerGone(request)));
        });
  }

  private void run(String id, Runnable task) {
    if (id.contains(String.format(".%04x.", processNumber & 0xffff))) run(processNumber, task);
  }

  private void onCallerGone(Request request) {
    Ledger.Call call = calls.remove(request);
    if (call == null) return;
    closeCall(call, "gone");
    relay.callerGone(request);
  }

  /** What a caller is told, checked as a caller would. */
  private final class CallerSide implements Request.Caller {
    @Override
    public void refuse(Request request, FilterResult.Refuse refusal) {
      Ledger.Call call = calls.remove(request);
      if (call == null) return;
      call.status = refusal.status();
      call.reason = refusal.reason();
      if (call.pieces > 0) sim.violation(request.id() + " was turned away after pieces went out");
      if (refusal.status() >= 500 && refusal.retryAfterMs() <= 0)
        sim.violation(request.id() + " is not told when to come back");
      if (request.deadlineMs > 0
          && nowMs() > Math.max(request.deadlineMs, wokeAtMs) + MAX_LATENESS_MS)
        sim.violation(
            request.id()
                + " was answered "
                + (nowMs() - request.deadlineMs)
                + " ms after its expiry");
      closeCall(call, refusal.outcome());
    }

    @Override
    public boolean sendPiece(Request request, Buffer piece, Runnable ready) {
      Ledger.Call call = calls.get(request);
      if (call == null) return true;
      JsonObject json = Json.parse(piece.toString()).asObject();
      if (call.explicitEnd || json.getInt("piece", -1) != call.pieces) call.misordered++;
      if (!StandInContent.textOf(call.tag, call.pieces).equals(json.getString("text", "")))
        call.foreign++;
      if (call.firstPiece < 0) call.firstPiece = sim.nowMs();
      call.pieces++;
      return true;
    }

    @Override
    public void complete(Request request, int pieces) {
      Ledger.Call call = calls.remove(request);
      if (call == null) return;
      call.status = 200;
      call.explicitEnd = call.bodyTerminated = true;
      if (pieces != call.pieces) call.misordered++;
      completeCount++;
      closeCall(call, "complete");
    }

    @Override
    public void cutOff(Request request, String why) {
      Ledger.Call call = calls.remove(request);
      if (call == null) return;
      call.status = 200;
      call.reason = why;
      closeCall(call, "cut-off");
    }
  }
}

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
 * A complete relay in the simulation: the production state subscription, filter chain, admission
 * queue, retry budget and hand-over on simulated connections, together with its callers. It can be
 * killed, paused, and run with a drifting clock. What its callers observe is recorded in the
 * ledger.
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

  /** Lets the relay's clock advance at this multiple of simulated time from now on. */
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
            owner ->
                new Backends(
                    this::nowMs,
                    (replica, onLoad) -> sim.fetchLoad(this, replica, onLoad),
                    owner::admitWaiting),
            "z",
            RelaySettings.builder().maxQueuedRequests(64).build(),
            () -> sim.requestRelays.size());
    filterChain =
        relay.filterChain(
            blocks ->
                Uni.createFrom().emitter(emitter -> sim.lookup(this, blocks, emitter::complete)),
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

  /**
   * Runs the task unless the process has ended since; while the relay is paused, the task waits
   * until it resumes.
   */
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

  /** Resets all connections to a replica from the replica's end. */
  void resetConnections(SimReplica replica) {
    if (up) connections.resetAllTo(replica);
  }

  /** Disconnects the caller of a request, if the request is at this relay and not answered yet. */
  void callerLeaves(String tag) {
    for (Map.Entry<Request, Ledger.Call> entry : new ArrayList<>(calls.entrySet()))
      if (entry.getValue().tag.equals(tag)) run(processNumber, () -> onCallerGone(entry.getKey()));
  }

  /** Disconnects the caller of the newest open request. */
  void lastCallerLeaves() {
    String last = "";
    for (Ledger.Call call : openCalls) last = call.tag;
    callerLeaves(last);
  }

  /**
   * Returns "service/instance" of the replica that the relay's list names for an address, or an
   * empty string.
   */
  String listedIdentity(String address) {
    return subscription.snapshot().replicas().all.stream()
        .filter(replica -> replica.address().toString().equals(address))
        .map(replica -> replica.service() + "/" + replica.instance())
        .findFirst()
        .orElse("");
  }

  long versionOf(String key) {
    return subscription.number(key);
  }

  private void closeCall(Ledger.Call call, String outcome) {
    openCalls.remove(call);
    call.outcome = outcome;
    call.doneMs = sim.nowMs();
  }

  /** Sends a request of a caller, who may disconnect before its end. */
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

  /** Receives what the relay tells a caller and checks it as a caller would. */
  private final class CallerSide implements Request.Caller {
    @Override
    public void refuse(Request request, FilterResult.Refuse refusal) {
      Ledger.Call call = calls.remove(request);
      if (call == null) return;
      call.status = refusal.status();
      call.reason = refusal.reason();
      if (call.pieces > 0) sim.violation(request.id() + " was refused after pieces had been sent");
      if (refusal.status() >= 500 && refusal.retryAfterMs() <= 0)
        sim.violation(request.id() + " was refused without a retry delay");
      if (request.deadlineMs > 0
          && nowMs() > Math.max(request.deadlineMs, wokeAtMs) + MAX_LATENESS_MS)
        sim.violation(
            request.id()
                + " was answered "
                + (nowMs() - request.deadlineMs)
                + " ms after its deadline");
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
      if (call.firstPieceMs < 0) call.firstPieceMs = sim.nowMs();
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

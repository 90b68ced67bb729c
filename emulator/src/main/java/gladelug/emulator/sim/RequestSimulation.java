package gladelug.emulator.sim;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.configuration.Replicas;
import gladelug.common.message.Lookup;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.ControlOwnerTasks;
import gladelug.control.capacity.CapacityAllocation;
import gladelug.control.core.OwnerTasks;
import gladelug.control.core.SubscriberStatus;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.register.VersionedValue;
import gladelug.control.rollout.WeightRollout;
import gladelug.data.relay.Lookups;
import gladelug.emulator.Ledger;
import gladelug.emulator.LedgerChecker;
import gladelug.emulator.TimedGuarantees;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The simulation with requests: the control machines, platform, configurations, weights and
 * commanders of Simulation, and complete relays, an index and replicas around them. All of it is
 * production code except links, disks and clocks.
 *
 * <p>Each promise is checked in its strictest form: from the moment of the acknowledgement, no
 * request may be sent to a replica under the previous state. To reach windows that random schedules
 * seldom meet, a request is held at a named point while an injected event takes place.
 */
public final class RequestSimulation extends Simulation {
  /**
   * Points at which a request can be held: at the index lookup, at opening a connection, on its way
   * to the replica, and between two pieces of the answer.
   */
  enum RequestPoint {
    LOOKUP,
    OPEN,
    HANDED,
    STREAM
  }

  /** Events that can be injected while a request is held. */
  enum InjectedEvent {
    CONFIGURATION_MOVES,
    KEY_REVOKED,
    WALL_RAISED,
    REPLICA_LEAVES,
    WEIGHTS_NAMED,
    OWNER_DIES,
    REPLICA_CRASHES,
    REPLICA_VANISHES,
    RELAY_CUT_FROM_CORE,
    ADDRESS_REUSED,
    CONNECTIONS_RESET,
    LINKS_SILENT,
    ANSWERS_REPEATED,
    ANSWERS_REPEATED_LATE,
    CALLER_LEAVES
  }

  static final TimedGuarantees.GracePeriods STRICT =
      new TimedGuarantees.GracePeriods(0, 0, 15_400, 0, 0);
  static final String[] TENANTS = {"one", "two", "walled"};
  private static final int WEIGHT_CUTOFF_MS = 15_000;
  private static final long MAX_SURPLUS_DELAY_MS = 150;

  final Ledger ledger = new Ledger();
  final TimedGuarantees promises = new TimedGuarantees();
  final Map<String, SimReplica> replicas = new LinkedHashMap<>();
  final Map<String, SimReplica> byAddress = new HashMap<>();
  final Map<String, RequestRelay> requestRelays = new LinkedHashMap<>();
  private final Map<String, String> listedStates = new LinkedHashMap<>();
  private final Map<String, WeightRollout> rollouts = new HashMap<>();
  private final Map<String, Configuration> parsedConfigurations = new HashMap<>();
  private boolean platformSilent;

  /**
   * Rules that a test disables to show that the checks detect the violation: the identity check of
   * connections, and the restriction on who may command replicas.
   */
  boolean identityUnchecked;

  boolean anyMemberCommands;
  final ConfigurationOperator operator = new ConfigurationOperator(this);
  // the event to inject and the point at which to hold a request for it
  InjectedEvent armedEvent;
  RequestPoint armedPoint;
  private String heldRequestTag;
  private long armedAtMs = Long.MAX_VALUE;
  long heldAtMs = -1;
  final SimIndex index;
  private int sentCount;
  double requestsPerSecond = 40;

  /** Counts of the events that the checks depend on. */
  final Map<ConnectionEvent, Integer> eventCounts = new EnumMap<>(ConnectionEvent.class);

  RequestSimulation(long seed) {
    super(seed, 0);
    for (int i = 1; i <= 3; i++) requestRelays.put("r" + i, new RequestRelay(this, "r" + i));
    addReplica("m", "m1", "10.1.0.1", true);
    addReplica("m", "m2", "10.1.0.2", true);
    addReplica("m", "m3", "10.1.0.3", true);
    addReplica("m", "m9", "10.1.9.9", true);
    addReplica("n", "n1", "10.1.0.4", true);
    addReplica("app", "a1", "10.1.0.5", false);
    addReplica("app-two", "b1", "10.1.0.6", false);
    index = new SimIndex(this);
    for (RequestRelay relay : requestRelays.values()) relay.start();
    after(100, index::poll);
    run(2500);
    operator.sendConfiguration(taken -> {});
    run(500);
    operator.assignWeights(taken -> {});
    run(1500);
    for (String kind : new String[] {"ask", "again", "stop"}) startCallers(kind);
  }

  private SimReplica addReplica(String service, String name, String host, boolean isModel) {
    SimReplica replica =
        new SimReplica(this, service, name, new Address(host, 9), isModel, isModel ? "w0" : "");
    replicas.put(name, replica);
    byAddress.put(replica.address.toString(), replica);
    setListedState(name, "ready");
    return replica;
  }

  void countEvent(ConnectionEvent event) {
    eventCounts.merge(event, 1, Integer::sum);
  }

  SimReplica replicaAt(String address) {
    return byAddress.get(address);
  }

  // ---- platform

  /**
   * Sets the state in which the platform lists an instance; an empty state removes it. A promise
   * starts only when the core acknowledges the list, the strictest moment to check from.
   */
  void setListedState(String instance, String state) {
    if (state.isEmpty()) listedStates.remove(instance);
    else listedStates.put(instance, state);
  }

  private String platformListJson() {
    JsonArray array = new JsonArray();
    listedStates.forEach(
        (name, text) -> {
          SimReplica replica = replicas.get(name);
          array.add(
              Json.object()
                  .add("service", replica.service)
                  .add("instance", name)
                  .add("address", replica.address.toString())
                  .add("domain", "z")
                  .add("state", text));
        });
    return Json.object().add("replicas", array).toString();
  }

  @Override
  void runDuties(SimControlMachine control) {
    if (control.node == null || !control.node.isInitialized()) return;
    if (control.node.owns(StateKeys.REPLICAS) && !platformSilent) {
      Map<String, String> stateByReplica = new LinkedHashMap<>(listedStates);
      if (Replicas.parse(platformListJson()) instanceof Result.Good<Replicas> good) {
        byte[] newValue = good.value().toJson().getBytes(StandardCharsets.UTF_8);
        var stored = control.node.storedValue(StateKeys.REPLICAS);
        if (stored.getKey() == 0 || !Arrays.equals(stored.getValue(), newValue)) {
          long sentAtMs = nowMs();
          List<TimedGuarantees.Change> facts = new ArrayList<>();
          for (String target : replicas.keySet())
            facts.add(
                promises.recordSent(
                    "replica " + target, stateByReplica.getOrDefault(target, "gone"), sentAtMs));
          control.node.change(
              StateKeys.REPLICAS, stored.getKey(), newValue, result -> recordAnswer(facts, result));
        }
      }
    }
    WeightRollout rollout =
        rollouts.computeIfAbsent(control.name, name -> new WeightRollout(WEIGHT_CUTOFF_MS));
    rollout.updateInputs(
        new WeightRollout.RolloutInputs(
            control.node.storedValue(StateKeys.REPLICAS).getValue(),
            control.node.storedValue(StateKeys.WEIGHTS).getValue(),
            control.node.storedValue(StateKeys.CONFIGURATION).getValue(),
            control.node.knownAgeMs(StateKeys.WEIGHTS)));
    for (Replicas.Replica target : rollout.rolloutTargets()) {
      String key = StateKeys.replicaControllerKey(target.instance());
      control.node.ensureKey(key);
      SimReplica replica = replicaAt(target.address().toString());
      if (replica == null || !replica.isAnswering() || !replica.instance.equals(target.instance()))
        continue;
      int ownProcess = control.processNumber;
      transmit(
          replica.instance,
          control.name,
          () ->
              control.run(
                  () -> {
                    if (ownProcess != control.processNumber) return;
                    rollout.onReported(
                        target,
                        target.service(),
                        replica.currentWeights(),
                        replica.isLoading(),
                        nowMs());
                    WeightRollout.WeightAssignment assignment =
                        rollout.nextAssignment(target, nowMs());
                    if (assignment == null || !anyMemberCommands && !control.node.mayCommand(key))
                      return;
                    rollout.onOrderSent(target, assignment, nowMs());
                    long epoch = control.node.epochOf(key);
                    observer.sentText(
                        nowMs(),
                        control.name,
                        replica.instance,
                        epoch + " " + assignment.weights());
                    transmit(
                        control.name,
                        replica.instance,
                        () -> replica.onCommand(control.name, epoch, assignment.weights()));
                    log(
                        control.name,
                        "steers "
                            + replica.instance
                            + " to "
                            + assignment.weights()
                            + " under "
                            + epoch);
                  }));
    }
  }

  @Override
  OwnerTasks ownerTasks() {
    ControlOwnerTasks tasks = new ControlOwnerTasks(Configuration::parse);
    return new OwnerTasks() {
      @Override
      public PrefixSharing prefixSharing(String key, VersionedValue before, byte[] after) {
        return tasks.prefixSharing(key, before, after);
      }

      @Override
      public Map<String, List<StateUpdate.CapacityGrant>> allocateCapacity(
          long epoch, List<SubscriberStatus> statuses, byte[] configuration) {
        return CapacityAllocation.allocate(
            epoch,
            statuses,
            parsedConfigurations.computeIfAbsent(
                new String(configuration, StandardCharsets.UTF_8),
                text ->
                    Configuration.parse(text) instanceof Result.Good<Configuration> good
                        ? good.value()
                        : Configuration.EMPTY));
      }
    };
  }

  /**
   * Records the outcome of facts that were sent to the core; an unknown outcome leaves them open.
   */
  void recordAnswer(List<TimedGuarantees.Change> facts, ChangeResult result) {
    if (result instanceof ChangeResult.Unknown) return;
    for (TimedGuarantees.Change fact : facts)
      promises.recordAnswer(fact, result instanceof ChangeResult.Acknowledged ? nowMs() : -1);
  }

  // ---- callers

  private void startCallers(String kind) {
    after(
        1 + (long) (-Math.log(1 - random.nextDouble()) * 3000 / requestsPerSecond),
        () -> {
          String tenant = TENANTS[random.nextInt(TENANTS.length)];
          String tag = kind + "-" + tenant + "-" + sentCount++;
          String prompt =
              ("Told of " + kind + " to all and at length " + random.nextInt(3)).repeat(3) + tag;
          List<RequestRelay> relays = new ArrayList<>(requestRelays.values());
          relays
              .get(random.nextInt(relays.size()))
              .send(kind, "/" + kind, tenant, kind.equals("again"), prompt, tag);
          startCallers(kind);
        });
  }

  // ---- requests from relays

  void fetchLoad(
      RequestRelay relay,
      Replicas.Replica target,
      Consumer<io.vertx.core.json.JsonObject> onAnswer) {
    int ownProcess = relay.processNumber;
    SimReplica replica = replicaAt(target.address().toString());
    if (replica == null || !replica.isAnswering())
      after(
          replica == null || !replica.up ? 3 : 1000,
          () -> relay.run(ownProcess, () -> onAnswer.accept(null)));
    else
      transmit(
          relay.name,
          replica.instance,
          () -> {
            if (replica.isAnswering()) {
              io.vertx.core.json.JsonObject json = replica.loadReport();
              transmit(
                  replica.instance,
                  relay.name,
                  () -> relay.run(ownProcess, () -> onAnswer.accept(json)));
            }
          });
  }

  void lookup(RequestRelay relay, long[] blocks, Consumer<Lookups.LookupResult> onFound) {
    int ownProcess = relay.processNumber;
    Lookup.Response response = index.answer(blocks);
    passPoint(
        RequestPoint.LOOKUP,
        relay.name,
        () ->
            after(
                random.nextInt(8),
                () ->
                    relay.run(
                        ownProcess,
                        () ->
                            onFound.accept(
                                new Lookups.LookupResult(
                                    response.warm() ? Lookups.ANSWERED : "warming",
                                    response.matches())))));
  }

  /** Called when a request leaves for its replica, the moment at which every promise is checked. */
  void onHandedOver(RequestRelay relay, String json) {
    JsonObject request = Json.parse(json).asObject();
    if (relay.paused)
      violation(relay.name + " handed " + request.getString("order", "") + " over while paused");
  }

  @Override
  void onUpdate(String relay, StateUpdate update) {
    if (relay.equals(SimIndex.NAME)) index.onUpdate(update);
    else if (requestRelays.containsKey(relay)) requestRelays.get(relay).onUpdate(update);
  }

  @Override
  List<String> dataPlaneNames() {
    List<String> names = new ArrayList<>();
    if (requestRelays != null) {
      names.addAll(requestRelays.keySet());
      names.addAll(replicas.keySet());
      names.add(SimIndex.NAME);
    }
    return names;
  }

  // ---- held requests

  /** Holds the first request that passes the point from now on, until the event is acknowledged. */
  void arm(InjectedEvent event, RequestPoint point) {
    armedEvent = event;
    armedPoint = point;
    armedAtMs = nowMs();
    heldAtMs = -1;
  }

  /**
   * Continues a request that passes a point, or holds it there while the armed event takes place.
   */
  void passPoint(RequestPoint point, String requestTag, Runnable proceed) {
    if (point != armedPoint || heldAtMs >= 0 || nowMs() < armedAtMs) {
      proceed.run();
      return;
    }
    heldAtMs = nowMs();
    log("order", requestTag + " is held at " + point + " while " + armedEvent);
    heldRequestTag = requestTag;
    boolean[] proceeded = {false};
    Consumer<Boolean> whenDone =
        ok ->
            after(
                random.nextInt(20),
                () -> {
                  if (proceeded[0]) return;
                  proceeded[0] = true;
                  proceed.run();
                });
    after(2600, () -> whenDone.accept(false));
    trigger(armedEvent, whenDone);
  }

  private SimReplica randomModelReplica() {
    List<SimReplica> candidates =
        replicas.values().stream()
            .filter(
                replica ->
                    replica.isModel
                        && replica.up
                        && "ready".equals(listedStates.get(replica.instance)))
            .toList();
    return candidates.isEmpty()
        ? replicas.get("m1")
        : candidates.get(random.nextInt(candidates.size()));
  }

  void crash(SimReplica replica) {
    replica.crash();
    for (RequestRelay relay : requestRelays.values()) relay.onReplicaCrashed(replica);
  }

  /**
   * Blocks all traffic between a replica and the relays for a while without notice; what was sent
   * meanwhile arrives afterwards.
   */
  private void silenceReplica(SimReplica replica) {
    for (String relay : requestRelays.keySet()) {
      cutLink(relay, replica.instance);
      cutLink(replica.instance, relay);
    }
    after(500 + random.nextInt(4000), () -> heal(replica.instance));
  }

  void trigger(InjectedEvent event, Consumer<Boolean> whenDone) {
    switch (event) {
      case CONFIGURATION_MOVES -> operator.moveServices(whenDone);
      case KEY_REVOKED -> operator.revokeKey(whenDone);
      case WALL_RAISED -> operator.changeIsolation(whenDone);
      case REPLICA_LEAVES -> {
        setListedState(randomModelReplica().instance, random.nextBoolean() ? "leaving" : "");
        after(1200, () -> whenDone.accept(true));
      }
      case WEIGHTS_NAMED -> operator.assignWeights(whenDone);
      case OWNER_DIES -> {
        for (SimControlMachine control : controls.values())
          if (control.up
              && control.node.isInitialized()
              && control.node.owns(StateKeys.CONFIGURATION)) control.cutPower();
        operator.moveApplication(whenDone);
      }
      case REPLICA_CRASHES -> {
        crash(randomModelReplica());
        whenDone.accept(true);
      }
      case REPLICA_VANISHES -> {
        randomModelReplica().vanished = true;
        whenDone.accept(true);
      }
      case RELAY_CUT_FROM_CORE -> {
        for (String relay : requestRelays.keySet())
          for (String control : controlNames()) {
            cutLink(relay, control);
            cutLink(control, relay);
          }
        operator.moveApplication(whenDone);
      }
      case CONNECTIONS_RESET -> {
        for (SimReplica replica : replicas.values())
          for (RequestRelay relay : requestRelays.values()) relay.resetConnections(replica);
        whenDone.accept(true);
      }
      case LINKS_SILENT -> {
        silenceReplica(randomModelReplica());
        whenDone.accept(true);
      }
      case ANSWERS_REPEATED -> {
        for (SimReplica replica : replicas.values()) replica.answerRepeatRate = 0.5;
        whenDone.accept(true);
      }
      case ANSWERS_REPEATED_LATE -> {
        for (SimReplica replica : replicas.values()) {
          replica.answerRepeatRate = 0.5;
          replica.maxRepeatDelayMs = MAX_SURPLUS_DELAY_MS;
        }
        whenDone.accept(true);
      }
      case CALLER_LEAVES -> {
        RequestRelay relay = requestRelays.get(heldRequestTag);
        if (relay != null) relay.lastCallerLeaves();
        else for (RequestRelay other : requestRelays.values()) other.callerLeaves(heldRequestTag);
        whenDone.accept(true);
      }
      default -> {
        // the machine dies and its address goes to a replica of another service
        SimReplica old = replicas.get("m2");
        crash(old);
        SimReplica newReplica =
            new SimReplica(this, "ghost", "g" + nowMs(), old.address, true, old.weights);
        byAddress.put(old.address.toString(), newReplica);
        after(100, () -> whenDone.accept(true));
      }
    }
  }

  /** Ends all injected faults and starts every process that is down. */
  void repairAll() {
    healAll();
    platformSilent = false;
    for (SimControlMachine control : controls.values()) {
      control.storage.stalled = false;
      if (!control.up) control.start();
      else {
        control.storage.startWrite(this, control);
        if (control.paused) control.resume();
      }
    }
    for (RequestRelay relay : requestRelays.values()) {
      if (!relay.up) relay.start();
      if (relay.paused) relay.resume();
    }
    index.eventLossRate = index.eventDelayRate = 0;
    for (SimReplica replica : replicas.values()) {
      replica.hung = replica.vanished = replica.sendsLateBytes = replica.neverLoads = false;
      replica.refusalRate = replica.streamBreakRate = replica.answerRepeatRate = 0;
      replica.maxRepeatDelayMs = 1;
      byAddress.put(replica.address.toString(), replica);
      replica.start(operator.currentOrPreviousWeights());
      setListedState(replica.instance, "ready");
    }
  }

  // ---- checks

  void checkRules() {
    for (LedgerChecker.Finding finding : LedgerChecker.checkAll(ledger))
      for (String offender : finding.offenders()) violation(finding.rule() + ": " + offender);
    promises
        .check(ledger, STRICT)
        .forEach(
            (rule, offenders) -> offenders.forEach(offender -> violation(rule + ": " + offender)));
    int restarts = requestRelays.values().stream().mapToInt(relay -> relay.restartCount).sum();
    LedgerChecker.findRetryExcess(ledger, 0.2, 3 * requestRelays.size() + restarts)
        .forEach(offender -> violation("second tries: " + offender));
    for (Ledger.Call call : ledger.calls.values())
      if (call.doneMs < 0) violation(call.tag + " was never answered");
    index.checkEntries();
  }

  int completeCount() {
    return (int) requestRelays.values().stream().mapToLong(relay -> relay.completeCount).sum();
  }

  /** Injects one fault or event chosen by the seed. */
  void injectRandomFault() {
    List<String> names = controlNames();
    SimControlMachine control = controls.get(names.get(random.nextInt(names.size())));
    RequestRelay relay = requestRelays.get("r" + (1 + random.nextInt(requestRelays.size())));
    SimReplica replica = randomModelReplica();
    switch (random.nextInt(18)) {
      case 0 -> control.cutPower();
      case 1 -> cutOff(control.name);
      case 2 -> control.pause();
      case 3 -> {
        relay.kill();
        relay.start();
      }
      case 4 -> relay.paused = true;
      case 5 -> cutOff(relay.name);
      case 6 -> {
        cutLink(relay.name, replica.instance);
        if (random.nextBoolean()) cutLink(replica.instance, relay.name);
      }
      case 7 -> replica.hung = true;
      case 8 -> replica.refusalRate = random.nextBoolean() ? 1 : 0.4;
      case 9 -> replica.streamBreakRate = 0.2;
      case 10 -> replica.sendsLateBytes = true;
      case 11 -> {
        index.eventLossRate = 0.1;
        index.eventDelayRate = 0.3;
      }
      case 12 -> platformSilent = true;
      case 13 -> replica.neverLoads = true;
      case 14 -> {
        for (SimControlMachine other : controls.values()) other.cutPower();
      }
      case 15 -> split(Set.of(control.name, relay.name));
      default -> {
        InjectedEvent[] events = InjectedEvent.values();
        trigger(events[random.nextInt(events.length)], other -> {});
      }
    }
  }
}

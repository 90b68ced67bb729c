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
import gladelug.emulator.Judge;
import gladelug.emulator.Ledger;
import gladelug.emulator.Promises;
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
 * The simulated world with requests in it: the core's machines, platform, configurations, weights
 * and commanders of Sim, and whole relays, an index and replicas around them, all the product's own
 * code but for links, disks and clocks. Each promise is judged in its strict form: from the instant
 * of the acknowledgement nothing leaves for a replica under what was before. A window that chance
 * seldom meets is held open by name: something happens between two steps of one request.
 */
public final class RequestSimulation extends Simulation {
  /**
   * Where a request is: asking the index, opening a connection, on the wire to its replica, between
   * pieces.
   */
  enum RequestPoint {
    LOOKUP,
    OPEN,
    HANDED,
    STREAM
  }

  /** What may happen there. */
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

  static final Promises.Graces STRICT = new Promises.Graces(0, 0, 15_400, 0, 0);
  static final String[] TENANTS = {"one", "two", "walled"};
  private static final int WEIGHT_CUTOFF_MS = 15_000;
  private static final long MAX_SURPLUS_DELAY_MS = 150;

  final Ledger ledger = new Ledger();
  final Promises promises = new Promises();
  final Map<String, SimReplica> replicas = new LinkedHashMap<>();
  final Map<String, SimReplica> byAddress = new HashMap<>();
  final Map<String, RequestRelay> requestRelays = new LinkedHashMap<>();
  private final Map<String, String> listedStates = new LinkedHashMap<>();
  private final Map<String, WeightRollout> rollouts = new HashMap<>();
  private final Map<String, Configuration> parsedConfigurations = new HashMap<>();
  private boolean platformSilent;

  /**
   * Rules switched off, to see that what they prevent is found: the check of connections, and who
   * may command.
   */
  boolean identityUnchecked;

  boolean anyMemberCommands;
  final ConfigurationOperator operator = new ConfigurationOperator(this);
  // the window that is to be held open
  InjectedEvent armedEvent;
  RequestPoint armedPoint;
  private String heldRequestTag;
  private long armedAtMs = Long.MAX_VALUE;
  long heldAtMs = -1;
  final SimIndex index;
  private int sentCount;
  double requestsPerSecond = 40;

  /** How often what the judges are to look at came about. */
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
    for (RequestRelay r : requestRelays.values()) r.start();
    after(100, index::poll);
    run(2500);
    operator.sendConfiguration(newReplica -> {});
    run(500);
    operator.assignWeights(newReplica -> {});
    run(1500);
    for (String kind : new String[] {"ask", "again", "stop"}) startCallers(kind);
  }

  private SimReplica addReplica(String service, String name, String host, boolean model) {
    SimReplica replica =
        new SimReplica(this, service, name, new Address(host, 9), model, model ? "w0" : "");
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
   * The platform's word is learned when its next answer is given; here, strictly, when the core
   * acknowledges it.
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
      Map<String, String> onAnswer = new LinkedHashMap<>(listedStates);
      if (Replicas.parse(platformListJson()) instanceof Result.Good<Replicas> good) {
        byte[] newValue = good.value().toJson().getBytes(StandardCharsets.UTF_8);
        var storedValue = control.node.storedValue(StateKeys.REPLICAS);
        if (storedValue.getKey() == 0 || !Arrays.equals(storedValue.getValue(), newValue)) {
          long sentAtMs = nowMs();
          List<Promises.Told> facts = new ArrayList<>();
          for (String r : replicas.keySet())
            facts.add(promises.sent("replica " + r, onAnswer.getOrDefault(r, "gone"), sentAtMs));
          control.node.change(
              StateKeys.REPLICAS,
              storedValue.getKey(),
              newValue,
              result -> recordAnswer(facts, result));
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
    for (Replicas.Replica r : rollout.rolloutTargets()) {
      String key = StateKeys.REPLICA_CONTROLLER_PREFIX + r.instance();
      control.node.ensureKey(key);
      SimReplica replica = replicaAt(r.address().toString());
      if (replica == null || !replica.isAnswering() || !replica.instance.equals(r.instance()))
        continue;
      int list = control.processNumber;
      transmit(
          replica.instance,
          control.name,
          () ->
              control.run(
                  () -> {
                    if (list != control.processNumber) return;
                    rollout.onReported(
                        r, r.service(), replica.currentWeights(), replica.isLoading(), nowMs());
                    WeightRollout.WeightAssignment assignment = rollout.nextAssignment(r, nowMs());
                    if (assignment == null || !anyMemberCommands && !control.node.mayCommand(key))
                      return;
                    rollout.onOrderSent(r, assignment, nowMs());
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

  /** What became of something that was told. */
  void recordAnswer(List<Promises.Told> facts, ChangeResult result) {
    if (result instanceof ChangeResult.Unknown) return;
    for (Promises.Told fact : facts)
      promises.answered(fact, result instanceof ChangeResult.Acknowledged ? nowMs() : -1);
  }

  // ---- callers

  private void startCallers(String kind) {
    after(
        1 + (long) (-Math.log(1 - random.nextDouble()) * 3000 / requestsPerSecond),
        () -> {
          String fact = TENANTS[random.nextInt(TENANTS.length)];
          String tag = kind + "-" + fact + "-" + sentCount++;
          String prompt =
              ("Told of " + kind + " to all and at length " + random.nextInt(3)).repeat(3) + tag;
          List<RequestRelay> statuses = new ArrayList<>(requestRelays.values());
          statuses
              .get(random.nextInt(statuses.size()))
              .send(kind, "/" + kind, fact, kind.equals("again"), prompt, tag);
          startCallers(kind);
        });
  }

  // ---- what relays ask

  void fetchLoad(
      RequestRelay relay, Replicas.Replica r, Consumer<io.vertx.core.json.JsonObject> onAnswer) {
    int list = relay.processNumber;
    SimReplica replica = replicaAt(r.address().toString());
    if (replica == null || !replica.isAnswering())
      after(
          replica == null || !replica.up ? 3 : 1000,
          () -> relay.run(list, () -> onAnswer.accept(null)));
    else
      transmit(
          relay.name,
          replica.instance,
          () -> {
            if (replica.isAnswering()) {
              io.vertx.core.json.JsonObject json = replica.loadReport();
              transmit(
                  replica.instance, relay.name, () -> relay.run(list, () -> onAnswer.accept(json)));
            }
          });
  }

  void lookup(RequestRelay relay, long[] blocks, Consumer<Lookups.LookupResult> onFound) {
    int list = relay.processNumber;
    Lookup.Response response = index.answer(blocks);
    passPoint(
        RequestPoint.LOOKUP,
        relay.name,
        () ->
            after(
                random.nextInt(8),
                () ->
                    relay.run(
                        list,
                        () ->
                            onFound.accept(
                                new Lookups.LookupResult(
                                    response.warm() ? Lookups.ANSWERED : "warming",
                                    response.matches())))));
  }

  /** The strict moment of every promise: the request leaves for its replica. */
  void onHandedOver(RequestRelay relay, String json) {
    JsonObject offender = Json.parse(json).asObject();
    if (relay.paused)
      violation(relay.name + " handed " + offender.getString("order", "") + " over while paused");
  }

  @Override
  void onUpdate(String relay, StateUpdate update) {
    if (relay.equals(SimIndex.NAME)) index.onUpdate(update);
    else if (requestRelays.containsKey(relay)) requestRelays.get(relay).onUpdate(update);
  }

  @Override
  List<String> dataPlaneNames() {
    List<String> list = new ArrayList<>();
    if (requestRelays != null) {
      list.addAll(requestRelays.keySet());
      list.addAll(replicas.keySet());
      list.add(SimIndex.NAME);
    }
    return list;
  }

  // ---- windows held open

  /**
   * From now on, the first request that passes the point is held there until the happening has been
   * acknowledged.
   */
  void arm(InjectedEvent event, RequestPoint point) {
    armedEvent = event;
    armedPoint = point;
    armedAtMs = nowMs();
    heldAtMs = -1;
  }

  /** A request passes a point: it goes on at once, or is held there. */
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
    List<SimReplica> list =
        replicas.values().stream()
            .filter(
                replica ->
                    replica.isModel
                        && replica.up
                        && "ready".equals(listedStates.get(replica.instance)))
            .toList();
    return list.isEmpty() ? replicas.get("m1") : list.get(random.nextInt(list.size()));
  }

  void crash(SimReplica replica) {
    replica.crash();
    for (RequestRelay relay : requestRelays.values()) relay.onReplicaCrashed(replica);
  }

  /**
   * Nothing comes through between a replica and the relays for a while, and nobody is told; what
   * was sent meanwhile arrives afterwards.
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
        for (SimReplica r : replicas.values())
          for (RequestRelay relay : requestRelays.values()) relay.resetConnections(r);
        whenDone.accept(true);
      }
      case LINKS_SILENT -> {
        silenceReplica(randomModelReplica());
        whenDone.accept(true);
      }
      case ANSWERS_REPEATED -> {
        for (SimReplica r : replicas.values()) r.answerRepeatRate = 0.5;
        whenDone.accept(true);
      }
      case ANSWERS_REPEATED_LATE -> {
        for (SimReplica r : replicas.values()) {
          r.answerRepeatRate = 0.5;
          r.maxRepeatDelayMs = MAX_SURPLUS_DELAY_MS;
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
        // the machine dies and its address is given to a replica of another service
        SimReplica old = replicas.get("m2");
        crash(old);
        SimReplica newReplica =
            new SimReplica(this, "ghost", "g" + nowMs(), old.address, true, old.weights);
        byAddress.put(old.address.toString(), newReplica);
        after(100, () -> whenDone.accept(true));
      }
    }
  }

  /** All is well again. */
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
    for (RequestRelay r : requestRelays.values()) {
      if (!r.up) r.start();
      if (r.paused) r.resume();
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

  // ---- what must never be

  void checkRules() {
    for (Judge.Finding relay : Judge.all(ledger))
      for (String offender : relay.offenders()) violation(relay.rule() + ": " + offender);
    promises
        .judge(ledger, STRICT)
        .forEach((kind, v) -> v.forEach(offender -> violation(kind + ": " + offender)));
    int restarts = requestRelays.values().stream().mapToInt(r -> r.restartCount).sum();
    Judge.secondTries(ledger, 0.2, 3 * requestRelays.size() + restarts)
        .forEach(offender -> violation("second tries: " + offender));
    for (Ledger.Call control : ledger.calls.values())
      if (control.done < 0) violation(control.tag + " was never answered");
    index.checkEntries();
  }

  int completeCount() {
    return (int) requestRelays.values().stream().mapToLong(relay -> relay.completeCount).sum();
  }

  /** Whatever the seed brings next. */
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
        for (SimControlMachine newReplica : controls.values()) newReplica.cutPower();
      }
      case 15 -> split(Set.of(control.name, relay.name));
      default -> {
        InjectedEvent[] events = InjectedEvent.values();
        trigger(events[random.nextInt(events.length)], newReplica -> {});
      }
    }
  }
}

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
 * The simulated world with requests in it: the core's machines, platform, configurations, weights
 * and commanders of Sim, and whole relays, an index and replicas around them, all the product's own
 * code but for links, disks and clocks. Each promise is judged in its strict form: from the instant
 * of the acknowledgement nothing leaves for a replica under what was before. A window that chance
 * seldom meets is held open by name: something happens between two steps of one request.
 */
public final class RequestSim extends Sim {
  /**
   * Where a request is: asking the index, opening a connection, on the wire to its replica, between
   * pieces.
   */
  enum Point {
    LOOKUP,
    OPEN,
    HANDED,
    STREAM
  }

  /** What may happen there. */
  enum Happening {
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
  private static final int CUTOFF = 15_000;
  private static final long LATEST_SURPLUS_MS = 150;

  final Ledger ledger = new Ledger();
  final TimedGuarantees promises = new TimedGuarantees();
  final Map<String, SimReplica> replicas = new LinkedHashMap<>();
  final Map<String, SimReplica> byAddress = new HashMap<>();
  final Map<String, RequestRelay> fronts = new LinkedHashMap<>();
  private final Map<String, String> listed = new LinkedHashMap<>();
  private final Map<String, WeightRollout> steering = new HashMap<>();
  private final Map<String, Configuration> divided = new HashMap<>();
  private boolean platformSilent;

  /**
   * Rules switched off, to see that what they prevent is found: the check of connections, and who
   * may command.
   */
  boolean unchecked;

  boolean anybodyCommands;
  final SimOperator operator = new SimOperator(this);
  // the window that is to be held open
  Happening happening;
  Point point;
  private String heldRequest;
  private long armedAt = Long.MAX_VALUE;
  long met = -1;
  final SimIndex index;
  private int sent;
  double perSecond = 40;

  /** How often what the judges are to look at came about. */
  final Map<Met, Integer> counts = new EnumMap<>(Met.class);

  RequestSim(long seed) {
    super(seed, 0);
    for (int i = 1; i <= 3; i++) fronts.put("r" + i, new RequestRelay(this, "r" + i));
    replica("m", "m1", "10.1.0.1", true);
    replica("m", "m2", "10.1.0.2", true);
    replica("m", "m3", "10.1.0.3", true);
    replica("m", "m9", "10.1.9.9", true);
    replica("n", "n1", "10.1.0.4", true);
    replica("app", "a1", "10.1.0.5", false);
    replica("app-two", "b1", "10.1.0.6", false);
    index = new SimIndex(this);
    for (RequestRelay r : fronts.values()) r.start();
    after(100, index::round);
    run(2500);
    operator.sendConfiguration(x -> {});
    run(500);
    operator.nameWeights(x -> {});
    run(1500);
    for (String k : new String[] {"ask", "again", "stop"}) callers(k);
  }

  private SimReplica replica(String service, String name, String host, boolean model) {
    SimReplica replica =
        new SimReplica(this, service, name, new Address(host, 9), model, model ? "w0" : "");
    replicas.put(name, replica);
    byAddress.put(replica.address.toString(), replica);
    list(name, "ready");
    return replica;
  }

  void count(Met what) {
    counts.merge(what, 1, Integer::sum);
  }

  SimReplica at(String address) {
    return byAddress.get(address);
  }

  // ---- platform

  /**
   * The platform's word is learned when its next answer is given; here, strictly, when the core
   * acknowledges it.
   */
  void list(String instance, String state) {
    if (state.isEmpty()) listed.remove(instance);
    else listed.put(instance, state);
  }

  private String platform() {
    JsonArray array = new JsonArray();
    listed.forEach(
        (n, text) -> {
          SimReplica replica = replicas.get(n);
          array.add(
              Json.object()
                  .add("service", replica.service)
                  .add("instance", n)
                  .add("address", replica.address.toString())
                  .add("domain", "z")
                  .add("state", text));
        });
    return Json.object().add("replicas", array).toString();
  }

  @Override
  void duty(SimControl control) {
    if (control.node == null || !control.node.isInitialized()) return;
    if (control.node.owns(StateKeys.REPLICAS) && !platformSilent) {
      Map<String, String> told = new LinkedHashMap<>(listed);
      if (Replicas.parse(platform()) instanceof Result.Good<Replicas> g) {
        byte[] now = g.value().toJson().getBytes(StandardCharsets.UTF_8);
        var kept = control.node.storedValue(StateKeys.REPLICAS);
        if (kept.getKey() == 0 || !Arrays.equals(kept.getValue(), now)) {
          long at = now();
          List<TimedGuarantees.Change> ts = new ArrayList<>();
          for (String r : replicas.keySet())
            ts.add(promises.recordSent("replica " + r, told.getOrDefault(r, "gone"), at));
          control.node.change(
              StateKeys.REPLICAS, kept.getKey(), now, result -> answered(ts, result));
        }
      }
    }
    WeightRollout s = steering.computeIfAbsent(control.name, n -> new WeightRollout(CUTOFF));
    s.updateInputs(
        new WeightRollout.RolloutInputs(
            control.node.storedValue(StateKeys.REPLICAS).getValue(),
            control.node.storedValue(StateKeys.WEIGHTS).getValue(),
            control.node.storedValue(StateKeys.CONFIGURATION).getValue(),
            control.node.knownAgeMs(StateKeys.WEIGHTS)));
    for (Replicas.Replica r : s.rolloutTargets()) {
      String key = StateKeys.REPLICA_CONTROLLER_PREFIX + r.instance();
      control.node.ensureKey(key);
      SimReplica replica = at(r.address().toString());
      if (replica == null || !replica.answers() || !replica.instance.equals(r.instance())) continue;
      int l = control.life;
      carry(
          replica.instance,
          control.name,
          () ->
              control.run(
                  () -> {
                    if (l != control.life) return;
                    s.onReported(r, r.service(), replica.runs(), replica.isLoading(), now());
                    WeightRollout.WeightAssignment want = s.nextAssignment(r, now());
                    if (want == null || !anybodyCommands && !control.node.mayCommand(key)) return;
                    s.onOrderSent(r, want, now());
                    long e = control.node.epochOf(key);
                    observer.sentText(
                        now(), control.name, replica.instance, e + " " + want.weights());
                    carry(
                        control.name,
                        replica.instance,
                        () -> replica.steer(control.name, e, want.weights()));
                    say(
                        control.name,
                        "steers " + replica.instance + " to " + want.weights() + " under " + e);
                  }));
    }
  }

  @Override
  OwnerTasks duties() {
    ControlOwnerTasks tasks = new ControlOwnerTasks(Configuration::parse);
    return new OwnerTasks() {
      @Override
      public PrefixSharing prefixSharing(String key, VersionedValue before, byte[] after) {
        return tasks.prefixSharing(key, before, after);
      }

      @Override
      public Map<String, List<StateUpdate.CapacityGrant>> allocateCapacity(
          long epoch, List<SubscriberStatus> rs, byte[] configuration) {
        return CapacityAllocation.allocate(
            epoch,
            rs,
            divided.computeIfAbsent(
                new String(configuration, StandardCharsets.UTF_8),
                text ->
                    Configuration.parse(text) instanceof Result.Good<Configuration> g
                        ? g.value()
                        : Configuration.EMPTY));
      }
    };
  }

  /** What became of something that was told. */
  void answered(List<TimedGuarantees.Change> ts, ChangeResult result) {
    if (result instanceof ChangeResult.Unknown) return;
    for (TimedGuarantees.Change t : ts)
      promises.recordAnswer(t, result instanceof ChangeResult.Acknowledged ? now() : -1);
  }

  // ---- callers

  private void callers(String kind) {
    after(
        1 + (long) (-Math.log(1 - random.nextDouble()) * 3000 / perSecond),
        () -> {
          String t = TENANTS[random.nextInt(TENANTS.length)];
          String tag = kind + "-" + t + "-" + sent++;
          String prompt =
              ("Told of " + kind + " to all and at length " + random.nextInt(3)).repeat(3) + tag;
          List<RequestRelay> rs = new ArrayList<>(fronts.values());
          rs.get(random.nextInt(rs.size()))
              .send(kind, "/" + kind, t, kind.equals("again"), prompt, tag);
          callers(kind);
        });
  }

  // ---- what relays ask

  void load(RequestRelay by, Replicas.Replica r, Consumer<io.vertx.core.json.JsonObject> told) {
    int l = by.life;
    SimReplica replica = at(r.address().toString());
    if (replica == null || !replica.answers())
      after(replica == null || !replica.up ? 3 : 1000, () -> by.run(l, () -> told.accept(null)));
    else
      carry(
          by.name,
          replica.instance,
          () -> {
            if (replica.answers()) {
              io.vertx.core.json.JsonObject json = replica.load();
              carry(replica.instance, by.name, () -> by.run(l, () -> told.accept(json)));
            }
          });
  }

  void lookup(RequestRelay by, long[] blocks, Consumer<Lookups.LookupResult> found) {
    int l = by.life;
    Lookup.Response a = index.answer(blocks);
    passes(
        Point.LOOKUP,
        by.name,
        () ->
            after(
                random.nextInt(8),
                () ->
                    by.run(
                        l,
                        () ->
                            found.accept(
                                new Lookups.LookupResult(
                                    a.warm() ? Lookups.ANSWERED : "warming", a.matches())))));
  }

  /** The strict moment of every promise: the request leaves for its replica. */
  void handed(RequestRelay by, String json) {
    JsonObject o = Json.parse(json).asObject();
    if (by.paused)
      violation(by.name + " handed " + o.getString("order", "") + " over while paused");
  }

  @Override
  void told(String relay, StateUpdate update) {
    if (relay.equals(SimIndex.NAME)) index.told(update);
    else if (fronts.containsKey(relay)) fronts.get(relay).told(update);
  }

  @Override
  List<String> others() {
    List<String> l = new ArrayList<>();
    if (fronts != null) {
      l.addAll(fronts.keySet());
      l.addAll(replicas.keySet());
      l.add(SimIndex.NAME);
    }
    return l;
  }

  // ---- windows held open

  /**
   * From now on, the first request that passes the point is held there until the happening has been
   * acknowledged.
   */
  void arm(Happening h, Point p) {
    happening = h;
    point = p;
    armedAt = now();
    met = -1;
  }

  /** A request passes a point: it goes on at once, or is held there. */
  void passes(Point p, String who, Runnable goOn) {
    if (p != point || met >= 0 || now() < armedAt) {
      goOn.run();
      return;
    }
    met = now();
    say("order", who + " is held at " + p + " while " + happening);
    heldRequest = who;
    boolean[] gone = {false};
    Consumer<Boolean> then =
        ok ->
            after(
                random.nextInt(20),
                () -> {
                  if (gone[0]) return;
                  gone[0] = true;
                  goOn.run();
                });
    after(2600, () -> then.accept(false));
    happen(happening, then);
  }

  private SimReplica someModel() {
    List<SimReplica> l =
        replicas.values().stream()
            .filter(
                replica ->
                    replica.model && replica.up && "ready".equals(listed.get(replica.instance)))
            .toList();
    return l.isEmpty() ? replicas.get("m1") : l.get(random.nextInt(l.size()));
  }

  void crash(SimReplica replica) {
    replica.crash();
    for (RequestRelay f : fronts.values()) f.broke(replica);
  }

  /**
   * Nothing comes through between a replica and the relays for a while, and nobody is told; what
   * was sent meanwhile arrives afterwards.
   */
  private void silence(SimReplica replica) {
    for (String f : fronts.keySet()) {
      cut(f, replica.instance);
      cut(replica.instance, f);
    }
    after(500 + random.nextInt(4000), () -> heal(replica.instance));
  }

  void happen(Happening h, Consumer<Boolean> then) {
    switch (h) {
      case CONFIGURATION_MOVES -> operator.moveServices(then);
      case KEY_REVOKED -> operator.revokeKey(then);
      case WALL_RAISED -> operator.raiseWall(then);
      case REPLICA_LEAVES -> {
        list(someModel().instance, random.nextBoolean() ? "leaving" : "");
        after(1200, () -> then.accept(true));
      }
      case WEIGHTS_NAMED -> operator.nameWeights(then);
      case OWNER_DIES -> {
        for (SimControl control : controls.values())
          if (control.up
              && control.node.isInitialized()
              && control.node.owns(StateKeys.CONFIGURATION)) control.power();
        operator.moveApplication(then);
      }
      case REPLICA_CRASHES -> {
        crash(someModel());
        then.accept(true);
      }
      case REPLICA_VANISHES -> {
        someModel().vanished = true;
        then.accept(true);
      }
      case RELAY_CUT_FROM_CORE -> {
        for (String f : fronts.keySet())
          for (String c : controlNames()) {
            cut(f, c);
            cut(c, f);
          }
        operator.moveApplication(then);
      }
      case CONNECTIONS_RESET -> {
        for (SimReplica r : replicas.values())
          for (RequestRelay f : fronts.values()) f.resetConnections(r);
        then.accept(true);
      }
      case LINKS_SILENT -> {
        silence(someModel());
        then.accept(true);
      }
      case ANSWERS_REPEATED -> {
        for (SimReplica r : replicas.values()) r.repeatsAnswers = 0.5;
        then.accept(true);
      }
      case ANSWERS_REPEATED_LATE -> {
        for (SimReplica r : replicas.values()) {
          r.repeatsAnswers = 0.5;
          r.repeatsWithinMs = LATEST_SURPLUS_MS;
        }
        then.accept(true);
      }
      case CALLER_LEAVES -> {
        RequestRelay relay = fronts.get(heldRequest);
        if (relay != null) relay.lastCallerLeaves();
        else for (RequestRelay f : fronts.values()) f.callerLeaves(heldRequest);
        then.accept(true);
      }
      default -> {
        // the machine dies and its address is given to a replica of another service
        SimReplica old = replicas.get("m2");
        crash(old);
        SimReplica x = new SimReplica(this, "ghost", "g" + now(), old.address, true, old.weights);
        byAddress.put(old.address.toString(), x);
        after(100, () -> then.accept(true));
      }
    }
  }

  /** All is well again. */
  void mend() {
    healAll();
    platformSilent = false;
    for (SimControl control : controls.values()) {
      control.medium.stalled = false;
      if (!control.up) control.start();
      else {
        control.medium.go(this, control);
        if (control.paused) control.wake();
      }
    }
    for (RequestRelay r : fronts.values()) {
      if (!r.up) r.start();
      if (r.paused) r.wake();
    }
    index.loseEvents = index.delayEvents = 0;
    for (SimReplica replica : replicas.values()) {
      replica.hung = replica.vanished = replica.lateBytes = replica.neverLoads = false;
      replica.notRun = replica.cutStreams = replica.repeatsAnswers = 0;
      replica.repeatsWithinMs = 1;
      byAddress.put(replica.address.toString(), replica);
      replica.start(operator.weightsNamedOrBefore());
      list(replica.instance, "ready");
    }
  }

  // ---- what must never be

  void judge() {
    for (LedgerChecker.Finding f : LedgerChecker.checkAll(ledger))
      for (String o : f.offenders()) violation(f.rule() + ": " + o);
    promises.check(ledger, STRICT).forEach((k, v) -> v.forEach(o -> violation(k + ": " + o)));
    int restarts = fronts.values().stream().mapToInt(r -> r.restarts).sum();
    LedgerChecker.findRetryExcess(ledger, 0.2, 3 * fronts.size() + restarts)
        .forEach(o -> violation("second tries: " + o));
    for (Ledger.Call c : ledger.calls.values())
      if (c.doneMs < 0) violation(c.tag + " was never answered");
    index.judge();
  }

  int complete() {
    return (int) fronts.values().stream().mapToLong(f -> f.complete).sum();
  }

  /** Whatever the seed brings next. */
  void step() {
    List<String> cs = controlNames();
    SimControl c = controls.get(cs.get(random.nextInt(cs.size())));
    RequestRelay f = fronts.get("r" + (1 + random.nextInt(fronts.size())));
    SimReplica replica = someModel();
    switch (random.nextInt(18)) {
      case 0 -> c.power();
      case 1 -> cutOff(c.name);
      case 2 -> c.pause();
      case 3 -> {
        f.kill();
        f.start();
      }
      case 4 -> f.paused = true;
      case 5 -> cutOff(f.name);
      case 6 -> {
        cut(f.name, replica.instance);
        if (random.nextBoolean()) cut(replica.instance, f.name);
      }
      case 7 -> replica.hung = true;
      case 8 -> replica.notRun = random.nextBoolean() ? 1 : 0.4;
      case 9 -> replica.cutStreams = 0.2;
      case 10 -> replica.lateBytes = true;
      case 11 -> {
        index.loseEvents = 0.1;
        index.delayEvents = 0.3;
      }
      case 12 -> platformSilent = true;
      case 13 -> replica.neverLoads = true;
      case 14 -> {
        for (SimControl x : controls.values()) x.power();
      }
      case 15 -> split(Set.of(c.name, f.name));
      default -> {
        Happening[] hs = Happening.values();
        happen(hs[random.nextInt(hs.length)], x -> {});
      }
    }
  }
}

package gladelug.emulator.sim;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Weights;
import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeResult;
import gladelug.emulator.TimedGuarantees;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The operator of the simulated world with requests: what it means at present, and its changes. One
 * that was not taken stays meant and goes out with the next.
 */
final class SimOperator {
  private final RequestSim sim;
  private String application = "app";
  private String again = "m";
  private final Set<String> revoked = new HashSet<>();
  private final Set<String> walls = new HashSet<>(Set.of("walled"));

  /** Tenants that aren't configured at present. */
  private final Set<String> removed = new HashSet<>();

  private boolean narrow;
  private int weights;

  /** Makes each configuration another than those before. */
  private int marker;

  SimOperator(RequestSim sim) {
    this.sim = sim;
  }

  /** Sends the configuration as it is meant at present. */
  void sendConfiguration(Consumer<Boolean> done) {
    send(StateKeys.CONFIGURATION, -1, configuration(), done);
  }

  /** Moves two routes to other services, and perhaps narrows what a service allows. */
  void moveServices(Consumer<Boolean> done) {
    change(
        () -> {
          application = otherApplication();
          again = again.equals("m") ? "n" : "m";
          narrow = sim.random.nextBoolean();
        },
        done);
  }

  void moveApplication(Consumer<Boolean> done) {
    change(() -> application = otherApplication(), done);
  }

  private String otherApplication() {
    return application.equals("app") ? "app-two" : "app";
  }

  /** How many tenants have a key by the configuration that was sent last. */
  int tenantsWithKeys() {
    int tenants = 0;
    for (String tenant : RequestSim.TENANTS) if (holdsKey(tenant)) tenants++;
    return tenants;
  }

  private boolean holdsKey(String tenant) {
    return !revoked.contains(tenant) && !removed.contains(tenant);
  }

  /** Takes the key from one tenant and gives back all others theirs. */
  void revokeKey(Consumer<Boolean> done) {
    change(
        () -> {
          revoked.clear();
          revoked.add(RequestSim.TENANTS[sim.random.nextInt(RequestSim.TENANTS.length)]);
        },
        done);
  }

  /** Isolates a tenant, or no longer; two in turn, or one that was away meanwhile. */
  void raiseWall(Consumer<Boolean> done) {
    change(
        () -> {
          switch (sim.random.nextInt(4)) {
            case 0 -> {
              toggle(walls, "one");
              toggle(walls, "walled");
            }
            case 1 -> {
              toggle(removed, "two");
              if (!removed.contains("two") && sim.random.nextBoolean()) toggle(walls, "two");
            }
            default -> toggle(walls, "one");
          }
        },
        done);
  }

  private static void toggle(Set<String> names, String name) {
    if (!names.remove(name)) names.add(name);
  }

  /** Weights that a replica may boot with. */
  String weightsNamedOrBefore() {
    return "w" + (sim.random.nextBoolean() ? weights : Math.max(1, weights - 1));
  }

  private String configuration() {
    JsonArray ts = new JsonArray();
    for (String t : RequestSim.TENANTS) {
      if (removed.contains(t)) continue;
      JsonArray ks = new JsonArray();
      if (!revoked.contains(t)) ks.add("sha256:" + Configuration.hashKey("key-of-" + t));
      ts.add(
          Json.object()
              .add("name", t)
              .add("keys", ks)
              .add("weight", t.length())
              .add("isolated", walls.contains(t)));
    }
    JsonArray ss = new JsonArray();
    for (String text : new String[] {"m", "n"})
      ss.add(
          Json.object()
              .add("name", text)
              .add("allow", Json.array(narrow ? "10.1.0.0/24" : "10.1.0.0/16")));
    for (String text : new String[] {"app", "app-two"})
      ss.add(
          Json.object()
              .add("name", text)
              .add("kind", "application")
              .add("allow", Json.array("10.1.0.0/24")));
    JsonArray ms = new JsonArray();
    ms.add(
        Json.object()
            .add("name", "ask")
            .add("path", "/ask")
            .add("service", "m")
            .add("expiryMs", 3000));
    ms.add(
        Json.object()
            .add("name", "again")
            .add("path", "/again")
            .add("service", again)
            .add("expiryMs", 3000)
            .add("repeatable", true));
    ms.add(
        Json.object()
            .add("name", "stop")
            .add("path", "/stop")
            .add("service", application)
            .add("expiryMs", 2000 + ++marker % 500));
    return Json.object().add("services", ss).add("mappings", ms).add("tenants", ts).toString();
  }

  private void send(String key, long match, String body, Consumer<Boolean> done) {
    List<SimControl> ready =
        sim.controls.values().stream()
            .filter(control -> control.up && !control.paused && control.node.isInitialized())
            .toList();
    if (ready.isEmpty()) {
      done.accept(false);
      return;
    }
    Map<String, String> means = new TreeMap<>();
    if (key.equals(StateKeys.CONFIGURATION)) {
      means.put("mapping ask", "m");
      means.put("mapping stop", application);
      means.put("mapping again", again);
      for (String t : RequestSim.TENANTS) {
        means.put("tenant " + t, holdsKey(t) ? "good" : "revoked");
        means.put("wall " + t, walls.contains(t) && !removed.contains(t) ? t : "");
      }
      means.put("allowed m9", narrow ? "no" : "yes");
    } else means.put("weights", "w" + weights);
    long at = sim.now();
    List<TimedGuarantees.Change> ts = new ArrayList<>();
    means.forEach((k, m) -> ts.add(sim.promises.recordSent(k, m, at)));
    boolean[] once = {false};
    ready
        .get(sim.random.nextInt(ready.size()))
        .propose(
            key,
            match,
            body.getBytes(StandardCharsets.UTF_8),
            result -> {
              if (once[0]) return;
              once[0] = true;
              boolean taken = result instanceof ChangeResult.Acknowledged;
              sim.say("op", key + " " + means + ": " + result);
              sim.answered(ts, result);
              done.accept(taken);
            });
  }

  /**
   * Sends a configuration that was changed somehow; if it was not taken, the operator's wish stays
   * and goes out with the next.
   */
  private void change(Runnable how, Consumer<Boolean> done) {
    how.run();
    sendConfiguration(done);
  }

  /** Names the next weights of both models. */
  void nameWeights(Consumer<Boolean> done) {
    SimControl control = sim.controls.get(sim.anyUp());
    if (control.node == null || !control.node.isInitialized()) {
      done.accept(false);
      return;
    }
    var kept = control.node.storedValue(StateKeys.WEIGHTS);
    Weights w =
        kept.getKey() == 0
            ? Weights.NONE
            : Weights.parse(new String(kept.getValue(), StandardCharsets.UTF_8))
                    instanceof Result.Good<Weights> g
                ? g.value()
                : Weights.NONE;
    weights++;
    for (String text : new String[] {"m", "n"})
      w = w.withAssignment(text, "w" + weights, kept.getKey() + 1);
    send(StateKeys.WEIGHTS, kept.getKey(), w.toJson(), done);
  }
}

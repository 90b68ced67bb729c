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
 * The operator of the simulation with requests: the configuration it intends at present, and its
 * changes. A change that was not acknowledged stays intended and goes out with the next one.
 */
final class ConfigurationOperator {
  private final RequestSimulation sim;
  private String applicationService = "app";
  private String againService = "m";
  private final Set<String> revokedTenants = new HashSet<>();
  private final Set<String> isolatedTenants = new HashSet<>(Set.of("walled"));

  /** Tenants that are left out of the configuration at present. */
  private final Set<String> removedTenants = new HashSet<>();

  private boolean narrowAllowed;
  private int weightsNumber;

  /** Counter that makes each configuration unique. */
  private int configurationCount;

  ConfigurationOperator(RequestSimulation sim) {
    this.sim = sim;
  }

  /** Sends the configuration as it is intended at present. */
  void sendConfiguration(Consumer<Boolean> onDone) {
    send(StateKeys.CONFIGURATION, -1, configuration(), onDone);
  }

  /**
   * Moves two routes to other services, and perhaps narrows the addresses that a service allows.
   */
  void moveServices(Consumer<Boolean> onDone) {
    change(
        () -> {
          applicationService = otherApplication();
          againService = againService.equals("m") ? "n" : "m";
          narrowAllowed = sim.random.nextBoolean();
        },
        onDone);
  }

  void moveApplication(Consumer<Boolean> onDone) {
    change(() -> applicationService = otherApplication(), onDone);
  }

  private String otherApplication() {
    return applicationService.equals("app") ? "app-two" : "app";
  }

  /** Returns how many tenants have a key in the configuration sent last. */
  int tenantsWithKeys() {
    int tenants = 0;
    for (String tenant : RequestSimulation.TENANTS) if (holdsKey(tenant)) tenants++;
    return tenants;
  }

  private boolean holdsKey(String tenant) {
    return !revokedTenants.contains(tenant) && !removedTenants.contains(tenant);
  }

  /** Revokes the key of one tenant and restores those of all others. */
  void revokeKey(Consumer<Boolean> onDone) {
    change(
        () -> {
          revokedTenants.clear();
          revokedTenants.add(
              RequestSimulation.TENANTS[sim.random.nextInt(RequestSimulation.TENANTS.length)]);
        },
        onDone);
  }

  /**
   * Changes the isolation of one tenant, of two in opposite directions, or of one that is removed
   * and added back.
   */
  void changeIsolation(Consumer<Boolean> onDone) {
    change(
        () -> {
          switch (sim.random.nextInt(4)) {
            case 0 -> {
              toggle(isolatedTenants, "one");
              toggle(isolatedTenants, "walled");
            }
            case 1 -> {
              toggle(removedTenants, "two");
              if (!removedTenants.contains("two") && sim.random.nextBoolean())
                toggle(isolatedTenants, "two");
            }
            default -> toggle(isolatedTenants, "one");
          }
        },
        onDone);
  }

  private static void toggle(Set<String> names, String name) {
    if (!names.remove(name)) names.add(name);
  }

  /** Returns weights that a replica may start with: the current or the previous ones. */
  String currentOrPreviousWeights() {
    return "w" + (sim.random.nextBoolean() ? weightsNumber : Math.max(1, weightsNumber - 1));
  }

  private String configuration() {
    JsonArray tenants = new JsonArray();
    for (String tenant : RequestSimulation.TENANTS) {
      if (removedTenants.contains(tenant)) continue;
      JsonArray keys = new JsonArray();
      if (!revokedTenants.contains(tenant))
        keys.add("sha256:" + Configuration.hashKey("key-of-" + tenant));
      tenants.add(
          Json.object()
              .add("name", tenant)
              .add("keys", keys)
              .add("weight", tenant.length())
              .add("isolated", isolatedTenants.contains(tenant)));
    }
    JsonArray services = new JsonArray();
    for (String service : new String[] {"m", "n"})
      services.add(
          Json.object()
              .add("name", service)
              .add("allow", Json.array(narrowAllowed ? "10.1.0.0/24" : "10.1.0.0/16")));
    for (String service : new String[] {"app", "app-two"})
      services.add(
          Json.object()
              .add("name", service)
              .add("kind", "application")
              .add("allow", Json.array("10.1.0.0/24")));
    JsonArray mappings = new JsonArray();
    mappings.add(
        Json.object()
            .add("name", "ask")
            .add("path", "/ask")
            .add("service", "m")
            .add("expiryMs", 3000));
    mappings.add(
        Json.object()
            .add("name", "again")
            .add("path", "/again")
            .add("service", againService)
            .add("expiryMs", 3000)
            .add("repeatable", true));
    mappings.add(
        Json.object()
            .add("name", "stop")
            .add("path", "/stop")
            .add("service", applicationService)
            .add("expiryMs", 2000 + ++configurationCount % 500));
    return Json.object()
        .add("services", services)
        .add("mappings", mappings)
        .add("tenants", tenants)
        .toString();
  }

  private void send(String key, long requiredNumber, String body, Consumer<Boolean> onDone) {
    List<SimControlMachine> ready =
        sim.controls.values().stream()
            .filter(control -> control.up && !control.paused && control.node.isInitialized())
            .toList();
    if (ready.isEmpty()) {
      onDone.accept(false);
      return;
    }
    Map<String, String> expected = new TreeMap<>();
    if (key.equals(StateKeys.CONFIGURATION)) {
      expected.put("mapping ask", "m");
      expected.put("mapping stop", applicationService);
      expected.put("mapping again", againService);
      for (String tenant : RequestSimulation.TENANTS) {
        expected.put("tenant " + tenant, holdsKey(tenant) ? "good" : "revoked");
        expected.put(
            "wall " + tenant,
            isolatedTenants.contains(tenant) && !removedTenants.contains(tenant) ? tenant : "");
      }
      expected.put("allowed m9", narrowAllowed ? "no" : "yes");
    } else expected.put("weights", "w" + weightsNumber);
    long sentAtMs = sim.nowMs();
    List<TimedGuarantees.Change> facts = new ArrayList<>();
    expected.forEach(
        (subject, meaning) -> facts.add(sim.promises.recordSent(subject, meaning, sentAtMs)));
    boolean[] answered = {false};
    ready
        .get(sim.random.nextInt(ready.size()))
        .propose(
            key,
            requiredNumber,
            body.getBytes(StandardCharsets.UTF_8),
            result -> {
              if (answered[0]) return;
              answered[0] = true;
              boolean acknowledged = result instanceof ChangeResult.Acknowledged;
              sim.log("op", key + " " + expected + ": " + result);
              sim.recordAnswer(facts, result);
              onDone.accept(acknowledged);
            });
  }

  /**
   * Applies an edit and sends the configuration. If it is not acknowledged, the edit stays and goes
   * out with the next change.
   */
  private void change(Runnable edit, Consumer<Boolean> onDone) {
    edit.run();
    sendConfiguration(onDone);
  }

  /** Assigns the next weights to both models. */
  void assignWeights(Consumer<Boolean> onDone) {
    SimControlMachine control = sim.controls.get(sim.anyRunning());
    if (control.node == null || !control.node.isInitialized()) {
      onDone.accept(false);
      return;
    }
    var stored = control.node.storedValue(StateKeys.WEIGHTS);
    Weights newWeights =
        stored.getKey() == 0
            ? Weights.NONE
            : Weights.parse(new String(stored.getValue(), StandardCharsets.UTF_8))
                    instanceof Result.Good<Weights> good
                ? good.value()
                : Weights.NONE;
    weightsNumber++;
    for (String service : new String[] {"m", "n"})
      newWeights = newWeights.withAssignment(service, "w" + weightsNumber, stored.getKey() + 1);
    send(StateKeys.WEIGHTS, stored.getKey(), newWeights.toJson(), onDone);
  }
}

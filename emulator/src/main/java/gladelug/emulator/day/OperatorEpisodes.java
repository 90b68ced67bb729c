package gladelug.emulator.day;

import com.eclipsesource.json.JsonObject;
import gladelug.common.message.StateKeys;
import gladelug.emulator.Fleet;
import gladelug.emulator.StandInReplica;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Operator actions at critical moments: set weights twice, revoke keys, race, move services, grow
 * the configuration, and swap members of the core.
 */
final class OperatorEpisodes {
  /** The key whose owner commands the first replica. */
  private static final String REPLICA_KEY = StateKeys.replicaControllerKey("replica-1");

  private static final long BETWEEN_WEIGHT_CHANGES_MS = 1500;
  private static final long LOAD_TIMEOUT_MS = 30_000;
  private static final long SWAP_START_TIMEOUT_MS = 20_000;
  private static final long JOIN_TIMEOUT_MS = 30_000;
  private static final int EXTRA_ROUTES = 3000;

  private final DayFleet machines;
  private final DayOperator operator;
  private final List<String> racesWonTwice = new ArrayList<>();
  private String killedCommander = "";
  private String swappedIn;
  private String swappedOut;

  OperatorEpisodes(DayFleet machines, DayOperator operator) {
    this.machines = machines;
    this.operator = operator;
  }

  /** Returns the races in which both operators were confirmed on the same configuration number. */
  List<String> racesWonTwice() {
    return racesWonTwice;
  }

  List<Episode> episodes() {
    List<Episode> episodes =
        new ArrayList<>(
            List.of(
                Episode.of(
                    "new weights are set, and possibly others during the rollout",
                    this::changeWeightsTwice,
                    this::awaitWeightsLoaded),
                Episode.of(
                    "a key is revoked while its callers are connected",
                    () -> revoke(List.of(machines.fleet.deployment.tenants().get(1).name())),
                    () -> revoke(List.of())),
                Episode.atOnce("two operators send conflicting configurations at once", this::race),
                Episode.atOnce(
                    "the application moves to its second service",
                    () -> {
                      operator.moveApplication();
                      operator.send();
                    })));
    if (machines.fleet.deployment.name().equals("safari-njia")) {
      episodes.add(Episode.atOnce("the configuration grows by 3000 routes", this::grow));
      episodes.add(
          Episode.of("a core machine is swapped for another", this::beginSwap, this::endSwap));
    }
    return episodes;
  }

  private void changeWeightsTwice() {
    operator.setNextWeights();
    Fleet.pause(BETWEEN_WEIGHT_CHANGES_MS);
    if (machines.random.nextBoolean()) operator.setNextWeights();
    killedCommander = machines.random.nextBoolean() ? machines.ownerOf(REPLICA_KEY) : "";
    if (!killedCommander.isEmpty()) machines.kill(killedCommander);
  }

  private void awaitWeightsLoaded() throws Exception {
    if (!killedCommander.isEmpty()) machines.restart(killedCommander);
    Fleet.waitUntil(
        "every replica runs " + operator.currentWeights(),
        LOAD_TIMEOUT_MS,
        () ->
            machines.fleet.replicas.values().stream()
                .filter(replica -> replica.kind == StandInReplica.Kind.MODEL)
                .allMatch(replica -> replica.weights().equals(operator.currentWeights())));
  }

  private void revoke(List<String> tenants) {
    operator.revokedTenants = tenants;
    operator.send();
  }

  private void grow() {
    operator.extraRoutes += EXTRA_ROUTES;
    operator.send();
  }

  /** Sends two configurations at once on the same number; at most one may be confirmed. */
  private void race() throws InterruptedException {
    Fleet.Answer shown = machines.fleet.call("GET", "/v1/configuration", null, Map.of());
    long number = shown.body().getLong("number", -1);
    Fleet.Answer[] answers = new Fleet.Answer[2];
    Thread[] threads = new Thread[answers.length];
    for (int i = 0; i < answers.length; i++) {
      int operatorNumber = i;
      JsonObject configuration = operator.desiredConfiguration();
      threads[i] =
          new Thread(
              () ->
                  answers[operatorNumber] =
                      machines.fleet.sendConfiguration(configuration, Long.toString(number)));
      threads[i].start();
    }
    for (Thread thread : threads) thread.join();
    Day.printLine("race answered " + answers[0].status() + " and " + answers[1].status());
    if (answers[0].status() == 200 && answers[1].status() == 200) {
      racesWonTwice.add("both racing configurations were accepted on number " + number);
    }
  }

  private void beginSwap() throws Exception {
    int host = machines.allocateHost();
    swappedIn = "control-" + host;
    machines.fleet.addControlMachine(swappedIn, host).start();
    swappedOut = machines.randomMember();
    String swap = "{\"out\":\"" + swappedOut + "\",\"in\":\"" + swappedIn + "\"}";
    Fleet.waitUntil(
        "the swap begins",
        SWAP_START_TIMEOUT_MS,
        () -> machines.fleet.call("POST", "/v1/core/swap", swap, Map.of()).status() == 202);
  }

  private void endSwap() {
    Fleet.waitUntil(
        swappedIn + " joins the core",
        JOIN_TIMEOUT_MS,
        () -> machines.fleet.isReady(swappedIn) && machines.members().contains(swappedIn));
    machines.kill(swappedOut);
    machines.fleet.children.remove(swappedOut);
  }
}

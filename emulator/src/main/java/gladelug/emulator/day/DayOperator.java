package gladelug.emulator.day;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.emulator.Deployment;
import gladelug.emulator.Fleet;
import gladelug.emulator.StandInCallers;
import gladelug.emulator.TimedGuarantees;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator of a day: keeps what is wanted of the configuration, sends it whole, names weights,
 * and tells the judge of timed promises what was sent and acknowledged when.
 *
 * <p>What is wanted of a day's fleet, and how it is sent.
 */
final class DayOperator {
  private static final long CONFIRM_TIMEOUT_MS = 40_000;
  private static final String FIRST_APPLICATION = "application";
  private static final String SECOND_APPLICATION = "application-two";

  private final Fleet fleet;
  private final TimedGuarantees promises;
  private String lastConfiguration = "";
  private String application = FIRST_APPLICATION;
  private int weightsNumber = 1;

  /** The tenants whose keys are revoked. */
  List<String> revokedTenants = List.of();

  /** The tenants that are isolated beside the one that always is. */
  List<String> isolatedTenants = List.of();

  /** How many routes there are beside the deployment's own. */
  int extraRoutes;

  /** Whether the path of the last kind of requests is gone. */
  boolean lastPathRemoved;

  /** Whether the address of the first replica is no longer allowed. */
  boolean firstReplicaForbidden;

  DayOperator(Fleet fleet, TimedGuarantees promises) {
    this.fleet = fleet;
    this.promises = promises;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Moves the application's route to the other of its two services; sent with the next change. */
  void moveApplication() {
    application = application.equals(FIRST_APPLICATION) ? SECOND_APPLICATION : FIRST_APPLICATION;
  }

  /** The newest weights that were named. */
  String currentWeights() {
    return "w" + weightsNumber;
  }

  /** Names the next weights. */
  void setNextWeights() {
    weightsNumber++;
    TimedGuarantees.Change told = promises.recordSent("weights", currentWeights(), nowMs());
    Fleet.Answer answer = fleet.setWeights(currentWeights());
    if (answer.status() == 200) promises.recordAnswer(told, nowMs());
    Day.printLine(
        "weights "
            + currentWeights()
            + " answered "
            + answer.status()
            + (answer.status() == 200
                ? " after " + answer.body().get("waitedMs") + " ms"
                : " " + answer.body()));
  }

  /** What the configuration means at present, by the keys of promises. */
  Map<String, String> currentMeanings() {
    Deployment deployment = fleet.deployment;
    Map<String, String> meanings = new LinkedHashMap<>();
    meanings.put("mapping lookup-stop", application);
    meanings.put(
        "mapping " + deployment.lastKind().name(), lastPathRemoved ? "none" : deployment.service());
    meanings.put("allowed replica-1", firstReplicaForbidden ? "no" : "yes");
    for (StandInCallers.Tenant tenant : deployment.tenants()) {
      String name = tenant.name();
      boolean alone = name.equals(deployment.isolated()) || isolatedTenants.contains(name);
      meanings.put("tenant " + name, revokedTenants.contains(name) ? "revoked" : "good");
      meanings.put("wall " + name, alone ? name : "");
    }
    return meanings;
  }

  /** The whole configuration that is wanted, with a marker of its own. */
  JsonObject desiredConfiguration() {
    return fleet.deployment.configuration(
        new Deployment.ConfigurationOptions(
            fleet.nextMarker(),
            revokedTenants,
            application,
            extraRoutes,
            lastPathRemoved,
            isolatedTenants,
            firstReplicaForbidden));
  }

  /** Sends what is wanted in place of whatever there is; whether it was confirmed. */
  boolean send() {
    JsonObject configuration = desiredConfiguration();
    List<TimedGuarantees.Change> told = new ArrayList<>();
    currentMeanings()
        .forEach((key, meaning) -> told.add(promises.recordSent(key, meaning, nowMs())));
    Fleet.Answer answer = fleet.sendConfiguration(configuration, "*");
    if (answer.status() != 200) {
      Day.printLine("configuration answered " + answer.status() + " " + answer.body());
      return false;
    }
    lastConfiguration = configuration.toString();
    for (TimedGuarantees.Change one : told) promises.recordAnswer(one, nowMs());
    return true;
  }

  /** Sends until it is confirmed, as an operator does once the core is back. */
  void sendUntilConfirmed() {
    Fleet.waitUntil("a configuration taken", CONFIRM_TIMEOUT_MS, this::send);
  }

  /**
   * What is wrong with the configuration that the core shows; empty if it is the last confirmed.
   */
  List<String> findLostConfiguration() {
    JsonObject shown = fleet.call("GET", "/v1/configuration", null, Map.of()).body();
    if (shown.get("value").equals(Json.parse(lastConfiguration))) return List.of();
    return List.of("number " + shown.get("number") + " is not what was acknowledged last");
  }
}

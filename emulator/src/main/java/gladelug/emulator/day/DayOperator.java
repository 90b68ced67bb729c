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
 * The operator of a day: holds the desired configuration, always sends it complete, sets weights,
 * and records in {@link TimedGuarantees} when each change was sent and acknowledged.
 */
final class DayOperator {
  private static final long CONFIRM_TIMEOUT_MS = 40_000;
  private static final String FIRST_APPLICATION = "application";
  private static final String SECOND_APPLICATION = "application-two";

  private final Fleet fleet;
  private final TimedGuarantees guarantees;
  private String lastConfiguration = "";
  private String application = FIRST_APPLICATION;
  private int weightsNumber = 1;

  /** The tenants whose keys are revoked. */
  List<String> revokedTenants = List.of();

  /** The tenants that are isolated in addition to the one that always is. */
  List<String> isolatedTenants = List.of();

  /** The number of routes in addition to the deployment's own. */
  int extraRoutes;

  /** Whether the path of the last kind of requests is removed. */
  boolean lastPathRemoved;

  /** Whether the address of the first replica is no longer allowed. */
  boolean firstReplicaForbidden;

  DayOperator(Fleet fleet, TimedGuarantees guarantees) {
    this.fleet = fleet;
    this.guarantees = guarantees;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Moves the application's route to its other service; takes effect with the next send. */
  void moveApplication() {
    application = application.equals(FIRST_APPLICATION) ? SECOND_APPLICATION : FIRST_APPLICATION;
  }

  /** Returns the most recently set weights. */
  String currentWeights() {
    return "w" + weightsNumber;
  }

  /** Sets the next weights and records the outcome. */
  void setNextWeights() {
    weightsNumber++;
    TimedGuarantees.Change change = guarantees.recordSent("weights", currentWeights(), nowMs());
    Fleet.Answer answer = fleet.setWeights(currentWeights());
    if (answer.status() == 200) guarantees.recordAnswer(change, nowMs());
    Day.printLine(
        "weights "
            + currentWeights()
            + " answered "
            + answer.status()
            + (answer.status() == 200
                ? " after " + answer.body().get("waitedMs") + " ms"
                : " " + answer.body()));
  }

  /** Returns the current settings by the keys of {@link TimedGuarantees}. */
  Map<String, String> currentSettings() {
    Deployment deployment = fleet.deployment;
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("mapping lookup-stop", application);
    settings.put(
        "mapping " + deployment.lastKind().name(), lastPathRemoved ? "none" : deployment.service());
    settings.put("allowed replica-1", firstReplicaForbidden ? "no" : "yes");
    for (StandInCallers.Tenant tenant : deployment.tenants()) {
      String name = tenant.name();
      boolean isIsolated = name.equals(deployment.isolated()) || isolatedTenants.contains(name);
      settings.put("tenant " + name, revokedTenants.contains(name) ? "revoked" : "good");
      settings.put("wall " + name, isIsolated ? name : "");
    }
    return settings;
  }

  /** Returns the complete desired configuration, with a new marker. */
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

  /**
   * Replaces the configuration unconditionally by the desired one; returns whether it was
   * confirmed.
   */
  boolean send() {
    JsonObject configuration = desiredConfiguration();
    List<TimedGuarantees.Change> changes = new ArrayList<>();
    currentSettings()
        .forEach((key, setting) -> changes.add(guarantees.recordSent(key, setting, nowMs())));
    Fleet.Answer answer = fleet.sendConfiguration(configuration, "*");
    if (answer.status() != 200) {
      Day.printLine("configuration answered " + answer.status() + " " + answer.body());
      return false;
    }
    lastConfiguration = configuration.toString();
    for (TimedGuarantees.Change change : changes) guarantees.recordAnswer(change, nowMs());
    return true;
  }

  /** Resends the configuration until it is confirmed, as an operator does once the core is back. */
  void sendUntilConfirmed() {
    Fleet.waitUntil("a configuration is confirmed", CONFIRM_TIMEOUT_MS, this::send);
  }

  /**
   * Returns an error if the core does not show the last confirmed configuration, else an empty
   * list.
   */
  List<String> findLostConfiguration() {
    JsonObject shown = fleet.call("GET", "/v1/configuration", null, Map.of()).body();
    if (shown.get("value").equals(Json.parse(lastConfiguration))) return List.of();
    return List.of(
        "number " + shown.get("number") + " is not the configuration that was acknowledged last");
  }
}

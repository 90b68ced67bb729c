package gladelug.control.rollout;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.configuration.RolloutPlan;
import gladelug.common.configuration.Weights;
import gladelug.control.rollout.RolloutBatches.ReplicaProgress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Decides which replica is to load which weights now, from the listed replicas, the named weights,
 * and what each replica last reported. Weights named during a rollout become its new target. Sends
 * nothing itself; {@link ReplicaCommandSender} decides whether this process may command. Implements
 * the rule VERSION: replicas change to the named weights before the cutoff. Not thread-safe:
 * confined to its controller's context. Times are in ms of the process's monotonic clock.
 */
public final class WeightRollout {
  /** The minimum time before the same order is sent to a replica again. */
  private static final long RETRY_INTERVAL_MS = 1000;

  /** A replica that has not been observed for this long counts as unresponsive. */
  private static final long OBSERVATION_VALIDITY_MS = 1500;

  /** How long after an order the list may still show the previous weights. */
  private static final long LIST_LAG_MS = 4 * RETRY_INTERVAL_MS;

  /** The minimum time between orders for different models to the same replica. */
  private static final long ORDER_SPACING_MS = RETRY_INTERVAL_MS / 2;

  /**
   * Earlier than any time of the clock; half of Long.MIN_VALUE, so that differences with it do not
   * overflow.
   */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /**
   * The stored values of the three keys that a rollout depends on, and the age of the named
   * weights.
   *
   * @param replicas the list of replicas, JSON as stored
   * @param weights the named weights, JSON as stored
   * @param configuration the configuration as operators sent it
   * @param weightsAgeMs time since the weights were named, as far as this process knows, in ms
   */
  public record RolloutInputs(
      byte[] replicas, byte[] weights, byte[] configuration, long weightsAgeMs) {}

  /** An assignment of weights: the model and the weights that a replica is to load for it. */
  public record WeightAssignment(String model, String weights) {}

  private record ObservationKey(String instance, String model) {}

  /**
   * What is known of one model at one replica: the weights that it runs and the last order sent to
   * it.
   */
  private static final class ReplicaObservation {
    String reportedWeights = "";
    boolean loading;
    long observedAtMs = NEVER_MS;
    String orderedWeights = "";
    long orderSentAtMs = NEVER_MS;

    boolean runs(String weights) {
      return reportedWeights.equals(weights) && !loading;
    }

    /** Returns whether an order was sent whose weights the replica has not been seen to run yet. */
    boolean hasUnconfirmedOrder() {
      return !orderedWeights.isEmpty() && !reportedWeights.equals(orderedWeights);
    }
  }

  private final RolloutPlan plan;
  private final boolean strictlyTimed;
  private final Function<String, Result<Configuration>> configurationParser;
  private final Map<ObservationKey, ReplicaObservation> observations = new HashMap<>();
  private RolloutInputs inputs = new RolloutInputs(new byte[0], new byte[0], new byte[0], 0);
  private Replicas replicas = Replicas.NONE;
  private Weights weights = Weights.NONE;
  private Configuration configuration = Configuration.EMPTY;

  /**
   * Creates a rollout in three batches that parses the product's own configuration format.
   *
   * @param rolloutMs time in which all batches must have started, in ms
   */
  public WeightRollout(int rolloutMs) {
    this(RolloutPlan.thirds(rolloutMs), false, Configuration::parse);
  }

  /**
   * Creates a rollout by any plan.
   *
   * @param strictlyTimed whether no replica may start before its batch's scheduled time
   * @param configurationParser parses the configuration as operators sent it
   */
  public WeightRollout(
      RolloutPlan plan,
      boolean strictlyTimed,
      Function<String, Result<Configuration>> configurationParser) {
    this.plan = plan;
    this.strictlyTimed = strictlyTimed;
    this.configurationParser = configurationParser;
  }

  /** Updates the stored values; parses only those that are not the same array as last time. */
  public void updateInputs(RolloutInputs latest) {
    if (latest.replicas != inputs.replicas)
      replicas = valueOr(Replicas.parse(decode(latest.replicas)), Replicas.NONE);
    if (latest.weights != inputs.weights)
      weights = valueOr(Weights.parse(decode(latest.weights)), Weights.NONE);
    if (latest.configuration != inputs.configuration)
      configuration =
          valueOr(configurationParser.apply(decode(latest.configuration)), Configuration.EMPTY);
    inputs = latest;
    forgetAbsentReplicas();
  }

  private void forgetAbsentReplicas() {
    Set<String> instances =
        rolloutTargets().stream().map(Replica::instance).collect(Collectors.toSet());
    observations.keySet().removeIf(key -> !instances.contains(key.instance));
  }

  private static String decode(byte[] utf8) {
    return new String(utf8, StandardCharsets.UTF_8);
  }

  private static <T> T valueOr(Result<T> result, T fallback) {
    return result instanceof Result.Good<T> good ? good.value() : fallback;
  }

  /**
   * Returns all replicas of model services that the configuration allows, whether or not weights
   * are named for them.
   */
  public List<Replica> listedModelReplicas() {
    return replicas.all.stream().filter(this::isModelReplica).toList();
  }

  /** Returns the replicas of model services for which weights are named. */
  public List<Replica> rolloutTargets() {
    List<Replica> targets = new ArrayList<>();
    for (Replica replica : replicas.all)
      if (!rolloutModels(replica).isEmpty()) targets.add(replica);
    return targets;
  }

  private boolean isModelReplica(Replica replica) {
    Configuration.Service service = configuration.service(replica.service());
    return service != null
        && service.kind() == Configuration.Kind.MODEL
        && service.allows(replica.address());
  }

  /**
   * Returns the models served by a replica for which weights are named, in order of name. A replica
   * listed without models serves the model with the name of its service.
   */
  private List<String> rolloutModels(Replica replica) {
    if (!isModelReplica(replica)) return List.of();
    Set<String> models =
        replica.weightsByModel().isEmpty()
            ? Set.of(replica.service())
            : replica.weightsByModel().keySet();
    return models.stream().filter(model -> weights.of(model) != null).sorted().toList();
  }

  /** Returns what is known of a model at a replica, or null if it was never observed. */
  private ReplicaObservation findObservation(Replica replica, String model) {
    return observations.get(new ObservationKey(replica.instance(), model));
  }

  private ReplicaObservation getOrCreateObservation(Replica replica, String model) {
    return observations.computeIfAbsent(
        new ObservationKey(replica.instance(), model), key -> new ReplicaObservation());
  }

  /**
   * Records the weights that a replica reported.
   *
   * @param reportedWeights the weights of the model that it runs
   * @param loading whether it is loading other weights
   */
  public void onReported(
      Replica replica, String model, String reportedWeights, boolean loading, long nowMs) {
    if (!rolloutModels(replica).contains(model)) return;
    ReplicaObservation observation = getOrCreateObservation(replica, model);
    observation.reportedWeights = reportedWeights;
    observation.loading = loading;
    observation.observedAtMs = nowMs;
  }

  /**
   * Records the weights that the list shows. The list lags: after an order it is trusted only once
   * it shows the ordered weights, or after {@link #LIST_LAG_MS}.
   */
  public void onListed(long nowMs) {
    for (Replica replica : rolloutTargets())
      for (String model : rolloutModels(replica)) onListed(replica, model, nowMs);
  }

  private void onListed(Replica replica, String model, long nowMs) {
    ReplicaObservation observation = getOrCreateObservation(replica, model);
    String listedWeights = replica.weightsByModel().getOrDefault(model, "");
    boolean isListCurrent =
        observation.orderedWeights.isEmpty()
            || listedWeights.equals(observation.orderedWeights)
            || nowMs - observation.orderSentAtMs > LIST_LAG_MS;
    if (isListCurrent) {
      observation.reportedWeights = listedWeights;
      observation.loading = false;
    }
    observation.observedAtMs = nowMs;
  }

  /** Returns whether a replica was ordered to load weights that it has not been seen to run yet. */
  public boolean awaitsObservation(Replica replica) {
    for (String model : rolloutModels(replica))
      if (getOrCreateObservation(replica, model).hasUnconfirmedOrder()) return true;
    return false;
  }

  /** Returns what the replica is to load now, or null if nothing. */
  public WeightAssignment nextAssignment(Replica replica, long nowMs) {
    for (String model : rolloutModels(replica)) {
      if (!needsOrder(replica, model, nowMs)) continue;
      if (isChangingAnotherModel(replica, model, nowMs)) continue;
      if (!isBatchDue(replica, model, nowMs)) continue;
      return new WeightAssignment(model, weights.of(model).current());
    }
    return null;
  }

  /**
   * Returns whether the replica runs other weights than the named ones and no order for the named
   * ones is in progress.
   */
  private boolean needsOrder(Replica replica, String model, long nowMs) {
    ReplicaObservation observation = findObservation(replica, model);
    if (observation == null || observation.observedAtMs == NEVER_MS) return false;
    String namedWeights = weights.of(model).current();
    if (observation.runs(namedWeights)) return false;
    if (!observation.orderedWeights.equals(namedWeights)) return true;
    return !observation.loading && nowMs - observation.orderSentAtMs >= RETRY_INTERVAL_MS;
  }

  /**
   * Returns whether a replica may still be loading weights of another model on an earlier order; a
   * replica executes one order at a time.
   */
  private boolean isChangingAnotherModel(Replica replica, String model, long nowMs) {
    for (String other : rolloutModels(replica)) {
      ReplicaObservation observation = findObservation(replica, other);
      if (other.equals(model) || observation == null || !observation.hasUnconfirmedOrder())
        continue;
      if (observation.loading || nowMs - observation.orderSentAtMs < ORDER_SPACING_MS) return true;
    }
    return false;
  }

  private boolean isBatchDue(Replica replica, String model, long nowMs) {
    SortedMap<String, ReplicaProgress> progress = progressOf(replica.service(), model, nowMs);
    return RolloutBatches.mayStart(
        replica.instance(), progress, inputs.weightsAgeMs, plan, strictlyTimed);
  }

  /**
   * Returns the progress of all replicas of a service towards a model's named weights, by instance
   * id.
   */
  private SortedMap<String, ReplicaProgress> progressOf(String service, String model, long nowMs) {
    SortedMap<String, ReplicaProgress> progressByInstance = new TreeMap<>();
    for (Replica replica : rolloutTargets())
      if (replica.service().equals(service) && rolloutModels(replica).contains(model))
        progressByInstance.put(replica.instance(), progressOf(replica, model, nowMs));
    return progressByInstance;
  }

  private ReplicaProgress progressOf(Replica replica, String model, long nowMs) {
    ReplicaObservation observation = findObservation(replica, model);
    if (observation == null || nowMs - observation.observedAtMs >= OBSERVATION_VALIDITY_MS)
      return ReplicaProgress.UNRESPONSIVE;
    boolean updated = observation.runs(weights.of(model).current());
    return updated ? ReplicaProgress.UPDATED : ReplicaProgress.OUTDATED;
  }

  /** Records that an order to load these weights was sent to the replica. */
  public void onOrderSent(Replica replica, WeightAssignment assignment, long nowMs) {
    ReplicaObservation observation = getOrCreateObservation(replica, assignment.model);
    observation.orderSentAtMs = nowMs;
    observation.orderedWeights = assignment.weights;
  }
}

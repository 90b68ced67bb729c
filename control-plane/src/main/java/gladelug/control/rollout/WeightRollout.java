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
 * Which replica is to load which weights, now: from what is listed and named, and from what each
 * replica last reported of itself. Weights named half way through a rollout simply become the new
 * target. Pure; who may command is decided by {@link ReplicaCommandSender}. Serves the rule
 * VERSION: replicas move to the named weights before the cutoff. Not thread-safe: lives on its
 * controller's context. Times are ms of the process's monotonic clock.
 */
public final class WeightRollout {
  /** The same order goes to a replica no oftener than this. */
  private static final long RETRY_INTERVAL_MS = 1000;

  /** A replica that was not observed for so long counts as unresponsive. */
  private static final long OBSERVATION_VALIDITY_MS = 1500;

  /** So long after an order the list may still show the weights of before. */
  private static final long LIST_LAG_MS = 4 * RETRY_INTERVAL_MS;

  /** So long after an order to a replica no other model's order is sent to it. */
  private static final long ORDER_SPACING_MS = RETRY_INTERVAL_MS / 2;

  /** Before any time of the clock, and far enough from the least long to be subtracted. */
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  /**
   * The stored values of the three keys that a rollout depends on.
   *
   * @param replicas the list of replicas, JSON as stored
   * @param weights the named weights, JSON as stored
   * @param configuration the configuration as operators sent it
   * @param weightsAgeMs ms since the weights were named, as far as this process knows
   */
  public record RolloutInputs(
      byte[] replicas, byte[] weights, byte[] configuration, long weightsAgeMs) {}

  /** The weights of a model that a replica is to load. */
  public record WeightAssignment(String model, String weights) {}

  private record ObservationKey(String instance, String model) {}

  /** What is known of one model at one replica: what it runs, and the last order sent to it. */
  private static final class ReplicaObservation {
    String reportedWeights = "";
    boolean loading;
    long observedAtMs = NEVER_MS;
    String orderedWeights = "";
    long orderSentAtMs = NEVER_MS;

    boolean runs(String weights) {
      return reportedWeights.equals(weights) && !loading;
    }

    /** An order was sent whose weights the replica was not yet seen to run. */
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
   * A rollout in thirds, by the product's own configuration.
   *
   * @param rolloutMs ms that all thirds have
   */
  public WeightRollout(int rolloutMs) {
    this(RolloutPlan.thirds(rolloutMs), false, Configuration::parse);
  }

  /**
   * A rollout by any plan.
   *
   * @param strictlyTimed no replica goes before its batch's time
   * @param configurationParser reads the configuration as operators sent it
   */
  public WeightRollout(
      RolloutPlan plan,
      boolean strictlyTimed,
      Function<String, Result<Configuration>> configurationParser) {
    this.plan = plan;
    this.strictlyTimed = strictlyTimed;
    this.configurationParser = configurationParser;
  }

  /** Takes the stored values; parses only those that are not the same array as last time. */
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

  /** All replicas of model services that the configuration allows, whatever weights are named. */
  public List<Replica> listedModelReplicas() {
    return replicas.all.stream().filter(this::isModelReplica).toList();
  }

  /** The replicas of model services for which weights are named. */
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
   * The models a replica serves whose weights are named, in order of name; a replica that is listed
   * without models serves the one named as its service.
   */
  private List<String> rolloutModels(Replica replica) {
    if (!isModelReplica(replica)) return List.of();
    Set<String> models =
        replica.weightsByModel().isEmpty()
            ? Set.of(replica.service())
            : replica.weightsByModel().keySet();
    return models.stream().filter(model -> weights.of(model) != null).sorted().toList();
  }

  /** What is known of a model at a replica, or null. */
  private ReplicaObservation findObservation(Replica replica, String model) {
    return observations.get(new ObservationKey(replica.instance(), model));
  }

  private ReplicaObservation observationOf(Replica replica, String model) {
    return observations.computeIfAbsent(
        new ObservationKey(replica.instance(), model), key -> new ReplicaObservation());
  }

  /**
   * A replica reported what it runs.
   *
   * @param reportedWeights the model's weights that it runs
   * @param loading it is just loading others
   */
  public void onReported(
      Replica replica, String model, String reportedWeights, boolean loading, long nowMs) {
    if (!rolloutModels(replica).contains(model)) return;
    ReplicaObservation observation = observationOf(replica, model);
    observation.reportedWeights = reportedWeights;
    observation.loading = loading;
    observation.observedAtMs = nowMs;
  }

  /**
   * Takes what the list shows of its replicas. The list lags: after an order it counts only once it
   * shows the ordered weights, or when it has had the time to show them.
   */
  public void onListed(long nowMs) {
    for (Replica replica : rolloutTargets())
      for (String model : rolloutModels(replica)) onListed(replica, model, nowMs);
  }

  private void onListed(Replica replica, String model, long nowMs) {
    ReplicaObservation observation = observationOf(replica, model);
    String listedWeights = replica.weightsByModel().getOrDefault(model, "");
    boolean listCounts =
        observation.orderedWeights.isEmpty()
            || listedWeights.equals(observation.orderedWeights)
            || nowMs - observation.orderSentAtMs > LIST_LAG_MS;
    if (listCounts) {
      observation.reportedWeights = listedWeights;
      observation.loading = false;
    }
    observation.observedAtMs = nowMs;
  }

  /** Whether a replica was ordered to load weights that it has not yet been seen to run. */
  public boolean awaitsObservation(Replica replica) {
    for (String model : rolloutModels(replica))
      if (observationOf(replica, model).hasUnconfirmedOrder()) return true;
    return false;
  }

  /** What the replica is to load now, or null where it is to load nothing. */
  public WeightAssignment nextAssignment(Replica replica, long nowMs) {
    for (String model : rolloutModels(replica)) {
      if (!needsOrder(replica, model, nowMs)) continue;
      if (isChangingAnotherModel(replica, model, nowMs)) continue;
      if (!isBatchDue(replica, model, nowMs)) continue;
      return new WeightAssignment(model, weights.of(model).current());
    }
    return null;
  }

  /** The replica runs other weights than are named, and no order for these is under way. */
  private boolean needsOrder(Replica replica, String model, long nowMs) {
    ReplicaObservation observation = findObservation(replica, model);
    if (observation == null || observation.observedAtMs == NEVER_MS) return false;
    String namedWeights = weights.of(model).current();
    if (observation.runs(namedWeights)) return false;
    if (!observation.orderedWeights.equals(namedWeights)) return true;
    return !observation.loading && nowMs - observation.orderSentAtMs >= RETRY_INTERVAL_MS;
  }

  /**
   * Whether a replica may be loading weights of another model, as it was ordered to: it takes one
   * order at a time.
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

  /** How far all replicas of a service are with a model's named weights, by instance. */
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

  /** An order to load these weights has been sent to the replica. */
  public void onOrderSent(Replica replica, WeightAssignment assignment, long nowMs) {
    ReplicaObservation observation = observationOf(replica, assignment.model);
    observation.orderSentAtMs = nowMs;
    observation.orderedWeights = assignment.weights;
  }
}

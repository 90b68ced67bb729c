package gladelug.control.rollout;

import gladelug.common.configuration.Replicas.Replica;
import io.smallrye.mutiny.Uni;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * The queries and orders of a controller to replicas, independent of their protocol. An order may
 * have been executed even if no answer arrived. Called on the controller's context; results may
 * arrive on any thread.
 */
public interface ReplicaCommands {
  /**
   * The state that a replica reports.
   *
   * @param loading whether it is loading other weights
   * @param weights the weights that it runs, by model
   */
  record ReportedState(boolean loading, Map<String, String> weights) {}

  /**
   * Returns whether querying is cheap enough to query every replica at every poll. Otherwise the
   * listed weights are trusted and only replicas with an unconfirmed order are queried.
   */
  boolean pollsEveryReplica();

  /**
   * Queries a replica's state; fails if it does not answer or another replica answers at its
   * address.
   */
  Uni<ReportedState> fetchState(Replica replica);

  /** The outcome of an order. */
  enum Outcome {
    /** The order was not sent because the command lease had ended. */
    NOT_SENT,
    /** The replica accepted or refused the order. */
    ANSWERED,
    /** The replica reports that it already runs these weights. */
    ALREADY_APPLIED
  }

  /**
   * Orders a replica to load weights. Fails if no answer arrived, in which case the order may have
   * been executed. After an outcome or a failure, no part of the order can arrive any more.
   *
   * @param holder the name of the commanding process, as sent to the replica
   * @param permit returns the fence (epoch) to command under, or empty if the order must not be
   *     sent; queried immediately before sending
   */
  Uni<Outcome> sendOrder(
      Replica replica,
      String holder,
      Supplier<Uni<OptionalLong>> permit,
      String model,
      String weights);
}

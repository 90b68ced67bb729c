package gladelug.control.rollout;

import gladelug.common.Log;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.control.core.CommandLease;
import gladelug.control.rollout.WeightRollout.WeightAssignment;
import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Sends replicas the orders that {@link WeightRollout} requests: one at a time per replica, and
 * only under a command lease that is checked again immediately before the order is sent (rule ONE:
 * at most one process commands a replica at any time). Not thread-safe: confined to its
 * controller's context.
 */
final class ReplicaCommandSender {
  private final String holder;
  private final ReplicaCommands commands;
  private final WeightRollout rollout;
  private final LongSupplier clockMs;
  private final Function<Replica, Uni<CommandLease>> commandLease;

  /**
   * Instance ids of the replicas with an order in flight. If two were in flight at once, the
   * earlier could arrive last and revert a replica to older weights.
   */
  private final Set<String> replicasWithOrderInFlight = new HashSet<>();

  /**
   * Creates the sender of one controller.
   *
   * @param holder this process's name, as sent to replicas
   * @param clockMs the monotonic clock that leases are measured by, in ms
   * @param commandLease returns the current lease to command a replica; completes on the
   *     controller's context
   */
  ReplicaCommandSender(
      String holder,
      ReplicaCommands commands,
      WeightRollout rollout,
      LongSupplier clockMs,
      Function<Replica, Uni<CommandLease>> commandLease) {
    this.holder = holder;
    this.commands = commands;
    this.rollout = rollout;
    this.clockMs = clockMs;
    this.commandLease = commandLease;
  }

  /**
   * Orders a replica to load the weights assigned to it, if there are any and no order is in
   * flight.
   */
  void send(Replica replica) {
    if (replicasWithOrderInFlight.contains(replica.instance())) return;
    WeightAssignment assignment = rollout.nextAssignment(replica, clockMs.getAsLong());
    if (assignment == null) return;
    replicasWithOrderInFlight.add(replica.instance());
    commandLease
        .apply(replica)
        .flatMap(lease -> sendUnderLease(replica, assignment, lease))
        .onTermination()
        .invoke(() -> replicasWithOrderInFlight.remove(replica.instance()))
        .subscribe()
        .with(
            outcome -> onOutcome(replica, assignment, outcome),
            // whatever the failure, the next poll sends the order again
            failure ->
                Log.warn(
                    "steer-problem", "replica", replica.instance(), "what", failure.toString()));
  }

  private void onOutcome(
      Replica replica, WeightAssignment assignment, ReplicaCommands.Outcome outcome) {
    if (outcome != ReplicaCommands.Outcome.ALREADY_APPLIED) return;
    rollout.onReported(
        replica, assignment.model(), assignment.weights(), false, clockMs.getAsLong());
  }

  /**
   * Sends the order if the lease covers it. Most members hold no lease and therefore open no
   * connection.
   */
  private Uni<ReplicaCommands.Outcome> sendUnderLease(
      Replica replica, WeightAssignment assignment, CommandLease lease) {
    if (!coversSending(lease)) return Uni.createFrom().item(ReplicaCommands.Outcome.NOT_SENT);
    return commands.sendOrder(
        replica,
        holder,
        () ->
            commandLease
                .apply(replica)
                .map(latest -> authorizeSending(replica, assignment, latest)),
        assignment.model(),
        assignment.weights());
  }

  private boolean coversSending(CommandLease lease) {
    return lease.covers(clockMs.getAsLong(), ReplicaCommandCall.ANSWER_TIMEOUT_MS);
  }

  /**
   * The last check before an order is sent: returns its fence, or empty if the lease may end before
   * the order arrives.
   */
  private OptionalLong authorizeSending(
      Replica replica, WeightAssignment assignment, CommandLease lease) {
    if (!coversSending(lease)) return OptionalLong.empty();
    rollout.onOrderSent(replica, assignment, clockMs.getAsLong());
    Log.event(
        "rollout-order-sent",
        "replica",
        replica.instance(),
        "model",
        assignment.model(),
        "weights",
        assignment.weights(),
        "epoch",
        lease.fence());
    return OptionalLong.of(lease.fence());
  }
}

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
 * Sends a replica the orders that {@link WeightRollout} asks for: one at a time, and only under a
 * command lease that is checked again immediately before the order leaves (rule ONE). Not
 * thread-safe: lives on its controller's context.
 */
final class ReplicaCommandSender {
  private final String holder;
  private final ReplicaCommands commands;
  private final WeightRollout rollout;
  private final LongSupplier clockMs;
  private final Function<Replica, Uni<CommandLease>> commandLease;

  /**
   * Replicas with an order in flight. Of two at once the earlier could arrive last and take a
   * replica back to older weights.
   */
  private final Set<String> replicasWithOrderInFlight = new HashSet<>();

  /**
   * The sender of one controller.
   *
   * @param holder this process's name, as replicas are told it
   * @param clockMs the monotonic clock that leases count by, in ms
   * @param commandLease the lease to command a replica at present, completed on the controller's
   *     context
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

  /** Orders a replica to load what it is to load now, if anything and if no order is in flight. */
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
            // of any kind: the next poll sends the order again
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

  /** Most members hold no lease at all: those open no connection. */
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
   * The last check before an order leaves: its fence, or empty where the lease may end before it
   * arrives.
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

/**
 * Brings replicas to the weights that operators named: {@link
 * gladelug.control.rollout.WeightRollout} decides which replica is to load which weights now,
 * {@link gladelug.control.rollout.RolloutBatches} in which order, {@link
 * gladelug.control.rollout.ReplicaController} polls replicas, and {@link
 * gladelug.control.rollout.ReplicaCommandSender} sends an order only under a command lease (rule
 * ONE: at most one process commands a replica at any time).
 */
package gladelug.control.rollout;

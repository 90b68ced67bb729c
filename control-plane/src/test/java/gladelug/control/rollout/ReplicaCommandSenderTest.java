package gladelug.control.rollout;

import gladelug.common.Address;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.configuration.Weights;
import gladelug.control.core.CommandLease;
import gladelug.control.rollout.ReplicaCommands.Outcome;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of ReplicaCommandSender: one order at a time, and none that could arrive after its sender's
 * right has ended.
 */
final class ReplicaCommandSenderTest {
  private static final long FAR_FUTURE_MS = 1_000_000;
  private static final String CONFIGURATION =
      "{\"services\":[{\"name\":\"m\",\"allow\":[\"10.0.0.0/24\"]}],\"mappings\":[],\"tenants\":[]}";
  private static final Replica REPLICA =
      new Replica("m", "m1", Address.of("10.0.0.1:80"), "z", true);

  /** An order whose connection is not up yet. */
  private record PendingOrder(
      String weights, Supplier<Uni<OptionalLong>> permit, UniEmitter<? super Outcome> outcome) {}

  private final List<PendingOrder> pendingOrders = new ArrayList<>();
  private final List<String> sentOrders = new ArrayList<>();
  private final WeightRollout rollout = new WeightRollout(0);
  private CommandLease lease = new CommandLease(7, FAR_FUTURE_MS);
  private long nowMs = 100;
  private final ReplicaCommandSender sender =
      new ReplicaCommandSender(
          "c1",
          new ReplicaCommands() {
            @Override
            public boolean pollsEveryReplica() {
              return true;
            }

            @Override
            public Uni<ReportedState> fetchState(Replica replica) {
              throw new AssertionError("nobody asks here");
            }

            @Override
            public Uni<Outcome> sendOrder(
                Replica replica,
                String holder,
                Supplier<Uni<OptionalLong>> permit,
                String model,
                String weights) {
              return Uni.createFrom()
                  .emitter(
                      emitter -> pendingOrders.add(new PendingOrder(weights, permit, emitter)));
            }
          },
          rollout,
          () -> nowMs,
          replica -> Uni.createFrom().item(lease));

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void nameWeights(String weights, long number) {
    rollout.updateInputs(
        new WeightRollout.RolloutInputs(
            bytes(new Replicas(List.of(REPLICA)).toJson()),
            bytes(Weights.NONE.withAssignment("m", weights, number).toJson()),
            bytes(CONFIGURATION),
            FAR_FUTURE_MS));
    rollout.onReported(REPLICA, "m", "w0", false, nowMs);
  }

  /** The connection of the oldest order is up: it leaves if it still may. */
  private PendingOrder connectOldest() {
    PendingOrder order = pendingOrders.remove(0);
    OptionalLong fence = order.permit.get().await().indefinitely();
    if (fence.isPresent()) sentOrders.add(order.weights + " under " + fence.getAsLong());
    return order;
  }

  @Test
  void anOrderLeavesUnderTheRightAsItIsWhenItsConnectionIsUp() {
    nameWeights("w1", 1);
    sender.send(REPLICA);
    lease = new CommandLease(9, FAR_FUTURE_MS);
    connectOldest();
    Assertions.assertEquals(List.of("w1 under 9"), sentOrders);
  }

  @Test
  void anOrderWhoseSenderLostTheRightWhileItConnectedDoesNotLeave() {
    nameWeights("w1", 1);
    sender.send(REPLICA);
    lease = CommandLease.NONE;
    connectOldest().outcome.complete(Outcome.NOT_SENT);
    Assertions.assertEquals(List.of(), sentOrders);
    lease = new CommandLease(11, FAR_FUTURE_MS);
    sender.send(REPLICA);
    connectOldest();
    Assertions.assertEquals(List.of("w1 under 11"), sentOrders, "what did not leave was not told");
  }

  @Test
  void anOrderThatMayArriveAfterTheRightsEndDoesNotLeave() {
    nameWeights("w1", 1);
    lease = new CommandLease(7, nowMs + ReplicaCommandCall.ANSWER_TIMEOUT_MS - 1);
    sender.send(REPLICA);
    Assertions.assertEquals(0, pendingOrders.size(), "no connection is opened for nothing");
    lease = new CommandLease(7, nowMs + ReplicaCommandCall.ANSWER_TIMEOUT_MS);
    sender.send(REPLICA);
    // a process that was frozen meanwhile finds its right as it knew it, and its end in the past
    nowMs++;
    connectOldest();
    Assertions.assertEquals(List.of(), sentOrders);
  }

  @Test
  void aReplicaHasOneOrderUnderWayWhateverIsNamedMeanwhile() {
    nameWeights("w1", 1);
    sender.send(REPLICA);
    PendingOrder first = connectOldest();
    nameWeights("w2", 2);
    sender.send(REPLICA);
    Assertions.assertEquals(0, pendingOrders.size(), "the first may still arrive");
    first.outcome.fail(new IllegalStateException("no answer"));
    sender.send(REPLICA);
    connectOldest();
    Assertions.assertEquals(List.of("w1 under 7", "w2 under 7"), sentOrders);
  }
}

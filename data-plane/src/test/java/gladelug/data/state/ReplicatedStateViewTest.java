package gladelug.data.state;

import gladelug.common.Digest;
import gladelug.common.message.BinaryDelta;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.data.state.ReplicatedStateView.UpdateResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ReplicatedStateView. */
final class ReplicatedStateViewTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static StateUpdate.ValuePush push(
      long epoch, long nr, long base, String digestOf, byte[] v) {
    return new StateUpdate.ValuePush(
        StateKeys.CONFIGURATION, epoch, nr, base, Digest.hex(digestOf), v);
  }

  @Test
  void aChangeIsTakenOnlyOnItsBaseAndOnlyIfTheDigestAgrees() {
    List<String> taken = new ArrayList<>();
    ReplicatedStateView b =
        new ReplicatedStateView(
            new Shuffle.Descriptor("r", "relay", "", "", "", 0, 0),
            1,
            p -> taken.add(new String(p.value(), StandardCharsets.UTF_8)));
    String
        one =
            "so it begins and goes on. ".repeat(20)
                + "a policy that is long enough for a change of it to be worth while, twice over, as policies "
                + "are, and then some more",
        two = one.replace("twice", "three times"),
        three = two + "!";
    Assertions.assertEquals(
        UpdateResult.NEEDS_FULL_VALUE,
        b.apply(push(1, 2, 1, two, BinaryDelta.between(bytes(one), bytes(two)))),
        "a gap");
    Assertions.assertEquals(UpdateResult.APPLIED, b.apply(push(1, 1, -1, one, bytes(one))));
    Assertions.assertEquals(
        UpdateResult.APPLIED,
        b.apply(push(1, 2, 1, two, BinaryDelta.between(bytes(one), bytes(two)))));
    Assertions.assertEquals(
        UpdateResult.NEEDS_FULL_VALUE,
        b.apply(push(1, 3, 2, one, BinaryDelta.between(bytes(two), bytes(three)))),
        "another digest");
    Assertions.assertEquals(
        UpdateResult.IGNORED, b.apply(push(1, 1, -1, one, bytes(one))), "a lower number");
    Assertions.assertEquals(
        UpdateResult.IGNORED, b.apply(push(0, 9, -1, three, bytes(three))), "a lower epoch");
    Assertions.assertEquals(List.of(one, two), taken);
  }

  @Test
  void aDivisionUnderALowerEpochIsNotTaken() {
    ReplicatedStateView b =
        new ReplicatedStateView(
            new Shuffle.Descriptor("r", "relay", "", "", "", 0, 0), 1, p -> true);
    Assertions.assertEquals(
        UpdateResult.CAPACITY_GRANTED,
        b.apply(new StateUpdate.CapacityGrant(5, "m", true, List.of())));
    Assertions.assertEquals(
        UpdateResult.IGNORED, b.apply(new StateUpdate.CapacityGrant(4, "m", true, List.of())));
  }
}

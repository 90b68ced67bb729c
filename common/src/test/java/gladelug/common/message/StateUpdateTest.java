package gladelug.common.message;

import gladelug.common.message.StateUpdate.KnownVersion;
import gladelug.common.message.StateUpdate.QuotaDemand;
import gladelug.common.message.StateUpdate.ServiceCapacity;
import gladelug.common.message.StateUpdate.SubscriptionRequest;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of StateUpdate. */
final class StateUpdateTest {
  @Test
  void whatIsWrittenIsReadAndAnythingElseIsRefused() throws IOException {
    SubscriptionRequest a =
        new SubscriptionRequest(
            5,
            "r1",
            77,
            "relay",
            "127.0.0.1:1",
            "127.0.0.1:2",
            "z",
            List.of(new KnownVersion("policy", 1, 2)),
            List.of(new QuotaDemand("s", "t/x", 1, 2)),
            List.of(new ServiceCapacity("s", 9)));
    byte[] bytes = WireRecord.encode(a);
    Assertions.assertEquals(a, WireRecord.decode(bytes, StateUpdate::read));
    for (int n = 0; n < bytes.length; n++) {
      byte[] cut = Arrays.copyOf(bytes, n);
      Assertions.assertThrows(IOException.class, () -> WireRecord.decode(cut, StateUpdate::read));
    }
    byte[] more = Arrays.copyOf(bytes, bytes.length + 1);
    Assertions.assertThrows(IOException.class, () -> WireRecord.decode(more, StateUpdate::read));
  }
}

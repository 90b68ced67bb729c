package gladelug.data.decisions;

import static gladelug.data.decisions.DecisionLog.pack;

import gladelug.common.message.DecisionRecords.Batch;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of DecisionLog. */
final class DecisionLogTest {
  private static Batch batch(String run, long low, String... lines) {
    return new Batch(
        "relay-1",
        run,
        1,
        low,
        low + lines.length - 1,
        0,
        pack(List.of(lines).stream().map(text -> text.getBytes(StandardCharsets.UTF_8)).toList()));
  }

  private static String line(long n, String outcome) {
    return "{\"order\":\"relay-1.00aa." + n + "\",\"outcome\":\"" + outcome + "\"}";
  }

  @Test
  void theNewestOfARequestIsFoundAndNothingElse() {
    DecisionLog k = new DecisionLog(1 << 20);
    Assertions.assertTrue(k.add(batch("00aa", 5, line(5, "live"), line(6, "complete"))));
    Assertions.assertEquals("live", k.find("relay-1.00aa.5").getString("outcome", ""));
    Assertions.assertTrue(k.add(batch("00aa", 5, line(5, "complete"))));
    Assertions.assertEquals("complete", k.find("relay-1.00aa.5").getString("outcome", ""));
    for (String id :
        new String[] {
          "relay-1.00aa.7", "relay-1.00ab.5", "relay-2.00aa.5", "relay-1.00aa", "", "x.y.z"
        }) Assertions.assertNull(k.find(id), id);
  }

  @Test
  void tornBatchesAreRefusedAndTheBoundHolds() {
    DecisionLog k = new DecisionLog(200);
    Batch b = batch("00aa", 5, line(5, "complete"));
    byte[] half = Arrays.copyOf(b.deflated(), b.deflated().length / 2);
    Assertions.assertFalse(k.add(new Batch("relay-1", "00aa", 1, 5, 5, 0, half)));
    Assertions.assertFalse(k.add(new Batch("no such name", "00aa", 1, 5, 5, 0, b.deflated())));
    Assertions.assertFalse(k.add(new Batch("relay-1", "00aa", 1, 5, 4, 0, b.deflated())));
    for (int i = 0; i < 50; i++) k.add(batch("00aa", i, line(i, "complete")));
    Assertions.assertTrue(k.toJson().getLong("bytes", 0) <= 200);
    Assertions.assertNull(k.find("relay-1.00aa.0"), "the oldest went first");
    Assertions.assertNotNull(k.find("relay-1.00aa.49"));
  }
}

package gladelug.data.request;

import com.eclipsesource.json.Json;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Decision. */
final class DecisionTest {
  @Test
  void readsTheSameBeforeAndAfterItsEnd() {
    Decision decision = new Decision("r.0000.0", 0, 10);
    decision.add("key", 12, Json.object().add("tenant", "t"));
    decision.setOutcome("complete");
    String before = decision.toJson().toString();
    decision.end();
    decision.add("late", 13, Json.object());
    Assertions.assertEquals(before, decision.toJson().toString());
    Assertions.assertTrue(
        before.contains("{\"stage\":\"key\",\"atMs\":2,\"tenant\":\"t\"}"), before);
  }
}

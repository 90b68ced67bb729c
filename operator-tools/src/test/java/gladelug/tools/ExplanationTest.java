package gladelug.tools;

import static gladelug.tools.Explanation.describeRequest;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests the text that explains a recorded request. */
final class ExplanationTest {
  @Test
  void theTextStatesWhatTheRecordContains() {
    JsonObject json =
        Json.parse(
                """
                    {"order":"r.ab12.1","came":"now","outcome":"complete","stages":[
                     {"stage":"lookup","atMs":1,"weights":"w1","blocks":8,"index":"answered",
                       "matches":[{"holder":"x","blocks":8}]},
                     {"stage":"choice","atMs":2,"replica":"x","of":2,"options":[{"replica":"x","matched":8,
                       "fetchFrom":"","fetchBlocks":0,"load":0,"backlogMs":0,"workMs":0,"totalMs":0}]},
                     {"stage":"again","atMs":3,"why":"x did not run it"}]}""")
            .asObject();
    String text = describeRequest(json);
    for (String expected :
        new String[] {
          "request r.ab12.1, received now: complete",
          "x may hold 8",
          "replica x of 2",
          "another replica is chosen: x did not run it"
        }) Assertions.assertTrue(text.contains(expected), text);
  }
}

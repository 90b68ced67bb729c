package gladelug.control.core;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests the builder and the validation of {@link QuorumConfig}. */
final class QuorumConfigTest {
  @Test
  void aBuilderStartsFromTheDefaultsAndChangesOnlyWhatIsSet() {
    Assertions.assertEquals(QuorumConfig.DEFAULT, QuorumConfig.builder().build());
    QuorumConfig config = QuorumConfig.builder().leaseMs(1500).targetMembers(5).build();
    Assertions.assertEquals(
        config, QuorumConfig.DEFAULT.with().targetMembers(5).leaseMs(1500).build());
    Assertions.assertEquals(1500, config.leaseMs());
    Assertions.assertEquals(QuorumConfig.DEFAULT.changeTimeoutMs(), config.changeTimeoutMs());
  }

  @Test
  void allInvalidValuesAreReportedTogether() {
    String message =
        Assertions.assertThrows(
                IllegalArgumentException.class,
                () ->
                    QuorumConfig.builder()
                        .targetMembers(4)
                        .peerTimeoutMs(200)
                        .commandLeaseMs(1000)
                        .commandHandoverGapMs(900)
                        .replaceDeadAfterMs(100)
                        .changeTimeoutMs(0)
                        .build())
            .getMessage();
    for (String expected :
        new String[] {
          "targetMembers must be odd",
          "peerTimeoutMs must be",
          "commandHandoverGapMs must be",
          "replaceDeadAfterMs must",
          "every time"
        }) Assertions.assertTrue(message.contains(expected), expected + " in " + message);
  }
}

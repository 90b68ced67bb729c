package gladelug.control;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests the settings of {@link ControlPlane}. */
final class ControlPlaneTest {
  @Test
  void allInvalidSettingsAreReportedTogether() {
    Map<String, String> flags = new HashMap<>();
    flags.put("name", "Bad Name");
    flags.put("records", "host:1");
    flags.put("cutoffMs", "99999");
    String result = ControlPlaneSettings.parse(null, flags, notice -> {}).toString();
    for (String expected :
        new String[] {
          "--name: must be small letters",
          "--records: must be an IP number",
          "--operator: is required",
          "--data: is required",
          "--cutoff-ms: must be a whole number from 1000 to 20000"
        }) Assertions.assertTrue(result.contains(expected), expected + " in " + result);
  }
}

package gladelug.common.connection;

import static gladelug.common.connection.BindAddress.of;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.Settings;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of BindAddress. */
final class BindAddressTest {
  private static String findings(String bind, String records) {
    Settings settings = ((Result.Good<Settings>) Settings.open(null, Map.of("bind", bind))).value();
    of(settings, Address.of(records));
    return settings.findings.list().toString();
  }

  @Test
  void invalidBindAndRecordsAddressesAreFindings() {
    Assertions.assertEquals("[]", findings("127.0.0.2", "127.0.0.1:7000"));
    Assertions.assertEquals("[]", findings("0.0.0.0", "127.0.0.1:7000"));
    Assertions.assertTrue(
        findings("here", "127.0.0.1:7000").contains("must be an IP number without a port"));
    Assertions.assertTrue(
        findings("127.0.0.2:80", "127.0.0.1:7000").contains("must be an IP number"));
    Assertions.assertTrue(findings("127.0.0.2", "0.0.0.0:7000").contains("is what others call"));
  }
}

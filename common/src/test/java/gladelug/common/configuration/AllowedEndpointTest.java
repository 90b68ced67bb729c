package gladelug.common.configuration;

import static gladelug.common.configuration.AllowedEndpoint.parse;

import gladelug.common.Address;
import gladelug.common.Result;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of AllowedEndpoint. */
final class AllowedEndpointTest {
  private static AllowedEndpoint of(String text) {
    return ((Result.Good<AllowedEndpoint>) parse(text, "x")).value();
  }

  @Test
  void onlyTheGivenBlockAndPortsAreAllowed() {
    AllowedEndpoint endpoint = of("10.1.2.0/24:8000-8010");
    Assertions.assertTrue(endpoint.allows(Address.of("10.1.2.255:8010")));
    Assertions.assertFalse(endpoint.allows(Address.of("10.1.3.0:8010")));
    Assertions.assertFalse(endpoint.allows(Address.of("10.1.2.1:8011")));
    Assertions.assertTrue(of("0.0.0.0/0").allows(Address.of("9.9.9.9:1")));
    Assertions.assertFalse(of("10.1.2.3:80").allows(Address.of("10.1.2.4:80")));
    for (String text :
        new String[] {"host:1", "10.0.0.1/33", "10.0.0.1:9-3", "10.0.0.1:1-2-3", "10.0.0:1"})
      Assertions.assertTrue(parse(text, "x") instanceof Result.Bad<?>, text);
  }
}

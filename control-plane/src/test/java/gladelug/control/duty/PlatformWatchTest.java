/*
 * Tests of PlatformWatch.
 */
package gladelug.control.duty;

import static gladelug.control.duty.PlatformWatch.narrowed;

import gladelug.kernel.Address;
import gladelug.kernel.configuration.Replicas;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

final class PlatformWatchTest {
  private static Replicas list(String... states) {
    List<Replicas.Replica> l = new ArrayList<>();
    for (String t : states)
      l.add(
          new Replicas.Replica(
              "m",
              t.substring(0, 1),
              Address.of("1.1.1.1:" + (int) t.charAt(0)),
              "z",
              t.endsWith("+")));
    return new Replicas(l);
  }

  @Test
  void whatIsOfferedAgainOnlyTakesAway() {
    byte[] kept = list("a+", "b+", "c-", "d+").json().getBytes(StandardCharsets.UTF_8);
    Assertions.assertEquals(
        list("a+", "b-", "c-").json(),
        new String(narrowed(kept, list("a+", "b-", "c+", "e+")), StandardCharsets.UTF_8));
  }
}

package gladelug.common;

import gladelug.common.ServiceRegistry.Service;
import gladelug.common.ServiceRegistry.StartupException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ServiceRegistry. */
final class ServiceRegistryTest {
  @Test
  void startedServicesAreStoppedInReverseOrderWhenOneFailsToStart() {
    List<String> seen = new ArrayList<>();
    class S implements Service {
      final String n;

      S(String n) {
        this.n = n;
      }

      @Override
      public void start(ServiceRegistry k) {
        if (n.equals("c")) throw new StartupException("port in use");
        seen.add("+" + n);
      }

      @Override
      public void stop() {
        seen.add("-" + n);
      }
    }
    ServiceRegistry registry =
        new ServiceRegistry().add("a", new S("a")).add("b", new S("b")).add("c", new S("c"));
    Assertions.assertThrows(StartupException.class, registry::start);
    Assertions.assertEquals(List.of("+a", "+b", "-b", "-a"), seen);
  }
}

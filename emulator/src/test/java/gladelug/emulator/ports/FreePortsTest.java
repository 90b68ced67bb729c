package gladelug.emulator.ports;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of FreePorts. */
final class FreePortsTest {
  private static final String IP = "127.18.1.4";

  /** So many that the kernel names some port twice, as it chooses at random. */
  private static final int RESERVED_PORTS = 2000;

  /** Guards against two processes of a fleet that get the same port, of which one ends at once. */
  @Test
  void noPortIsHandedOutTwice() throws IOException {
    FreePorts ports = new FreePorts();
    Set<Integer> seen = new HashSet<>();
    for (int i = 0; i < RESERVED_PORTS; i++)
      Assertions.assertTrue(seen.add(ports.reserve(IP)), "port handed out twice");
  }
}

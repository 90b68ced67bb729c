package gladelug.emulator.ports;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Hands out free TCP ports for processes that are started later.
 *
 * <p>The kernel may name a port that it has named before as long as nobody listens there. A port is
 * handed out once on each host, so that no two processes get the same one.
 */
public final class FreePorts {
  private final Set<InetSocketAddress> handedOut = new HashSet<>();

  /** Returns a port on which nobody listens at the host, and that was not returned before. */
  public synchronized int reserve(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, address)) {
        if (handedOut.add(new InetSocketAddress(address, socket.getLocalPort())))
          return socket.getLocalPort();
      }
    }
  }

  /** Returns the host and a port reserved on it, as {@code host:port}. */
  public String reserveAddress(String host) throws IOException {
    return host + ":" + reserve(host);
  }
}

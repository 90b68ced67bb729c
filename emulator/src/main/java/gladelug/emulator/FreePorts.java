package gladelug.emulator;

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
 * handed out once on each IP address, so that no two processes get the same one.
 */
public final class FreePorts {
  private final Set<InetSocketAddress> handedOut = new HashSet<>();

  /** Returns a port on which nobody listens at the IP address, and that was not returned before. */
  public synchronized int reserve(String ip) throws IOException {
    InetAddress address = InetAddress.getByName(ip);
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, address)) {
        if (handedOut.add(new InetSocketAddress(address, socket.getLocalPort())))
          return socket.getLocalPort();
      }
    }
  }

  /** Returns the IP address and a port reserved on it, as {@code ip:port}. */
  public String reserveAddress(String ip) throws IOException {
    return ip + ":" + reserve(ip);
  }
}

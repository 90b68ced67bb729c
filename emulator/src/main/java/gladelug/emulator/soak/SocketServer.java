package gladelug.emulator.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An HTTP/1.1 server on plain sockets, with a thread per connection, that can be closed and opened
 * again.
 */
final class SocketServer implements AutoCloseable {
  private static final int BACKLOG = 512;

  /**
   * Limit of the bytes of a request body that are kept; orders are shorter, and only the digest of
   * longer bodies is needed.
   */
  private static final int MAX_KEPT_REQUEST_BYTES = 1 << 14;

  /** Answers one request. */
  interface Handler {
    void answer(HttpMessage request, OutputStream out) throws IOException;
  }

  private final String host;
  private final String name;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private int port;

  SocketServer(String host, String name, Handler handler) {
    this.host = host;
    this.name = name;
    this.handler = handler;
  }

  /** Starts to listen, unless the server already does; uses the same port as the last time. */
  synchronized void open() throws IOException {
    if (server != null && !server.isClosed()) return;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName(host), port), BACKLOG);
    port = opened.getLocalPort();
    server = opened;
    DaemonThreads.start(name, () -> accept(opened));
  }

  String address() {
    return host + ":" + port;
  }

  private void accept(ServerSocket opened) throws IOException {
    while (true) {
      Socket socket = opened.accept();
      connections.add(socket);
      DaemonThreads.start(name + " connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
      for (HttpMessage request = read(in);
          request != null && request.complete();
          request = read(in)) handler.answer(request, socket.getOutputStream());
    } finally {
      connections.remove(socket);
    }
  }

  private static HttpMessage read(BufferedInputStream in) throws IOException {
    return HttpMessage.read(in, HttpMessage.BodyReader.NONE, MAX_KEPT_REQUEST_BYTES);
  }

  /** Closes all connections with a TCP reset. */
  void resetConnections() {
    for (Socket socket : connections)
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // the socket is already closed
      }
  }

  /** Stops listening and resets all connections. */
  @Override
  public synchronized void close() {
    try {
      if (server != null) server.close();
    } catch (IOException e) {
      // the socket is already closed
    }
    resetConnections();
  }

  /**
   * Writes a complete answer.
   *
   * @param headers further header lines, each terminated by CRLF; may be empty
   */
  static void writeAnswer(OutputStream out, int status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    HttpMessage.write(
        out,
        "HTTP/1.1 "
            + status
            + " Said\r\nContent-Type: application/json\r\n"
            + headers
            + "Content-Length: "
            + bytes.length
            + "\r\n",
        bytes);
  }
}

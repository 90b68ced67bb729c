package gladelug.emulator.soak;

import java.io.IOException;

/** A stand-in for the prefix store; it can stop and restart empty. */
final class SoakStore implements AutoCloseable {
  final PrefixCache cache = new PrefixCache();
  private final SocketServer server;

  SoakStore(String host) throws IOException {
    server =
        new SocketServer(
            host,
            "store",
            (request, out) -> {
              String target = request.startLine().split(" ")[1];
              if (!cache.answerIfCacheCall(target, request, out))
                SocketServer.writeAnswer(out, 404, "", "{}");
            });
    server.open();
  }

  String address() {
    return server.address();
  }

  void stop() {
    server.close();
    cache.restart();
  }

  void start() throws IOException {
    server.open();
  }

  @Override
  public void close() {
    server.close();
  }
}

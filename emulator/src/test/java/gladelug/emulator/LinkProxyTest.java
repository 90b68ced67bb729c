package gladelug.emulator;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of LinkProxy. */
final class LinkProxyTest {
  @Test
  void aCutStopsBytesInOneDirectionAndKeepsConnectionsOpen() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      LinkProxy proxy = new LinkProxy(vertx);
      proxy.registerMachine("127.19.1.1", "a");
      StringBuffer came = new StringBuffer(), answered = new StringBuffer();
      int port =
          vertx
              .createNetServer()
              .connectHandler(
                  socket ->
                      socket.handler(
                          buffer -> {
                            came.append(buffer);
                            socket.write(buffer);
                          }))
              .listen(0, "127.19.1.2")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS)
              .actualPort();
      proxy.forward("127.19.0.2:" + port, "127.19.1.2:" + port, "b");
      NetSocket socket =
          vertx
              .createNetClient(new NetClientOptions().setLocalAddress("127.19.1.1"))
              .connect(port, "127.19.0.2")
              .toCompletionStage()
              .toCompletableFuture()
              .get(10, TimeUnit.SECONDS);
      socket.handler(answered::append);
      boolean[] closed = {false};
      socket.closeHandler(x -> closed[0] = true);
      socket.write("1");
      Fleet.waitUntil("an answer", 10_000, () -> answered.toString().equals("1"));
      proxy.cutOneWay("b", "a");
      socket.write("2");
      Fleet.waitUntil("it came", 10_000, () -> came.toString().equals("12"));
      proxy.cutOneWay("a", "b");
      socket.write("3");
      Assertions.assertEquals("1", answered.toString());
      proxy.heal();
      Fleet.waitUntil(
          "all bytes arrive after healing", 10_000, () -> answered.toString().equals("123"));
      Assertions.assertFalse(closed[0]);
      proxy.breakConnections("a", "b");
      Fleet.waitUntil("it closed", 10_000, () -> closed[0]);
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }
}

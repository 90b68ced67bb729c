package review2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** The platform's list of instances, in one page. */
final class Platform implements AutoCloseable {
  private final HttpServer server;
  private volatile String instances = "";

  Platform(String address) throws IOException {
    String[] parts = address.split(":");
    server = HttpServer.create(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 50);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "platform");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/instances",
        exchange -> {
          byte[] body =
              ("{\"Instances\":[" + instances + "],\"NextPageToken\":null}")
                  .getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().add("Content-Type", "application/json");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
  }

  /** Sets the entries of the list, JSON objects separated by commas. */
  void list(String entries) {
    instances = entries;
  }

  static String entry(String service, String instance, String address, String zone) {
    return """
        {"BackendService":"%s","Address":"%s","Zone":"%s","Revision":"v1","SlotCount":32,\
        "LifecycleState":"ready","ColdRemainingMs":0,"InstanceId":"%s"}"""
        .formatted(service, address, zone, instance);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}

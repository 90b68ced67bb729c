package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/** A stand-in for the platform's API that lists the replicas; it can be down, slow or busy. */
final class ReplicaListServer implements AutoCloseable {
  private static final int SLOW_MS = 1500;

  final ActiveFaults faults = new ActiveFaults();
  private final List<SoakReplica> replicas;
  private final SocketServer server;

  ReplicaListServer(String host, List<SoakReplica> replicas) throws IOException {
    this.replicas = replicas;
    server = new SocketServer(host, "platform", this::handle);
    server.open();
  }

  String address() {
    return server.address();
  }

  private void handle(HttpMessage request, OutputStream out) throws IOException {
    if (faults.isActive(EventKind.PLATFORM_DOWN))
      throw new IOException("the list of replicas is down by a planned fault");
    if (faults.isActive(EventKind.PLATFORM_BUSY)) {
      SocketServer.writeAnswer(out, 429, "", "{}");
      return;
    }
    if (faults.isActive(EventKind.PLATFORM_SLOW)) DaemonThreads.pause(SLOW_MS);
    JsonArray instances = new JsonArray();
    for (SoakReplica replica : replicas) {
      JsonObject listed = replica.listEntry();
      if (listed != null) instances.add(listed);
    }
    SocketServer.writeAnswer(
        out,
        200,
        "",
        Json.object().add("Instances", instances).add("NextPageToken", Json.NULL).toString());
  }

  @Override
  public void close() {
    server.close();
  }
}

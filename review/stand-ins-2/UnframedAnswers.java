package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: replicas whose answers lack a length and end with their connection. Every answer is sent
 * whole and ends with a FIN, never a reset.
 */
public final class UnframedAnswers {
  private static final int REQUESTS = 40, AT_STOP = 5;
  private static final int LOST_ALLOWED = 3;
  private static final String BODY = "{\"lot\":\"" + "x".repeat(780) + "\"}";

  private UnframedAnswers() {}

  private static final class Replica implements AutoCloseable {
    final ServerSocket server;
    final String instance;
    final Fleet fleet;
    final boolean unframed;
    final AtomicInteger ran = new AtomicInteger(), answeredWhole = new AtomicInteger();

    Replica(Fleet fleet, String ip, String instance, boolean unframed) throws IOException {
      this.fleet = fleet;
      this.instance = instance;
      this.unframed = unframed;
      server = new ServerSocket(8080, 50, InetAddress.getByName(ip));
      Thread accepting = new Thread(this::accept, instance);
      accepting.setDaemon(true);
      accepting.start();
    }

    private void accept() {
      while (!server.isClosed())
        try {
          Socket socket = server.accept();
          Thread thread = new Thread(() -> serve(socket), instance);
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
    }

    private void serve(Socket socket) {
      try (socket) {
        for (String head = Fleet.readHead(socket); head != null; head = Fleet.readHead(socket)) {
          String length = Fleet.header(head, "Content-Length");
          if (length != null) socket.getInputStream().readNBytes(Integer.parseInt(length));
          String id = Fleet.header(head, "X-Gladelug-Request-Id");
          ran.incrementAndGet();
          fleet.log("replica " + instance + " runs " + id);
          boolean late = head.startsWith("POST /c/late ");
          Thread.sleep(late ? 800 : 20);
          boolean plain = unframed && (late || head.startsWith("POST /c/plain "));
          String answer =
              "HTTP/1.1 200 OK\r\nX-Gladelug-Request-Id: "
                  + id
                  + "\r\nX-Gladelug-Server-Seal: seal-"
                  + id
                  + "\r\nContent-Type: application/json\r\n"
                  + (plain ? "Connection: close\r\n" : "Content-Length: " + BODY.length() + "\r\n")
                  + "\r\n"
                  + BODY;
          socket.getOutputStream().write(Fleet.utf8(answer));
          socket.getOutputStream().flush();
          answeredWhole.incrementAndGet();
          fleet.log("replica " + instance + " has sent its whole answer to " + id);
          if (!plain) continue;
          // an orderly end: FIN, then wait for the other side to close
          socket.shutdownOutput();
          socket.setSoTimeout(2000);
          while (socket.getInputStream().read() >= 0) {
            // nothing more is expected
          }
          return;
        }
      } catch (IOException | InterruptedException e) {
        fleet.log("replica " + instance + ": " + e);
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** Reads one answer; returns what the client sees of it. */
  private static String readAnswer(Socket socket) throws IOException {
    String head = Fleet.readHead(socket);
    if (head == null) return "closed without an answer";
    String status = head.split(" ")[1];
    String length = Fleet.header(head, "Content-Length");
    if (length != null) {
      int wanted = Integer.parseInt(length);
      byte[] body = socket.getInputStream().readNBytes(wanted);
      return body.length < wanted
          ? "closed within an answer " + status
          : "answer " + status + (new String(body).equals(BODY) ? " whole" : " " + new String(body));
    }
    int bytes = 0;
    while (true) {
      StringBuilder size = new StringBuilder();
      for (int c = socket.getInputStream().read(); c != '\n'; c = socket.getInputStream().read()) {
        if (c < 0) return "closed within an answer " + status + " after " + bytes + " bytes of its body";
        if (c != '\r') size.append((char) c);
      }
      int chunk = Integer.parseInt(size.toString().trim(), 16);
      bytes += socket.getInputStream().readNBytes(chunk).length;
      socket.getInputStream().readNBytes(2);
      if (chunk == 0) return "answer " + status + (bytes == BODY.length() ? " whole" : " of " + bytes);
    }
  }

  /** Arguments: root of the project, record file, 1 with the disruption or 0 without. */
  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0]), Path.of(args[1]), args[2].equals("1")));
  }

  private static int run(Path root, Path recordFile, boolean trouble) throws Exception {
    int lost = 0, whole = 0, other = 0, first = 0;
    try (Fleet fleet = new Fleet(root, recordFile, 1, 2, 3);
        Platform platform = new Platform(fleet.platform());
        Replica a = new Replica(fleet, fleet.net + "11", "i-a", trouble);
        Replica b = new Replica(fleet, fleet.net + "12", "i-b", trouble)) {
      platform.list(
          Platform.entry("cards", "i-a", fleet.net + "11:8080", "z1")
              + ","
              + Platform.entry("cards", "i-b", fleet.net + "12:8080", "z2"));
      for (int i = 1; i <= Fleet.MACHINES; i++) fleet.start(i, "second", true);
      fleet.start(1, "relay", true);
      Process stopping = fleet.start(2, "relay", true);
      fleet.start(3, "relay", true);
      if (!fleet.untilAcknowledged("PUT", "/-/config", "0", Fleet.CARDS_CONFIGURATION, 30_000)
          || !fleet.ready(1, 20_000)
          || !fleet.ready(2, 20_000)) {
        fleet.log("the fleet did not come up");
        return 2;
      }
      Thread.sleep(4000);
      fleet.log("calm for longer than ContactMs; traffic begins");
      Socket socket = null;
      for (int i = 0; i < REQUESTS; i++) {
        if (socket == null || socket.isClosed()) socket = fleet.connect(1);
        String id = "first-" + i;
        send(fleet, socket, "/c/framed", id);
        String seen = readAnswer(socket);
        fleet.log("client sees of " + id + ": " + seen);
        if (!seen.endsWith("200 whole")) {
          socket.close();
          Thread.sleep(200);
          continue;
        }
        first++;
        id = "second-" + i;
        send(fleet, socket, "/c/plain", id);
        seen = readAnswer(socket);
        fleet.log("client sees of " + id + ", sent on the same kept connection: " + seen);
        if (seen.startsWith("closed")) {
          lost++;
          socket.close();
        } else if (seen.endsWith("200 whole")) whole++;
        else other++;
        Thread.sleep(150);
      }
      int lostAtStop = cutDuringStop(fleet, stopping);
      String result =
          String.format(
              "%d requests sent on kept connections after a first one; replicas ran %d of all %d and"
                  + " answered %d whole; of the %d the client has %d whole answers, %d connections"
                  + " closed within the answer, %d other answers; at the relay that was stopped in"
                  + " order %d of %d ended without a complete answer",
              first,
              a.ran.get() + b.ran.get(),
              first + REQUESTS + 2 * AT_STOP,
              a.answeredWhole.get() + b.answeredWhole.get(),
              first,
              whole,
              lost,
              other,
              lostAtStop,
              AT_STOP);
      fleet.log(result);
      System.out.println(result);
      if (first == 0) return 2;
      return lost > LOST_ALLOWED || lostAtStop > 0 ? 1 : 0;
    }
  }

  /**
   * Sends requests on kept connections to the relay of machine 2, stops that relay with SIGTERM while
   * the replicas are at work, and returns how many connections end without a complete answer.
   */
  private static int cutDuringStop(Fleet fleet, Process relay) throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < AT_STOP; i++) {
      Socket socket = fleet.connect(2);
      send(fleet, socket, "/c/framed", "stop-first-" + i);
      fleet.log("client sees of stop-first-" + i + ": " + readAnswer(socket));
      sockets.add(socket);
    }
    for (int i = 0; i < AT_STOP; i++) send(fleet, sockets.get(i), "/c/late", "stop-" + i);
    Thread.sleep(300);
    relay.destroy();
    fleet.log("SIGTERM to the relay of machine 2");
    int lost = 0;
    for (int i = 0; i < AT_STOP; i++) {
      String seen = readAnswer(sockets.get(i));
      fleet.log("client sees of stop-" + i + ": " + seen);
      if (seen.startsWith("closed")) lost++;
      sockets.get(i).close();
    }
    return lost;
  }

  private static void send(Fleet fleet, Socket socket, String path, String id) throws IOException {
    socket
        .getOutputStream()
        .write(
            Fleet.utf8(
                "POST "
                    + path
                    + " HTTP/1.1\r\nHost: a.example\r\nX-Gladelug-Request-Id: "
                    + id
                    + "\r\nX-Gladelug-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"));
    fleet.log("client sends " + id);
  }
}

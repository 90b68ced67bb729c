package gladelug.emulator.soak;

import gladelug.emulator.soak.SoakLedger.Call;
import gladelug.emulator.soak.SoakLedger.End;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * The clients of a soak test. Each reuses its connection until it is closed, whatever happens to
 * the machine at the other end. Some clients give up, some read slowly and some send large bodies.
 * New connections go to the machines that the load balancer considers ready.
 */
final class SoakClients {
  /** How long after its deadline a request without a complete answer counts as unanswered. */
  static final int SILENT_AFTER_DEADLINE_MS = 4000;

  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final int GIVES_UP_ONE_IN = 25;
  private static final int READS_SLOWLY_ONE_IN = 30;
  private static final int OLD_KEY_ONE_IN = 15;
  private static final int SLOW_READ_PAUSE_MS = 20;
  private static final int MAX_PAUSE_MS = 120;
  private static final int SHARED_PROMPTS = 6;

  private final SoakLedger ledger;
  private final SoakMachines machines;
  private final ClientLoadBalancer loadBalancer;
  private final Supplier<ConfigurationModel> configuration;
  private final ExecutorService burstExecutor = DaemonThreads.pool("burst");
  private final AtomicLong lastRequestNumber = new AtomicLong();
  private volatile byte[] largeBodyRest = {};
  private volatile boolean stopped;

  SoakClients(
      SoakLedger ledger,
      SoakMachines machines,
      ClientLoadBalancer loadBalancer,
      Supplier<ConfigurationModel> configuration) {
    this.ledger = ledger;
    this.machines = machines;
    this.loadBalancer = loadBalancer;
    this.configuration = configuration;
  }

  void start(int clients, long seed) {
    for (int i = 0; i < clients; i++) {
      Random random = new Random(seed * 1000 + i);
      DaemonThreads.start("client " + i, () -> runClient(random));
    }
  }

  void stop() {
    stopped = true;
  }

  /** Sends many requests at once, each on a new connection. */
  void sendBurst(int requests, RequestKind kind, long seed) {
    for (int i = 0; i < requests; i++) {
      Random random = new Random(seed * 7919 + i);
      burstExecutor.execute(
          () -> {
            try (Connection connection = new Connection(loadBalancer.pickMachine(random))) {
              connection.sendRequest(kind, random, false);
            } catch (IOException e) {
              // no request was sent, as the machine can't be reached
            }
          });
    }
  }

  /**
   * Returns the zero bytes that fill a body up to the maximum size; all requests share the array.
   */
  private byte[] largeBodyRest(int firstLength) {
    int length = configuration.get().maxBodyBytes() - firstLength;
    if (largeBodyRest.length != length) largeBodyRest = new byte[length];
    return largeBodyRest;
  }

  private void runClient(Random random) {
    while (!stopped) {
      try (Connection connection = new Connection(loadBalancer.pickMachine(random))) {
        while (!stopped && connection.sendRequest(drawKind(random), random, true))
          DaemonThreads.pause(random.nextInt(MAX_PAUSE_MS));
      } catch (IOException e) {
        DaemonThreads.pause(200);
      }
    }
  }

  private static RequestKind drawKind(Random random) {
    int draw = random.nextInt(100);
    if (draw < 35) return RequestKind.ASK;
    if (draw < 60) return RequestKind.READ;
    if (draw < 88) return RequestKind.STREAM;
    return draw < 98 ? RequestKind.LONG_STREAM : RequestKind.UPLOAD;
  }

  /** One connection of a client. */
  private final class Connection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final int machine;
    private final InputStream in;

    Connection(int machine) throws IOException {
      this.machine = machine;
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(machines.address(machine), machines.frontendPort()),
          CONNECT_TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 13);
    }

    /** Sends a request and waits for its end; returns whether the connection can be reused. */
    boolean sendRequest(RequestKind kind, Random random, boolean mayGiveUp) {
      Call call = newCall(kind, random);
      byte[] idBytes = call.id.getBytes(StandardCharsets.US_ASCII);
      byte[] bodyRest = kind == RequestKind.UPLOAD ? largeBodyRest(idBytes.length) : new byte[300];
      call.bodyDigest = HttpMessage.digest(idBytes, bodyRest);
      ledger.recordCall(call);
      long giveUpAfterMs =
          mayGiveUp && random.nextInt(GIVES_UP_ONE_IN) == 0 ? 20 + random.nextInt(1500) : -1;
      boolean readsSlowly = random.nextInt(READS_SLOWLY_ONE_IN) == 0;
      try {
        write(call, idBytes, bodyRest, random);
        call.writtenAtMs = ledger.nowMs();
        return readAnswer(call, giveUpAfterMs, readsSlowly);
      } catch (ClientGaveUpException e) {
        end(call, End.GIVEN_UP);
      } catch (SocketTimeoutException e) {
        end(call, giveUpAfterMs >= 0 ? End.GIVEN_UP : End.SILENT);
      } catch (IOException | NumberFormatException e) {
        end(call, call.writtenAtMs < 0 ? End.NOT_SENT : End.CUT);
      }
      return false;
    }

    private Call newCall(RequestKind kind, Random random) {
      String tenant = ConfigurationModel.tenantName(1 + random.nextInt(SoakPlan.TENANTS));
      ConfigurationModel.Tenant known = configuration.get().tenants().get(tenant);
      String key = known == null ? "key-of-nobody" : known.key();
      if (random.nextInt(OLD_KEY_ONE_IN) == 0) key = ConfigurationModel.keyBefore(key);
      return new Call(
          "r" + lastRequestNumber.incrementAndGet(),
          tenant,
          key,
          kind,
          machine,
          ledger.nowMs(),
          kind.deadlineMs);
    }

    private void write(Call call, byte[] idBytes, byte[] bodyRest, Random random)
        throws IOException {
      OutputStream out = socket.getOutputStream();
      String head =
          "POST "
              + call.kind.path
              + "x HTTP/1.1\r\nHost: "
              + ConfigurationModel.HOST
              + "\r\nX-Gladelug-Request-Id: "
              + call.id
              + "\r\nX-Gladelug-Model: "
              + ConfigurationModel.MODEL
              + "\r\nX-Gladelug-Token-Usage: 900,80\r\nX-Gladelug-Prompt-Prefix: "
              + promptPrefix(call, random)
              + "\r\nX-Gladelug-Deadline-Ms: "
              + call.deadlineMs
              + "\r\nX-Gladelug-Credential: "
              + call.key
              + "\r\nX-Gladelug-Cache-Salt: of-the-client\r\nContent-Length: "
              + (idBytes.length + bodyRest.length)
              + "\r\n";
      HttpMessage.write(out, head, idBytes);
      out.write(bodyRest);
      out.flush();
    }

    /**
     * Returns a prompt prefix of two parts that all tenants use and one that is unique to the
     * request.
     */
    private String promptPrefix(Call call, Random random) {
      int shared = random.nextInt(SHARED_PROMPTS);
      return String.format(
          "5c1e%04x:400,91bd%04x:300,%08x:200", shared, shared * 3, call.id.hashCode());
    }

    private boolean readAnswer(Call call, long giveUpAfterMs, boolean readsSlowly)
        throws IOException {
      long silentAtMs = call.sentAtMs + call.deadlineMs + SILENT_AFTER_DEADLINE_MS;
      long readUntilMs = giveUpAfterMs < 0 ? silentAtMs : call.sentAtMs + giveUpAfterMs;
      setReadTimeout(readUntilMs);
      HttpMessage answer =
          HttpMessage.read(
              in,
              (bytes, length) -> {
                if (giveUpAfterMs >= 0 && ledger.nowMs() >= readUntilMs)
                  throw new ClientGaveUpException();
                if (readsSlowly) DaemonThreads.pause(SLOW_READ_PAUSE_MS);
                setReadTimeout(readUntilMs);
              },
              HttpMessage.MAX_KEPT_BODY_BYTES);
      if (answer == null) throw new IOException("connection closed before an answer");
      call.status = answer.status();
      call.seal = answer.header("X-Gladelug-Server-Seal");
      call.echoedId = answer.header("X-Gladelug-Request-Id");
      if (!answer.complete()) {
        end(call, incompleteEnd(readUntilMs, giveUpAfterMs));
        return false;
      }
      if (call.status >= 200 && call.status < 300)
        call.bodyProblem = describeWrongBody(call, answer);
      end(call, End.ANSWERED);
      return !answer.header("Connection").equalsIgnoreCase("close");
    }

    private End incompleteEnd(long readUntilMs, long giveUpAfterMs) {
      if (ledger.nowMs() < readUntilMs) return End.CUT;
      return giveUpAfterMs >= 0 ? End.GIVEN_UP : End.SILENT;
    }

    private void setReadTimeout(long readUntilMs) throws IOException {
      socket.setSoTimeout((int) Math.max(1, readUntilMs - ledger.nowMs()));
    }

    private static String describeWrongBody(Call call, HttpMessage answer) {
      if (call.kind.eventCount == 0)
        return Arrays.equals(answer.body(), SoakReplica.expectedBody(call.id))
            ? ""
            : answer.body().length + " bytes that differ from the replica's answer";
      StringBuilder expected = new StringBuilder();
      for (int number = 1; number <= call.kind.eventCount; number++)
        expected.append(SoakReplica.expectedEvent(call.id, number));
      return answer.text().contentEquals(expected)
          ? ""
          : "events that are incomplete, out of order or differ from the replica's";
    }

    private void end(Call call, End end) {
      call.endedAtMs = ledger.nowMs();
      call.end = end;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Thrown when a client gives up before the end of the answer. */
  private static final class ClientGaveUpException extends IOException {
    private static final long serialVersionUID = 1;
  }
}

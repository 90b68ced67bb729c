import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients of one zone at once send bodies as long as the configuration allows. */
final class Bodies {
  private static final int CLIENTS = 64;

  /** How many send at once where there is no disruption. */
  private static final int FEW = 4;

  private static final byte[] BODY = new byte[Deployment.MAX_BODY];

  private static final int TIMEOUT_MS = 20000;

  /** After RequestTimeoutMs a final answer may take this long (rule CONFIG). */
  private static final int LATE_MS = 500;

  /** So many without a final answer, and over a quarter, break the rule. */
  private static final int MOST = 8;

  private final Stage stage;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger notSent = new AtomicInteger();

  private Bodies(Stage stage) {
    this.stage = stage;
  }

  static int play(Stage stage, boolean trouble) throws Exception {
    Replica replica =
        new Replica(stage.ip(50), "i-7f3a91c2", Deployment.SERVICE, Deployment.MODEL, stage.record,
            (id, tenant, part, maker, by) -> {});
    replica.workMs = 200;
    stage.instances = () -> List.of(replica.listed("ready", "zone-1"));
    stage.startAll();
    List<String> routes = List.of(Deployment.route("r-1", "/lohu930/", "safe", false));
    String text =
        Deployment.configuration(5, List.of(new Deployment.Tenant("kaje80", false)), routes);
    if (!stage.configure(5, 0, text, 30) || !stage.waitReady(20, 1, 2, 3)) return Case.NOT_RUN;
    // ContactMs
    Stage.sleep(3500);
    return new Bodies(stage).judge(trouble ? CLIENTS : FEW);
  }

  private int judge(int atOnce) throws InterruptedException {
    Semaphore places = new Semaphore(atOnce);
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int c = 0; c < CLIENTS; c++) {
      int n = c;
      Stage.daemon(
          "client",
          () -> {
            places.acquire();
            stage.record.add("request big-" + n + " " + ask(n));
            places.release();
            done.countDown();
          });
    }
    if (!done.await(80, TimeUnit.SECONDS)) return Case.NOT_RUN;
    stage.record.add(served + " served, " + refused + " refused, " + closed + " closed, " + unanswered
        + " sent whole and without an answer " + (TIMEOUT_MS + LATE_MS) + " ms later, " + notSent
        + " not sent whole");
    stage.record.add("machine 1 counts as ready: " + stage.ready(1));
    // those that were answered did not last until RequestTimeoutMs, so the rest is all that did
    return unanswered.get() >= MOST ? Case.BROKEN : Case.HELD;
  }

  /** One request on a connection of its own; what became of it. */
  private String ask(int n) {
    boolean sent = false;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(stage.ip(1), stage.frontend), 1000);
      OutputStream out = s.getOutputStream();
      String head = Deployment.head("big-" + n, "/lohu930/2f", "kaje80", "5c1e07a2:800", TIMEOUT_MS);
      Http.write(out, head + "Content-Length: " + BODY.length + "\r\n", new byte[0]);
      out.write(BODY);
      sent = true;
      stage.record.add("request big-" + n + " is sent whole");
      s.setSoTimeout(TIMEOUT_MS + LATE_MS);
      InputStream in = Http.buffered(s.getInputStream());
      Http.Message m = Http.read(in);
      if (m == null || !m.whole()) {
        closed.incrementAndGet();
        return "was closed";
      }
      (m.status() == 200 ? served : refused).incrementAndGet();
      return "answered " + m.line() + " " + m.text();
    } catch (SocketTimeoutException e) {
      unanswered.incrementAndGet();
      return "has no answer, and its connection is open";
    } catch (Exception e) {
      (sent ? closed : notSent).incrementAndGet();
      return "ended: " + e;
    }
  }
}

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of two replicas spoils one of its answers; other clients of the same machine go on. */
final class SpoiltAnswer {
  private static final int TIMEOUT_MS = 4000;

  /** After RequestTimeoutMs a final answer may take this long (rule CONFIG). */
  private static final int LATE_MS = 500;

  /** So many without a final answer, and over a quarter, break the rule. */
  private static final int MOST = 8;

  private static final int BEFORE = 120;
  private static final int DURING = 80;
  private static final int PAUSE_MS = 75;
  private static final int WORK_MS = 300;

  private final Stage stage;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();

  private SpoiltAnswer(Stage stage) {
    this.stage = stage;
  }

  static int play(Stage stage, boolean trouble) throws Exception {
    Replica.Finding none = (id, tenant, part, maker, by) -> {};
    Replica a = new Replica(stage.ip(50), "i-7f3a91c2", Deployment.SERVICE, Deployment.MODEL,
        stage.record, none);
    Replica b = new Replica(stage.ip(51), "i-7f3a91c3", Deployment.SERVICE, Deployment.MODEL,
        stage.record, none);
    a.workMs = WORK_MS;
    b.workMs = WORK_MS;
    stage.instances = () -> List.of(a.listed("ready", "zone-1"), b.listed("ready", "zone-2"));
    stage.startAll();
    String route = Deployment.route("r-1", "/lohu930/", "streaming", false);
    String text =
        Deployment.configuration(5, List.of(new Deployment.Tenant("kaje80", false)),
            List.of(route.replace("\"RequestTimeoutMs\":20000", "\"RequestTimeoutMs\":" + TIMEOUT_MS)));
    if (!stage.configure(5, 0, text, 30) || !stage.waitReady(20, 1, 2, 3)) return Case.NOT_RUN;
    // ContactMs
    Stage.sleep(3500);
    SpoiltAnswer before = new SpoiltAnswer(stage);
    before.send("before", BEFORE).await(20, TimeUnit.SECONDS);
    stage.record.add("before: " + before.told() + "; " + a.instance + " ran " + a.ran + ", "
        + b.instance + " ran " + b.ran);
    Replica busier = a.ran >= b.ran ? a : b;
    // one spoilt answer is then under 0.03 of its answers
    if (before.served.get() < BEFORE * 9 / 10 || busier.ran < 34) return Case.NOT_RUN;
    SpoiltAnswer during = new SpoiltAnswer(stage);
    if (trouble) busier.spoilsNext.set(true);
    during.send("during", DURING).await(30, TimeUnit.SECONDS);
    stage.record.add("with one spoilt answer: " + during.told());
    Stage.sleep(3000);
    stage.record.add("later machine 1 counts as ready: " + stage.ready(1));
    // those that were answered did not last until RequestTimeoutMs, so the rest is all that did
    return during.unanswered.get() >= MOST ? Case.BROKEN : Case.HELD;
  }

  private String told() {
    return served + " served, " + other + " refused or closed, " + unanswered
        + " without a final answer " + (TIMEOUT_MS + LATE_MS) + " ms after they were sent";
  }

  private CountDownLatch send(String name, int many) {
    CountDownLatch done = new CountDownLatch(many);
    for (int i = 0; i < many; i++) {
      String id = name + "-" + i;
      Stage.daemon(
          "client",
          () -> {
            ask(id);
            done.countDown();
          });
      Stage.sleep(PAUSE_MS);
    }
    return done;
  }

  private void ask(String id) {
    long from = System.nanoTime();
    stage.record.add("request " + id + " is sent");
    Http.Message m =
        stage.call(stage.ip(1), stage.frontend,
            Deployment.head(id, "/lohu930/2f", "kaje80", "5c1e07a2:800", TIMEOUT_MS), new byte[100],
            TIMEOUT_MS + LATE_MS);
    long ms = (System.nanoTime() - from) / 1_000_000;
    stage.record.add("request " + id + " has " + (m == null ? "no whole answer" : m.line()) + " after "
        + ms + " ms");
    if (m != null && m.status() == 200) served.incrementAndGet();
    else if (m == null && ms >= TIMEOUT_MS + LATE_MS) unanswered.incrementAndGet();
    else other.incrementAndGet();
  }
}

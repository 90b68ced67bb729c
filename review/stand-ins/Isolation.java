import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant becomes isolated by a new configuration; what it made before lies at the replica. */
final class Isolation {
  private static final String PARTS = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";

  private Isolation() {}

  static int play(Stage stage, boolean trouble) throws Exception {
    AtomicInteger foreign = new AtomicInteger();
    boolean[] isolated = {false};
    Replica replica =
        new Replica(stage.ip(50), "i-7f3a91c2", Deployment.SERVICE, Deployment.MODEL, stage.record,
            (id, tenant, part, maker, by) -> {
              if (isolated[0] && !tenant.equals(maker)
                  && (tenant.equals("kaje80") || maker.equals("kaje80")))
                foreign.incrementAndGet();
            });
    stage.instances = () -> List.of(replica.listed("ready", "zone-1"));
    stage.startAll();
    List<String> routes = List.of(Deployment.route("r-1", "/lohu930/", "streaming", false));
    if (!stage.configure(5, 0, configuration(5, false, routes), 30) || !stage.waitReady(20, 1, 2, 3))
      return Case.NOT_RUN;
    if (!ask(stage, "a1", "kaje80")) return Case.NOT_RUN;
    if (!stage.configure(7, 5, configuration(7, trouble, routes), 10)) return Case.NOT_RUN;
    isolated[0] = trouble;
    // ConfigApplyMs, and as much again
    Stage.sleep(4000);
    for (int i = 1; i <= 5; i++) if (!ask(stage, "b" + i, "hule930")) return Case.NOT_RUN;
    for (int i = 2; i <= 3; i++) if (!ask(stage, "a" + i, "kaje80")) return Case.NOT_RUN;
    stage.record.add(foreign + " parts of another tenant were used where one was isolated");
    return foreign.get() > 0 ? Case.BROKEN : Case.HELD;
  }

  private static String configuration(long revision, boolean isolated, List<String> routes) {
    return Deployment.configuration(
        revision,
        List.of(new Deployment.Tenant("kaje80", isolated), new Deployment.Tenant("hule930", false)),
        routes);
  }

  private static boolean ask(Stage stage, String id, String tenant) {
    for (int i = 0; i < 20; i++) {
      Http.Message m =
          stage.call(stage.ip(1 + i % 3), stage.frontend,
              Deployment.head(id + "-" + i, "/lohu930/2f", tenant, PARTS, 6000), new byte[100], 6000);
      stage.record.add("request " + id + "-" + i + " of " + tenant + " answered "
          + (m == null ? "nothing" : m.line() + " " + m.text()));
      if (m != null && m.status() == 200) return true;
      Stage.sleep(300);
    }
    return false;
  }
}

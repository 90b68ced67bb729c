import java.util.ArrayList;
import java.util.List;

/**
 * The configuration grows by many routes, change by change, and is then changed on; at the end it is
 * read back, and clients send requests.
 */
final class LargeConfiguration {
  /** What a big_config adds at the most on the site njia-plan. */
  private static final int ROUTES_A_CHANGE = 350;

  /** As large as the product says that it takes: 5 MB. */
  private static final int MOST_BYTES = 5_000_000;

  private static final int GROWTHS = 22;

  /** A fleet whose configuration has grown long. */
  private static final int ROUTES_AT_FIRST = 10000;
  private static final int CHANGES = 25;
  private static final double CHANGES_END_S = 68;

  /** How long it is read back: RecoveryS, which is longer than ContactMs. */
  private static final double READ_S = 12;

  private LargeConfiguration() {}

  static int play(Stage stage, boolean trouble) throws Exception {
    Replica replica =
        new Replica(stage.ip(50), "i-7f3a91c2", Deployment.SERVICE, Deployment.MODEL, stage.record,
            (id, tenant, part, maker, by) -> {});
    stage.instances = () -> List.of(replica.listed("ready", "zone-1"));
    stage.startAll();
    List<String> routes = new ArrayList<>();
    routes.add(Deployment.route("r-1", "/lohu930/", "safe", false));
    if (trouble) grow(routes, ROUTES_AT_FIRST);
    List<Deployment.Tenant> tenants = List.of(new Deployment.Tenant("kaje80", false));
    long revision = 5;
    if (!stage.configure(revision, 0, Deployment.configuration(revision, tenants, routes), 30)
        || !stage.waitReady(20, 1, 2, 3)) return Case.NOT_RUN;
    if (served(stage, "before", 6) < 6) return Case.NOT_RUN;
    boolean taken = true;
    for (int i = 0; i < GROWTHS + CHANGES && taken && stage.record.seconds() < CHANGES_END_S; i++) {
      if (i < GROWTHS) grow(routes, trouble ? ROUTES_A_CHANGE : 2);
      else routes.set(0, Deployment.route("r-1", "/lohu930/", i % 2 == 0 ? "unsafe" : "safe", false));
      String text = Deployment.configuration(revision + 2, tenants, routes);
      if (text.length() > MOST_BYTES) return Case.NOT_RUN;
      stage.record.add("configuration " + (revision + 2) + " on " + revision + ": " + routes.size()
          + " routes, " + text.length() + " bytes");
      // an operator sends what got no clear answer again, as it was
      do taken = stage.configure(revision + 2, revision, text, 6);
      while (!taken && stage.record.seconds() < CHANGES_END_S);
      if (taken) revision += 2;
      Stage.sleep(50);
    }
    // ContactMs, twice, before anything is judged
    Stage.sleep(6000);
    long read = readBack(stage);
    int served = served(stage, "after", 6);
    stage.record.add("newest acknowledged " + revision + ", read back "
        + (read < 0 ? "nothing in " + READ_S + " s" : String.valueOf(read)) + ", of 6 requests "
        + served + " were served");
    for (Stage.Node n : stage.nodes.values())
      stage.record.add(n.name + " " + n.role + (n.process.isAlive() ? " runs" : " has ended"));
    return read < revision ? Case.BROKEN : Case.HELD;
  }

  private static void grow(List<String> routes, int by) {
    for (int i = 0; i < by; i++) {
      int n = routes.size();
      routes.add(Deployment.route("m-" + n, "/more" + n + "/", "safe", false));
    }
  }

  /** Asks one node after the other for the configuration, for a while; its version, or -1. */
  private static long readBack(Stage stage) {
    double until = stage.record.seconds() + READ_S;
    for (int i = 0; stage.record.seconds() < until; i++) {
      Http.Message m = stage.call(stage.ip(1 + i % Stage.MACHINES), stage.control,
          "GET /-/config HTTP/1.1\r\nHost: control\r\n", new byte[0], 2000);
      stage.record.add("read of the configuration at machine " + (1 + i % Stage.MACHINES) + " answered "
          + (m == null ? "nothing" : m.line()));
      if (m != null && m.status() == 200)
        return Long.parseLong(m.text().replaceAll("(?s)^\\{\"Revision\":(\\d+),.*", "$1"));
      Stage.sleep(300);
    }
    return -1;
  }

  private static int served(Stage stage, String name, int many) {
    int served = 0;
    for (int i = 0; i < many; i++) {
      Http.Message m =
          stage.call(stage.ip(1 + i % Stage.MACHINES), stage.frontend,
              Deployment.head(name + "-" + i, "/lohu930/2f", "kaje80", "5c1e07a2:800,abcd:410", 3000),
              new byte[100], 1500);
      stage.record.add("request " + name + "-" + i + " answered "
          + (m == null ? "nothing" : m.line() + " " + m.text()));
      if (m != null && m.status() == 200) served++;
    }
    return served;
  }
}

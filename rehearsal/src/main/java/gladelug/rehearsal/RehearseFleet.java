/*
 * The tool rehearse-fleet: starts a whole fleet on this machine, loads it at a deployment's rates,
 * breaks things on the way, and prints what the stand-ins' ledgers say. Never deployed.
 */
package gladelug.rehearsal;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.WriterConfig;
import gladelug.kernel.Program;
import gladelug.rehearsal.check.ModelCheck;
import gladelug.rehearsal.control.ControlDay;
import gladelug.rehearsal.control.ControlTroubles;
import gladelug.rehearsal.scale.ScalePlan;
import gladelug.rehearsal.scale.ScaleRun;
import gladelug.rehearsal.sim.RequestSim;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

public final class RehearseFleet {
  private static final String[] CHOICES = {"summary", "least-occupancy", "holder-always"};

  private RehearseFleet() {}

  public static void main(String[] args) throws Exception {
    ArgumentParser ap =
        ArgumentParsers.newFor("rehearse-fleet")
            .build()
            .defaultHelp(true)
            .description("Runs a whole fleet on one machine with stand-ins around it.");
    var subs = ap.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    Subparser p =
        subs.addParser("run").help("load a fleet, kill parts of it, judge from the ledgers");
    p.addArgument("--deployment").choices("safari-njia", "moka-ridge").setDefault("safari-njia");
    p.addArgument("--seconds").type(Integer.class).setDefault(60);
    p.addArgument("--seed").type(Long.class).setDefault(1L);
    p.addArgument("--kills").choices("yes", "no").setDefault("yes");
    p.addArgument("--choice").choices(CHOICES).setDefault("summary");
    p.addArgument("--rate").type(Double.class).setDefault(1.0).help("times the brief's rates");
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("day")
            .help(
                "a seeded day: everything that may fail, one after the other, and a judgement per must-never");
    p.addArgument("--deployment").choices("safari-njia", "moka-ridge").setDefault("safari-njia");
    p.addArgument("--seed").type(Long.class).setDefault(1L);
    p.addArgument("--point")
        .type(Integer.class)
        .choices(Arguments.range(1, ControlTroubles.COUNT))
        .help(
            "a day of the control side instead: 1 a long cut, 2 racing operators, 3 replacements in turn, "
                + "4 hundreds of changes, 5 resets");
    p.addArgument("--each").type(Integer.class).setDefault(5).help("seconds an episode lasts");
    p.addArgument("--rate").type(Double.class).setDefault(1.0).help("times the brief's rates");
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("compare")
            .help(
                "the three ways of choosing a replica, turn about, several rounds, from the same seeds");
    p.addArgument("--deployment").choices("safari-njia", "moka-ridge").setDefault("safari-njia");
    p.addArgument("--seconds").type(Integer.class).setDefault(15);
    p.addArgument("--rounds").type(Integer.class).setDefault(3);
    p.addArgument("--rate").type(Double.class).setDefault(1.0).help("times the brief's rates");
    p.addArgument("--link-factor")
        .type(Double.class)
        .setDefault(1.0)
        .help("how much slower links between replicas are");
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("stand-ins")
            .help(
                "only the stand-ins: a platform with two replicas, a store and an application, to try the programs "
                    + "by hand");
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("weights")
            .help("how long a roll to new weights takes under load, and what it costs callers");
    p.addArgument("--deployment").choices("safari-njia", "moka-ridge").setDefault("safari-njia");
    p.addArgument("--out").setDefault("rehearsal-out");
    p = subs.addParser("table").help("the Cuckoo Summary by itself against wider buckets");
    p.addArgument("--rounds").type(Integer.class).setDefault(7);
    p.addArgument("--holders")
        .type(Integer.class)
        .setDefault(13)
        .help("others than 13 are compared to 13");
    p.addArgument("--shared")
        .type(Integer.class)
        .setDefault(300)
        .help("blocks that every holder keeps");
    p.addArgument("--own")
        .type(Integer.class)
        .setDefault(1500)
        .help("further blocks of each holder");
    p =
        subs.addParser("simulate")
            .help("stories of orders by seeds, in simulated time, each promise judged strictly");
    p.addArgument("--from").type(Long.class).setDefault(0L).help("the first seed");
    p.addArgument("--seeds").type(Integer.class).setDefault(1000);
    p.addArgument("--threads").type(Integer.class).setDefault(4);
    p =
        subs.addParser("shares")
            .help(
                "what tenants get of a full fleet, with and without the fleet-wide division, turn about");
    p.addArgument("--seconds").type(Integer.class).setDefault(15);
    p.addArgument("--rounds").type(Integer.class).setDefault(3);
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("scale")
            .help(
                "what each role takes as one size after the other grows, with hollow nodes and replicas");
    p.addArgument("--seed").type(Long.class).setDefault(1L);
    p.addArgument("--seconds")
        .type(Integer.class)
        .setDefault(10)
        .help("how long each point is measured");
    p.addArgument("--sizes")
        .setDefault("")
        .help("sizes to vary, separated by commas; all unless told");
    p.addArgument("--points")
        .action(Arguments.append())
        .setDefault(new ArrayList<String>())
        .metavar("SIZE=N,N,...")
        .help("other points of a size");
    p.addArgument("--roles")
        .setDefault("")
        .help("roles to tell of, separated by commas; all unless told");
    p.addArgument("--quick").action(Arguments.storeTrue()).help("two points a size");
    p.addArgument("--out").setDefault("rehearsal-out");
    p =
        subs.addParser("check")
            .help("random walks of the core's protocol under a model checker, each rule judged");
    p.addArgument("--members").type(Integer.class).choices(3, 5).setDefault(3);
    p.addArgument("--seed").type(Long.class).setDefault(0L).help("the first seed");
    p.addArgument("--walks").type(Integer.class).setDefault(100);
    p.addArgument("--steps").type(Integer.class).setDefault(3000).help("of each walk");
    p.addArgument("--without")
        .choices(ModelCheck.mutations())
        .setDefault("NONE")
        .help("a rule of the protocol switched off, to see that this is found");
    Namespace n = Program.parse(ap, args);
    if (n.getString("command").equals("check")) {
      ModelCheck.Options options =
          new ModelCheck.Options(
              n.getInt("members"), n.getLong("seed"), n.getInt("walks"), n.getInt("steps"));
      System.exit(ModelCheck.run(options, n.getString("without"), System.out::println) ? 0 : 1);
    }
    if (n.getString("command").equals("stand-ins")) {
      Fleet f =
          new Fleet(
              Deployment.small(14),
              Path.of(n.getString("out")).toAbsolutePath().resolve("stand-ins"),
              1,
              "summary");
      Path configuration = f.dir.resolve("configuration.json");
      Files.writeString(
          configuration,
          f.deployment.configuration(0, List.of()).toString(WriterConfig.PRETTY_PRINT));
      System.out.println(
          "platform "
              + f.platform.address()
              + "\nconfiguration "
              + configuration
              + "\nkey of tenant one: "
              + f.deployment.tenants().get(0).key()
              + "\nends with this process");
      Thread.currentThread().join();
    }
    if (n.getString("command").equals("weights")) {
      weights(Deployment.named(n.getString("deployment")), n.getString("out"));
      System.exit(0);
    }
    if (n.getString("command").equals("table")) {
      Table.measure(n.getInt("rounds"), n.getInt("holders"), n.getInt("shared"), n.getInt("own"));
      System.exit(0);
    }
    if (n.getString("command").equals("simulate")) {
      Logger.getLogger("").setLevel(Level.OFF);
      RequestSim.Stories t =
          RequestSim.stories(n.getLong("from"), n.getInt("seeds"), n.getInt("threads"));
      t.offenders.forEach(System.out::println);
      System.out.println(t + "\noffending seeds: " + t.offenders.size());
      System.exit(t.offenders.isEmpty() ? 0 : 1);
    }
    if (n.getString("command").equals("shares")) {
      Shares.measure(n.getString("out"), n.getInt("rounds"), n.getInt("seconds"));
      System.exit(0);
    }
    if (n.getString("command").equals("scale")) {
      Logger.getLogger("").setLevel(Level.WARNING);
      ScalePlan plan =
          Program.orExit(
              "rehearse-fleet",
              ScalePlan.of(
                  new ScalePlan.Options(
                      n.getLong("seed"),
                      n.getInt("seconds"),
                      n.getString("sizes"),
                      n.getList("points"),
                      n.getString("roles"),
                      n.getBoolean("quick")),
                  ScalePlan.machineMb()));
      new ScaleRun(
              plan,
              Path.of(n.getString("out"))
                  .toAbsolutePath()
                  .resolve("scale-" + plan.seed() + "-" + System.currentTimeMillis()),
              System.out::println)
          .run();
      System.exit(0);
    }
    if (n.getString("command").equals("day") && n.getInt("point") != null) {
      Logger.getLogger("").setLevel(Level.WARNING);
      System.exit(controlDay(n.getInt("point"), n.getLong("seed"), n.getString("out")) ? 0 : 1);
    }
    if (n.getString("command").equals("compare")) {
      compare(n);
      System.exit(0);
    }
    Logger.getLogger("").setLevel(Level.WARNING);
    Deployment d = Deployment.named(n.getString("deployment"));
    Path out =
        Path.of(n.getString("out"))
            .toAbsolutePath()
            .resolve(d.name() + "-" + n.getLong("seed") + "-" + System.currentTimeMillis());
    Files.createDirectories(out);
    boolean clean, day = n.getString("command").equals("day");
    try (Fleet f = new Fleet(d, out, n.getLong("seed"), day ? "summary" : n.getString("choice"))) {
      if (day)
        clean =
            new Day(f, n.getLong("seed"), n.getDouble("rate"))
                .play(n.getInt("each"), Integer.MAX_VALUE);
      else
        clean =
            run(
                f,
                n.getInt("seconds"),
                n.getLong("seed"),
                n.getString("kills").equals("yes"),
                n.getDouble("rate"));
    }
    System.out.println("logs: " + out);
    System.exit(clean ? 0 : 1);
  }

  /** One of the five days of the control side; true if no rule was broken. */
  private static boolean controlDay(int point, long seed, String base) throws Exception {
    Path out =
        Path.of(base)
            .toAbsolutePath()
            .resolve("control-" + point + "-" + seed + "-" + System.currentTimeMillis());
    try (Fleet fleet = new Fleet(ControlDay.deployment(), out, seed, "summary")) {
      boolean clean =
          new ControlDay(fleet, seed, System.out::println).play(ControlTroubles.of(point));
      System.out.println("logs: " + out);
      return clean;
    }
  }

  private static void weights(Deployment d, String base) throws Exception {
    Path out = Path.of(base).toAbsolutePath().resolve("weights-" + System.currentTimeMillis());
    try (Fleet f = new Fleet(d, out, 1, "summary")) {
      f.start();
      StandInCallers callers =
          new StandInCallers(f.vertx, f.ledger, f.callers, d.tenants(), d.kinds(), 1);
      callers.start();
      Fleet.pause(5000);
      long named = System.nanoTime() / 1_000_000;
      Fleet.Answer a = f.weights("w2");
      List<StandInReplica> models =
          f.replicas.values().stream().filter(r -> r.kind == StandInReplica.Kind.MODEL).toList();
      List<Long> moved = new ArrayList<>();
      while (moved.size() < models.size()) {
        long n = models.stream().filter(r -> r.weights().equals("w2")).count();
        while (moved.size() < n) moved.add(System.nanoTime() / 1_000_000 - named);
        if (System.nanoTime() / 1_000_000 - named > 40_000) break;
        Fleet.pause(20);
      }
      Fleet.pause(2000);
      callers.stop();
      Fleet.until("the last orders ended", 30_000, () -> callers.open() == 0);
      List<Ledger.Call> since =
          f.ledger.calls.values().stream().filter(c -> c.sent >= named).toList();
      long away = since.stream().filter(c -> !c.outcome.equals("complete")).count();
      long last =
          f.ledger.runs.values().stream()
              .flatMap(List::stream)
              .filter(r -> r.weights.equals("w1"))
              .mapToLong(r -> r.at - named)
              .max()
              .orElse(0);
      System.out.printf(
          Locale.ROOT,
          "naming answered %d; replicas on new weights after ms %s; last order begun on old ones after %d "
              + "ms; %d of %d orders not complete; p95 first piece %.0f ms%n",
          a.status(),
          moved,
          last,
          away,
          since.size(),
          at(
              since.stream()
                  .filter(c -> c.firstPiece >= 0)
                  .map(c -> c.firstPiece - c.sent)
                  .toList(),
              0.95));
    }
  }

  private static void compare(Namespace n) throws Exception {
    Map<String, List<double[]>> got = new TreeMap<>();
    for (int round = 1; round <= n.getInt("rounds"); round++)
      for (String c : CHOICES) {
        Deployment d = Deployment.named(n.getString("deployment"));
        Path out =
            Path.of(n.getString("out"))
                .toAbsolutePath()
                .resolve("compare-" + d.name() + "-" + c + "-" + System.currentTimeMillis());
        try (Fleet f = new Fleet(d, out, round, c)) {
          f.start();
          for (StandInReplica r : f.replicas.values())
            r.faults.linkFactor = n.getDouble("link_factor");
          StandInCallers callers =
              new StandInCallers(f.vertx, f.ledger, f.callers, d.tenants(), d.kinds(), round);
          callers.faster = n.getDouble("rate");
          callers.start();
          Fleet.pause(n.getInt("seconds") * 1000L);
          callers.stop();
          Fleet.until("the last orders ended", 30_000, () -> callers.open() == 0);
          long blocks = 0, computed = 0, fetched = 0;
          for (List<Ledger.Run> rs : f.ledger.runs.values())
            for (Ledger.Run r : rs) {
              blocks += r.blocks;
              computed += r.computed;
              fetched += r.fetched;
            }
          List<Long> first =
              f.ledger.calls.values().stream()
                  .filter(x -> x.firstPiece >= 0)
                  .map(x -> x.firstPiece - x.sent)
                  .toList();
          double complete =
              f.ledger.calls.values().stream().filter(x -> x.outcome.equals("complete")).count()
                  / (double) f.ledger.calls.size();
          double[] v = {
            100.0 * computed / blocks,
            100.0 * fetched / blocks,
            at(first, 0.5),
            at(first, 0.95),
            100 * complete
          };
          got.computeIfAbsent(c, x -> new ArrayList<>()).add(v);
          System.out.printf(
              Locale.ROOT,
              "round %d %-16s computed %.1f%% fetched %.1f%% of blocks, first piece median %.0f p95 "
                  + "%.0f ms, complete %.2f%%%n",
              round,
              c,
              v[0],
              v[1],
              v[2],
              v[3],
              v[4]);
        }
      }
    List<double[]> base = got.get("summary");
    for (String c : CHOICES)
      for (int k : new int[] {0, 2, 3}) {
        List<Double> ratio = new ArrayList<>();
        for (int i = 0; i < base.size(); i++) ratio.add(got.get(c).get(i)[k] / base.get(i)[k]);
        System.out.printf(
            Locale.ROOT,
            "%-16s %s, ratio to summary: median %.2f, from %.2f to %.2f%n",
            c,
            k == 0 ? "computed blocks" : k == 2 ? "median first piece" : "p95 first piece",
            at(ratio, 0.5),
            at(ratio, 0),
            at(ratio, 1));
      }
  }

  static boolean run(Fleet f, int seconds, long seed, boolean kills, double rate) throws Exception {
    long t0 = System.nanoTime();
    f.start();
    System.out.printf(
        Locale.ROOT,
        "%s: fleet ready after %d ms%n",
        f.deployment.name(),
        (System.nanoTime() - t0) / 1_000_000);
    List<StandInCallers.Kind> kinds = new ArrayList<>(f.deployment.kinds());
    kinds.add(f.deployment.application());
    StandInCallers callers =
        new StandInCallers(f.vertx, f.ledger, f.callers, f.deployment.tenants(), kinds, seed);
    callers.faster = rate;
    callers.start();
    Added added = new Added(f);
    List<Long> acks = new ArrayList<>();
    long begin = System.nanoTime();
    String[] plan = kills ? new String[] {"control", "index", "relay", "replica"} : new String[0];
    int done = 0, configurations = 0;
    Runnable mend = () -> {};
    while (true) {
      long at = (System.nanoTime() - begin) / 1_000_000;
      if (at >= seconds * 1000L) break;
      if (done < plan.length && at >= seconds * 1000L * (done + 1) / (plan.length + 1)) {
        mend.run();
        mend = kill(f, plan[done++]);
      }
      if (at / 3000 > configurations) {
        configurations++;
        Fleet.Answer a = f.configuration(List.of(), "*");
        if (a.status() == 200) acks.add(a.body().getLong("waitedMs", -1));
        else System.out.println("policy answered " + a.status() + " " + a.body());
      }
      added.pair();
      Fleet.pause(40);
    }
    mend.run();
    callers.stop();
    Fleet.until("the last orders ended", 30_000, () -> callers.open() == 0);
    return report(f, acks, added);
  }

  private static Runnable kill(Fleet f, String what) {
    String victim = what;
    if (what.equals("control")) {
      victim = "control-1";
      var keys = f.call("GET", "/v1/status", null, Map.of()).body().get("keys");
      if (keys != null)
        for (var k : keys.asArray())
          if (k.asObject().getString("key", "").equals("policy"))
            victim = k.asObject().getString("owner", victim);
    }
    if (what.equals("replica")) {
      StandInReplica r = f.replicas.get("replica-2");
      r.kill();
      System.out.println("killed " + r.instance);
      return () -> {
        r.start();
        System.out.println("back " + r.instance);
      };
    }
    Child c = f.children.get(victim.contains("-") ? victim : victim + "-1");
    long wall = System.currentTimeMillis();
    c.kill();
    System.out.println("killed " + c.name + (what.equals("control") ? ", owner of policy" : ""));
    return () -> {
      if (what.equals("control"))
        System.out.println("takeover gap of its keys, ms: " + takeovers(f, c.name, wall));
      try {
        c.start();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      Fleet.until(c.name + " ready again", 30_000, () -> f.ready(c.name));
      System.out.println("back " + c.name);
    };
  }

  /** From the other members' logs: when each first served a key after the kill. */
  private static List<Long> takeovers(Fleet f, String dead, long wall) {
    List<Long> out = new ArrayList<>();
    for (Child c : f.children.values()) {
      if (!c.name.startsWith("control") || c.name.equals(dead)) continue;
      for (String line : c.lines().split("\n")) {
        if (!line.contains("event=owner-serves")) continue;
        long t = Instant.parse(line.substring(5, line.indexOf(' '))).toEpochMilli();
        if (t >= wall && t < wall + 10_000) out.add(t - wall);
      }
    }
    return out;
  }

  /**
   * A direct call and one through a relay, turn about, to the application replica: what the relay
   * adds.
   */
  private static final class Added {
    private final Fleet f;
    private final List<Double> direct = new ArrayList<>();
    private final List<Double> relayed = new ArrayList<>();
    private int n;

    Added(Fleet f) {
      this.f = f;
    }

    void pair() {
      StandInReplica a = f.replicas.get("application-1");
      String tag = "added-" + n++;
      var in =
          Json.object()
              .add("order", tag)
              .add("try", 1)
              .add("service", a.service)
              .add("instance", a.instance)
              .add("weights", "")
              .add("wall", "")
              .add("prompt", "x#" + tag + "-direct")
              .add("maxPieces", 1);
      long t = System.nanoTime();
      if (f.http(a.address(), "POST", "/orders", in.toString(), Map.of()).status() == 200)
        direct.add((System.nanoTime() - t) / 1e6);
      String relay = f.callers.get(1 + n % (f.callers.size() - 1));
      t = System.nanoTime();
      int s =
          f.http(
                  relay,
                  "POST",
                  "/lookup-stop",
                  Json.object().add("prompt", "x#" + tag).add("maxPieces", 1).toString(),
                  Map.of("Authorization", "Bearer " + f.deployment.tenants().get(0).key()))
              .status();
      if (s == 200) relayed.add((System.nanoTime() - t) / 1e6);
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "direct median %.2f p99 %.2f, relayed median %.2f p99 %.2f, added median %.2f ms over %d pairs",
          at(direct, 0.5),
          at(direct, 0.99),
          at(relayed, 0.5),
          at(relayed, 0.99),
          at(relayed, 0.5) - at(direct, 0.5),
          direct.size());
    }
  }

  static double at(List<? extends Number> l, double q) {
    if (l.isEmpty()) return Double.NaN;
    double[] a = l.stream().mapToDouble(Number::doubleValue).sorted().toArray();
    return a[(int) Math.min(a.length - 1, Math.floor(q * a.length))];
  }

  static boolean report(Fleet f, List<Long> acks, Added added) {
    Ledger l = f.ledger;
    Map<String, Map<String, Integer>> outcomes = new TreeMap<>();
    Map<String, List<Long>> first = new TreeMap<>();
    Map<String, Integer> reasons = new TreeMap<>();
    for (Ledger.Call c : l.calls.values()) {
      outcomes.computeIfAbsent(c.kind, k -> new TreeMap<>()).merge(c.outcome, 1, Integer::sum);
      if (c.firstPiece >= 0)
        first.computeIfAbsent(c.kind, k -> new ArrayList<>()).add(c.firstPiece - c.sent);
      if (!c.outcome.equals("complete"))
        reasons.merge(
            c.outcome + ": " + c.reason.replaceAll("replica-\\d+", "a replica"), 1, Integer::sum);
    }
    outcomes.forEach(
        (k, v) ->
            System.out.printf(
                Locale.ROOT,
                "outcomes %-18s %s first piece ms median %.0f p95 %.0f%n",
                k,
                v,
                at(first.getOrDefault(k, List.of()), 0.5),
                at(first.getOrDefault(k, List.of()), 0.95)));
    reasons.forEach((k, v) -> System.out.println("  " + v + " x " + k));
    long requests = 0, tries = 0, blocks = 0, reused = 0, fetched = 0, computed = 0, wrong = 0;
    Map<String, Integer> per = new TreeMap<>();
    for (List<Ledger.Run> rs : l.runs.values()) {
      requests++;
      tries += rs.size() - 1;
      for (Ledger.Run r : rs) {
        if (!r.ran) continue;
        blocks += r.blocks;
        reused += r.reused;
        fetched += r.fetched;
        computed += r.computed;
        wrong += r.wrongHints;
        if (r.blocks > 0) per.merge(r.instance, 1, Integer::sum);
      }
    }
    System.out.printf(
        Locale.ROOT,
        "orders that reached a replica %d, second tries %d (%.2f%%)%n",
        requests,
        tries,
        100.0 * tries / Math.max(1, requests));
    System.out.printf(
        Locale.ROOT,
        "prefix blocks %d: reused %.1f%%, fetched %.1f%%, computed %.1f%%; wrong fetch hints %d%n",
        blocks,
        100.0 * reused / Math.max(1, blocks),
        100.0 * fetched / Math.max(1, blocks),
        100.0 * computed / Math.max(1, blocks),
        wrong);
    System.out.println("orders per replica " + per.values());
    if (!acks.isEmpty())
      System.out.printf(
          Locale.ROOT,
          "policy push to acknowledgement ms: median %.0f, longest %.0f, of %d%n",
          at(acks, 0.5),
          at(acks, 1),
          acks.size());
    if (added != null) System.out.println("relay: " + added);
    for (String x : f.operator.keySet())
      if (x.startsWith("index")) {
        var s = f.http(f.operator.get(x), "GET", "/operator/status", null, Map.of()).body();
        System.out.println(
            x
                + ": warm "
                + s.get("warm")
                + " entries "
                + s.get("entries")
                + " occupancy "
                + s.get("occupancy")
                + " overflow "
                + s.get("overflow")
                + " strays "
                + s.get("overflowStrays")
                + " questions "
                + s.get("questions")
                + " hits "
                + s.get("hits"));
      }
    boolean clean = true;
    for (Judge.Finding j : Judge.all(l)) {
      clean &= j.clean();
      System.out.println(
          "must never: "
              + j.rule()
              + ": "
              + (j.clean()
                  ? "clean"
                  : j.offenders().size()
                      + " offenders "
                      + j.offenders().subList(0, Math.min(5, j.offenders().size()))));
    }
    return clean;
  }
}

/*
 * A seeded day of a deployment: at the brief's rates, everything the brief says may fail, in an
 * request the seed gives, each mended after a while; weights named, keys revoked, configurations raced and
 * grown meanwhile; one last fault at the end. The promises with a time in them (configurations, keys,
 * weights, leaving replicas) are judged by Promises from what operators and the platform were told and
 * when replicas got what; nothing acknowledged lost and back within 12 s here; the rest by Judge.
 */
package gladelug.rehearsal;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

public final class Day {
  private interface Step {
    void run() throws Exception;
  }

  private record Episode(String name, Step begin, Step mend) {}

  private final Fleet f;
  private final Random random;
  private final StandInCallers callers;
  private final Promises promises = new Promises();
  private final List<String> slowReturn = new ArrayList<>();
  private String lastConfiguration = "";
  private String application = "application";
  private List<String> revoked = List.of();
  private int more;
  private boolean gone;
  private boolean narrow;
  private List<String> walled = List.of();
  private int weights = 1;
  private int hosts = 150;
  private StandInReplica stranger;
  public String failure = "";

  public Day(Fleet f, long seed, double rate) {
    this.f = f;
    this.random = new Random(seed);
    List<StandInCallers.Kind> kinds = new ArrayList<>(f.deployment.kinds());
    kinds.add(f.deployment.application());
    callers = new StandInCallers(f.vertx, f.ledger, f.callers, f.deployment.tenants(), kinds, seed);
    callers.faster = rate;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static void say(String what) {
    System.out.println("  " + what);
  }

  private List<String> controls() {
    List<String> l = new ArrayList<>();
    for (var v : f.call("GET", "/v1/status", null, Map.of()).body().get("members").asArray())
      l.add(v.asObject().getString("name", ""));
    return l;
  }

  private String ownerOf(String key) {
    var keys = f.call("GET", "/v1/status", null, Map.of()).body().get("keys");
    if (keys != null)
      for (var k : keys.asArray())
        if (k.asObject().getString("key", "").equals(key)
            && !k.asObject().getString("owner", "").isEmpty())
          return k.asObject().getString("owner", "");
    return controls().get(0);
  }

  private Map<String, String> means() {
    Map<String, String> m = new LinkedHashMap<>();
    m.put("mapping lookup-stop", application);
    m.put("mapping " + f.deployment.last().name(), gone ? "none" : f.deployment.service());
    m.put("allowed replica-1", narrow ? "no" : "yes");
    for (StandInCallers.Tenant t : f.deployment.tenants()) {
      m.put("tenant " + t.name(), revoked.contains(t.name()) ? "revoked" : "good");
      m.put(
          "wall " + t.name(),
          t.name().equals(f.deployment.isolated()) || walled.contains(t.name()) ? t.name() : "");
    }
    return m;
  }

  private JsonObject wished() {
    return f.deployment.configuration(
        new Deployment.Wish(f.nextMarker(), revoked, application, more, gone, walled, narrow));
  }

  private boolean configuration() {
    JsonObject p = wished();
    List<Promises.Told> ts = new ArrayList<>();
    means().forEach((k, m) -> ts.add(promises.sent(k, m, now())));
    Fleet.Answer a = f.send(p, "*");
    if (a.status() == 200) {
      lastConfiguration = p.toString();
      for (Promises.Told t : ts) promises.answered(t, now());
    } else say("policy answered " + a.status() + " " + a.body());
    return a.status() == 200;
  }

  /** Sends until it is taken, as an operator does once the core is back. */
  private void configurationTaken() {
    Fleet.until("a policy taken", 40_000, this::configuration);
  }

  private void name(String w) {
    Promises.Told t = promises.sent("weights", w, now());
    Fleet.Answer a = f.weights(w);
    if (a.status() == 200) promises.answered(t, now());
    say(
        "weights "
            + w
            + " answered "
            + a.status()
            + (a.status() == 200 ? " after " + a.body().get("waitedMs") + " ms" : " " + a.body()));
  }

  private void kill(String... names) {
    for (String n : names) f.children.get(n).kill();
  }

  private void back(String... names) throws IOException {
    for (String n : names) f.children.get(n).start();
    for (String n : names) Fleet.until(n + " ready", 40_000, () -> f.ready(n));
  }

  private void freeze(String n, boolean on) throws IOException {
    if (on) f.frozen.add(n);
    f.children.get(n).freeze(on);
    if (!on) f.frozen.remove(n);
  }

  private List<String> models() {
    return f.replicas.values().stream()
        .filter(r -> r.kind == StandInReplica.Kind.MODEL)
        .map(r -> r.instance)
        .toList();
  }

  private List<Episode> episodes() {
    List<Episode> l = new ArrayList<>();
    String[] held = new String[8];
    l.add(
        new Episode(
            "the owner of the policy is killed",
            () -> kill(held[0] = ownerOf("policy")),
            () -> back(held[0])));
    l.add(
        new Episode(
            "the owner of the list of replicas freezes for 5 s",
            () -> freeze(held[1] = ownerOf("replicas"), true),
            () -> freeze(held[1], false)));
    l.add(
        new Episode(
            "a core machine returns empty at a new address",
            () -> {
              held[2] = controls().get(random.nextInt(3));
              kill(held[2]);
              f.control(held[2], hosts++).start();
            },
            () -> Fleet.until(held[2] + " let in", 30_000, () -> f.ready(held[2]))));
    l.add(
        new Episode(
            "two core machines are killed at once",
            () -> {
              List<String> c = controls();
              held[3] = c.get(0);
              held[4] = c.get(1);
              kill(held[3], held[4]);
            },
            () -> back(held[3], held[4])));
    l.add(
        new Episode(
            "a relay freezes for 4 s",
            () -> freeze("relay-2", true),
            () -> freeze("relay-2", false)));
    l.add(
        new Episode(
            "a relay and an index are killed at once",
            () -> kill("relay-1", "index-1"),
            () -> back("relay-1", "index-1")));
    l.add(
        new Episode(
            "a replica crashes and returns",
            () -> f.replicas.get("replica-3").kill(),
            () -> f.replicas.get("replica-3").start()));
    l.add(
        new Episode(
            "a replica hangs",
            () -> f.replicas.get("replica-4").faults.hang = true,
            () -> f.replicas.get("replica-4").faults.hang = false));
    l.add(
        new Episode(
            "a replica vanishes for good",
            () -> f.replicas.get("replica-5").kill(),
            () -> {
              f.platform.unlist("replica-5");
              f.replicas.remove("replica-5");
            }));
    l.add(
        new Episode(
            "two replicas are released one by one",
            () -> {
              for (String n : new String[] {"replica-6", "replica-7"}) {
                StandInReplica r = f.replicas.get(n);
                f.platform.list(r.service, n, r.address(), "zone-a", false);
                Fleet.pause(2500);
                r.kill();
                f.platform.unlist(n);
                f.replicas.remove(n);
                StandInReplica x =
                    f.addReplica(
                        StandInReplica.Kind.MODEL,
                        r.service,
                        n + "-next",
                        hosts++,
                        "zone-a",
                        random.nextLong());
                say(n + " became " + x.instance);
              }
            },
            () -> {}));
    l.add(
        new Episode(
            "the store goes down and comes back empty",
            () -> f.replicas.get("store").kill(),
            () -> f.replicas.get("store").start()));
    l.add(
        new Episode(
            "links slow down and cache events are late or lost",
            () -> {
              for (StandInReplica r : f.replicas.values()) {
                r.faults.linkFactor = 60;
                r.faults.loseEvents = 0.2;
                r.faults.delayEvents = 0.3;
              }
            },
            () -> {
              for (StandInReplica r : f.replicas.values()) r.faults.none();
            }));
    l.add(
        new Episode(
            "streams break at a replica, and another turns half away",
            () -> {
              f.replicas.get("replica-1").faults.cutStreams = true;
              f.replicas.get("replica-2").faults.notRun = 0.5;
            },
            () -> {
              f.replicas.get("replica-1").faults.none();
              f.replicas.get("replica-2").faults.none();
            }));
    l.add(
        new Episode(
            "new weights are named, and others half way",
            () -> {
              name("w" + ++weights);
              Fleet.pause(1500);
              if (random.nextBoolean()) name("w" + ++weights);
              if (random.nextBoolean()) kill(held[5] = ownerOf("commander/replica-1"));
              else held[5] = "";
            },
            () -> {
              if (!held[5].isEmpty()) back(held[5]);
              String w = "w" + weights;
              Fleet.until(
                  "every replica runs " + w,
                  30_000,
                  () ->
                      f.replicas.values().stream()
                          .allMatch(
                              r -> r.kind != StandInReplica.Kind.MODEL || r.weights().equals(w)));
            }));
    l.add(
        new Episode(
            "a key is revoked from connected callers",
            () -> {
              revoked = List.of(f.deployment.tenants().get(1).name());
              configuration();
            },
            () -> {
              revoked = List.of();
              configuration();
            }));
    l.add(
        new Episode(
            "two operators race",
            () -> {
              long n =
                  f.call("GET", "/v1/configuration", null, Map.of()).body().getLong("number", -1);
              Fleet.Answer[] a = new Fleet.Answer[2];
              Thread[] ts = new Thread[2];
              for (int i = 0; i < 2; i++) {
                int k = i;
                JsonObject p = wished();
                ts[i] = new Thread(() -> a[k] = f.send(p, Long.toString(n)));
                ts[i].start();
              }
              for (Thread t : ts) t.join();
              int won = (a[0].status() == 200 ? 1 : 0) + (a[1].status() == 200 ? 1 : 0);
              say("race answered " + a[0].status() + " and " + a[1].status());
              if (won > 1) failure = "both racing policies were taken on number " + n;
            },
            () -> {}));
    l.add(
        new Episode(
            "the application moves to its second service",
            () -> {
              application = application.equals("application") ? "application-two" : "application";
              configuration();
            },
            () -> {}));
    if (f.deployment.name().equals("safari-njia")) {
      l.add(
          new Episode(
              "the policy grows by 3000 mappings",
              () -> {
                more += 3000;
                configuration();
              },
              () -> {}));
      l.add(
          new Episode(
              "a core machine is swapped for another",
              () -> {
                held[6] = "control-" + hosts;
                f.control(held[6], hosts++).start();
                String out = controls().get(random.nextInt(3));
                Fleet.until(
                    "the swap begun",
                    20_000,
                    () ->
                        f.call(
                                    "POST",
                                    "/v1/core/swap",
                                    "{\"out\":\"" + out + "\",\"in\":\"" + held[6] + "\"}",
                                    Map.of())
                                .status()
                            == 202);
                held[7] = out;
              },
              () -> {
                Fleet.until(
                    held[6] + " let in",
                    30_000,
                    () -> f.ready(held[6]) && controls().contains(held[6]));
                kill(held[7]);
                f.children.remove(held[7]);
              }));
    }
    l.addAll(cuts());
    Collections.shuffle(l, random);
    return l;
  }

  private Set<String> core() {
    return new LinkedHashSet<>(controls());
  }

  private Set<String> edges() {
    Set<String> s = new LinkedHashSet<>();
    for (int i = 1; i <= f.deployment.relays(); i++) s.add(Fleet.edge(i));
    return s;
  }

  /** What the wires and the platform may bring about. */
  private List<Episode> cuts() {
    List<Episode> l = new ArrayList<>();
    String[] held = new String[4];
    Step mend =
        () -> {
          f.wires.mend();
          configurationTaken();
        };
    l.add(
        new Episode(
            "the owner of the policy is cut off from the core, and its side keeps two relays",
            () -> {
              Set<String> side =
                  new LinkedHashSet<>(List.of(ownerOf("policy"), Fleet.edge(1), Fleet.edge(2)));
              Set<String> other = core();
              other.addAll(edges());
              other.removeAll(side);
              f.wires.split(side, other);
            },
            mend));
    l.add(
        new Episode(
            "a relay's machine is cut off from the core while a key is revoked",
            () -> {
              f.wires.split(Set.of(Fleet.edge(3)), core());
              revoked = List.of(f.deployment.tenants().get(0).name());
              application = application.equals("application") ? "application-two" : "application";
              configuration();
            },
            () -> {
              f.wires.mend();
              revoked = List.of();
              configurationTaken();
            }));
    l.add(
        new Episode(
            "a relay hears the core no more, though the core hears it",
            () -> {
              for (String c : core()) f.wires.cutOneWay(c, Fleet.edge(4));
              configuration();
            },
            mend));
    l.add(
        new Episode(
            "a relay is cut off from a replica, and another hears nothing from one",
            () -> {
              f.wires.cut(Fleet.edge(1), "replica-2");
              f.wires.cutOneWay("replica-3", Fleet.edge(2));
            },
            f.wires::mend));
    l.add(
        new Episode(
            "the platform is cut off from the core",
            () -> f.wires.split(Set.of("platform"), core()),
            mend));
    l.add(
        new Episode(
            "links between core machines are slow, and circuits of one break",
            () -> {
              List<String> c = controls();
              for (String a : c) for (String b : c) if (!a.equals(b)) f.wires.slow(a, b, 40);
              f.wires.breakConnections(c.get(0), c.get(1));
              f.wires.breakConnections(c.get(1), c.get(0));
              configuration();
            },
            mend));
    l.add(
        new Episode(
            "a whole domain is killed at once",
            () -> {
              held[0] = controls().get(1);
              kill(held[0], "relay-1", "index-1");
              f.replicas.get("replica-1").kill();
            },
            () -> {
              f.replicas.get("replica-1").start();
              back(held[0], "relay-1", "index-1");
            }));
    l.add(
        new Episode(
            "the platform lies, flaps and falls silent",
            () -> {
              f.platform.lies = true;
              Fleet.pause(500);
              f.platform.lies = false;
              StandInReplica r = f.replicas.get("replica-8");
              for (int i = 0; i < 6; i++) {
                f.platform.list(r.service, r.instance, r.address(), "zone-a", i % 2 == 1);
                Fleet.pause(300);
              }
              f.platform.silent = true;
            },
            () -> f.platform.silent = false));
    l.add(
        new Episode(
            "a replica is unlisted while it lives",
            () -> f.platform.unlist("replica-8"),
            () -> {
              StandInReplica r = f.replicas.get("replica-8");
              f.platform.list(r.service, r.instance, r.address(), "zone-a", true);
            }));
    l.add(
        new Episode(
            "an address is given to another service's replica",
            () -> {
              StandInReplica r = f.replicas.get("replica-8");
              r.kill();
              StandInReplica x =
                  new StandInReplica(
                      f.vertx,
                      f.ledger,
                      StandInReplica.Kind.MODEL,
                      "another-service",
                      "another-1",
                      r.host,
                      "w" + weights,
                      1,
                      6,
                      1500,
                      4,
                      6,
                      0.3,
                      f.replicas::get);
              x.port = r.port;
              x.start();
              stranger = x;
            },
            () -> {
              stranger.kill();
              f.replicas.get("replica-8").start();
            }));
    l.add(
        new Episode(
            "a path goes away, a tenant is walled, an address is allowed no more",
            () -> {
              gone = narrow = true;
              walled = List.of(f.deployment.tenants().get(2).name());
              configuration();
            },
            () -> {
              gone = narrow = false;
              walled = List.of();
              configurationTaken();
            }));
    if (f.deployment.name().equals("moka-ridge")) {
      l.add(
          new Episode(
              "a single core machine is cut off from everybody",
              () -> {
                held[1] = controls().get(random.nextInt(3));
                Set<String> other = core();
                other.addAll(edges());
                other.add("platform");
                f.wires.split(Set.of(held[1]), other);
                configuration();
              },
              mend));
      l.add(
          new Episode(
              "a single edge machine is cut off from everybody",
              () -> {
                Set<String> other = core();
                other.addAll(edges());
                other.addAll(f.replicas.keySet());
                f.wires.split(Set.of(Fleet.edge(2)), other);
                configuration();
              },
              mend));
    } else
      l.add(
          new Episode(
              "the policy grows by 2000 mappings while a cut heals",
              () -> {
                f.wires.split(Set.of(Fleet.edge(2)), core());
                more += 2000;
                configuration();
              },
              mend));
    return l;
  }

  /** most: how many of the day's episodes. */
  public boolean play(int secondsEach, int most) throws Exception {
    f.platform.answered = (i, st) -> promises.told("replica " + i, st, now(), now());
    f.start();
    promises.told("weights", "w1", 0, 0);
    means().forEach((k, m) -> promises.told(k, m, 0, 0));
    callers.start();
    Fleet.pause(2000);
    List<Episode> es = episodes();
    for (Episode e : es.subList(0, Math.min(most, es.size()))) {
      System.out.println("episode: " + e.name);
      e.begin.run();
      long end = now() + secondsEach * 1000L;
      Fleet.pause(secondsEach * 400L);
      if (e.name.contains("replicas are") || random.nextBoolean()) configuration();
      if (end > now()) Fleet.pause(end - now());
      e.mend.run();
      Fleet.pause(1500);
    }
    lastFault();
    callers.stop();
    Fleet.until("the last orders ended", 40_000, () -> callers.open() == 0);
    return report();
  }

  private static final String[] LAST = {
    "every core machine is killed just after an acknowledgement",
    "every process of the fleet is killed just after an acknowledgement",
    "one core disk is lost just after an acknowledgement, with the other two killed",
    "the core is split three ways and heals",
    "core machines are killed and come back one after another"
  };

  /** The last fault, as the seed draws it; judged by requests that complete at each relay. */
  private void lastFault() throws Exception {
    Map<String, Child> edges = new LinkedHashMap<>(f.children);
    edges.keySet().removeIf(n -> n.startsWith("control"));
    int fault = random.nextInt(LAST.length);
    application = application.equals("application") ? "application-two" : "application";
    configurationTaken();
    System.out.println("last fault: " + LAST[fault]);
    List<String> all = controls();
    long back;
    if (fault == 3) {
      for (String a : all) for (String b : all) if (!a.equals(b)) f.wires.cut(a, b);
      Fleet.pause(4000);
      f.wires.mend();
      back = now();
    } else {
      if (fault == 1) for (Child c : edges.values()) c.kill();
      kill(all.toArray(new String[0]));
      if (fault == 2) f.loseDisk(all.get(random.nextInt(3)));
      Fleet.pause(3000);
      long majority = 0;
      for (int i = 0; i < all.size(); i++) {
        f.children.get(all.get(i)).start();
        if (i == 1) majority = now();
        if (fault == 4) Fleet.pause(3000);
      }
      if (fault == 1) for (Child c : edges.values()) c.start();
      // with a disk lost it takes all three: the two that are left, and the one let in again
      back = fault == 2 || fault == 1 ? now() : majority;
    }
    Fleet.until(
        "orders complete at every relay again",
        60_000,
        () -> f.callers.stream().allMatch(r -> since(r, back) >= 0));
    for (String r : f.callers) {
      long took = since(r, back);
      say("the first order that began and completed at " + r + " did so after " + took + " ms");
      if (took > 12_000) slowReturn.add(r + " after " + took + " ms");
    }
    Fleet.pause(4000);
  }

  /** When, after a moment, a request sent to a relay since then completed; -1 for none yet. */
  private long since(String relay, long from) {
    return f.ledger.calls.values().stream()
        .filter(
            c ->
                c.relay.equals(relay)
                    && c.sent >= from
                    && c.done >= 0
                    && c.outcome.equals("complete"))
        .mapToLong(c -> c.done - from)
        .min()
        .orElse(-1);
  }

  private boolean report() throws Exception {
    boolean clean = RehearseFleet.report(f, List.of(), null);
    Map<String, List<String>> more = promises.judge(f.ledger, Promises.BRIEF);
    List<String> lost = new ArrayList<>();
    Fleet.Answer a = f.call("GET", "/v1/configuration", null, Map.of());
    if (!a.body().get("value").equals(Json.parse(lastConfiguration)))
      lost.add("number " + a.body().get("number") + " is not what was acknowledged last");
    more.put("acknowledged-policy-lost", lost);
    more.put("back-later-than-12s", slowReturn);
    more.put("both-of-two-racing-taken", failure.isEmpty() ? List.of() : List.of(failure));
    for (Map.Entry<String, List<String>> e : more.entrySet()) {
      clean &= e.getValue().isEmpty();
      System.out.println(
          "must never: "
              + e.getKey()
              + ": "
              + (e.getValue().isEmpty()
                  ? "clean"
                  : e.getValue().size()
                      + " offenders "
                      + e.getValue().subList(0, Math.min(5, e.getValue().size()))));
    }
    return clean;
  }
}

/*
 * A seeded day of a deployment: at the brief's rates, everything the brief says may fail, in an
 * order the seed gives, each mended after a while; weights named, keys revoked, policies raced and
 * grown meanwhile; one last fault at the end. The promises with a time in them (policies, keys,
 * weights, leaving replicas, nothing acknowledged lost, back within 12 s) are judged here from what
 * operators were told and when replicas ran what; the rest by Judge.
 */
package gladelug.rehearsal;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Day {
    /** A change an operator sent: what it meant, when it went out, when it was acknowledged (or -1). */
    public record Told(String key, String meaning, long sent, long acked, long number) {}

    private interface Step {
        void run() throws Exception;
    }

    private record Episode(String name, Step begin, Step mend) {}

    private final Fleet f;
    private final Random random;
    private final StandInCallers callers;
    private final List<Told> told = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Long> leaving = new LinkedHashMap<>();
    private final List<String> slowReturn = new ArrayList<>();
    private String lastPolicy = "";
    private String application = "application";
    private List<String> revoked = List.of();
    private int more;
    private int weights = 1;
    private int hosts = 150;
    public String problem = "";

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
        if (keys != null) for (var k : keys.asArray())
            if (k.asObject().getString("key", "").equals(key) && !k.asObject().getString("owner", "").isEmpty())
                return k.asObject().getString("owner", "");
        return controls().get(0);
    }

    private void policy() {
        JsonObject p = f.deployment.policy(f.nextMarker(), revoked, application, more);
        long sent = now();
        Fleet.Answer a = f.send(p, "*");
        long acked = a.status() == 200 ? now() : -1;
        long nr = a.body().getLong("number", -1);
        told.add(new Told("application", application, sent, acked, nr));
        for (StandInCallers.Tenant t : f.deployment.tenants())
            told.add(new Told("key " + t.name(), revoked.contains(t.name()) ? "revoked" : "good", sent, acked, nr));
        if (acked >= 0) lastPolicy = p.toString();
        if (a.status() != 200) say("policy answered " + a.status() + " " + a.body());
    }

    private void name(String w) {
        long sent = now();
        Fleet.Answer a = f.weights(w);
        told.add(new Told("weights", w, sent, a.status() == 200 ? now() : -1, a.body().getLong("number", -1)));
        say("weights " + w + " answered " + a.status()
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
        return f.replicas.values().stream().filter(r -> r.kind == StandInReplica.Kind.MODEL).map(r -> r.instance)
            .toList();
    }

    private List<Episode> episodes() {
        List<Episode> l = new ArrayList<>();
        String[] held = new String[8];
        l.add(new Episode("the owner of the policy is killed", () -> kill(held[0] = ownerOf("policy")),
            () -> back(held[0])));
        l.add(new Episode("the owner of the list of replicas freezes for 5 s",
            () -> freeze(held[1] = ownerOf("replicas"), true), () -> freeze(held[1], false)));
        l.add(new Episode("a core machine returns empty at a new address", () -> {
            held[2] = controls().get(random.nextInt(3));
            kill(held[2]);
            f.control(held[2], hosts++).start();
        }, () -> Fleet.until(held[2] + " let in", 30_000, () -> f.ready(held[2]))));
        l.add(new Episode("two core machines are killed at once", () -> {
            List<String> c = controls();
            held[3] = c.get(0);
            held[4] = c.get(1);
            kill(held[3], held[4]);
        }, () -> back(held[3], held[4])));
        l.add(new Episode("a relay freezes for 4 s", () -> freeze("relay-2", true), () -> freeze("relay-2", false)));
        l.add(new Episode("a relay and an index are killed at once", () -> kill("relay-1", "index-1"),
            () -> back("relay-1", "index-1")));
        l.add(new Episode("a replica crashes and returns", () -> f.replicas.get("replica-3").kill(),
            () -> f.replicas.get("replica-3").start()));
        l.add(new Episode("a replica hangs", () -> f.replicas.get("replica-4").faults.hang = true,
            () -> f.replicas.get("replica-4").faults.hang = false));
        l.add(new Episode("a replica vanishes for good", () -> f.replicas.get("replica-5").kill(), () -> {
            f.platform.unlist("replica-5");
            f.replicas.remove("replica-5");
        }));
        l.add(new Episode("two replicas are released one by one", () -> {
            for (String n : new String[]{"replica-6", "replica-7"}) {
                StandInReplica r = f.replicas.get(n);
                f.platform.list(r.service, n, r.address(), "zone-a", false);
                leaving.put(n, now());
                Fleet.pause(2500);
                r.kill();
                f.platform.unlist(n);
                f.replicas.remove(n);
                StandInReplica x = f.addReplica(StandInReplica.Kind.MODEL, r.service, n + "-next", f.ip(hosts++),
                    "zone-a", random.nextLong());
                say(n + " became " + x.instance);
            }
        }, () -> {}));
        l.add(new Episode("the store goes down and comes back empty", () -> f.replicas.get("store").kill(),
            () -> f.replicas.get("store").start()));
        l.add(new Episode("links slow down and cache events are late or lost", () -> {
            for (StandInReplica r : f.replicas.values()) {
                r.faults.linkFactor = 60;
                r.faults.loseEvents = 0.2;
                r.faults.delayEvents = 0.3;
            }
        }, () -> {
            for (StandInReplica r : f.replicas.values()) r.faults.none();
        }));
        l.add(new Episode("streams break at a replica, and another turns half away", () -> {
            f.replicas.get("replica-1").faults.cutStreams = true;
            f.replicas.get("replica-2").faults.notRun = 0.5;
        }, () -> {
            f.replicas.get("replica-1").faults.none();
            f.replicas.get("replica-2").faults.none();
        }));
        l.add(new Episode("new weights are named, and others half way", () -> {
            name("w" + ++weights);
            Fleet.pause(1500);
            if (random.nextBoolean()) name("w" + ++weights);
            if (random.nextBoolean()) kill(held[5] = ownerOf("commander/replica-1"));
            else held[5] = "";
        }, () -> {
            if (!held[5].isEmpty()) back(held[5]);
            String w = "w" + weights;
            Fleet.until("every replica runs " + w, 30_000, () -> f.replicas.values().stream()
                .allMatch(r -> r.kind != StandInReplica.Kind.MODEL || r.weights().equals(w)));
        }));
        l.add(new Episode("a key is revoked from connected callers", () -> {
            revoked = List.of(f.deployment.tenants().get(1).name());
            policy();
        }, () -> {
            revoked = List.of();
            policy();
        }));
        l.add(new Episode("two operators race", () -> {
            long n = f.call("GET", "/v1/policy", null, Map.of()).body().getLong("number", -1);
            Fleet.Answer[] a = new Fleet.Answer[2];
            Thread[] ts = new Thread[2];
            for (int i = 0; i < 2; i++) {
                int k = i;
                JsonObject p = f.deployment.policy(f.nextMarker(), revoked, application, more);
                ts[i] = new Thread(() -> a[k] = f.send(p, Long.toString(n)));
                ts[i].start();
            }
            for (Thread t : ts) t.join();
            int won = (a[0].status() == 200 ? 1 : 0) + (a[1].status() == 200 ? 1 : 0);
            say("race answered " + a[0].status() + " and " + a[1].status());
            if (won > 1) problem = "both racing policies were taken on number " + n;
        }, () -> {}));
        l.add(new Episode("the application moves to its second service", () -> {
            application = application.equals("application") ? "application-two" : "application";
            policy();
        }, () -> {}));
        if (f.deployment.name().equals("safari-njia")) {
            l.add(new Episode("the policy grows by 3000 mappings", () -> {
                more += 3000;
                policy();
            }, () -> {}));
            l.add(new Episode("a core machine is swapped for another", () -> {
                held[6] = "control-" + hosts;
                f.control(held[6], hosts++).start();
                String out = controls().get(random.nextInt(3));
                Fleet.until("the swap begun", 20_000,
                    () -> f
                        .call("POST", "/v1/core/swap", "{\"out\":\"" + out + "\",\"in\":\"" + held[6] + "\"}", Map.of())
                        .status() == 202);
                held[7] = out;
            }, () -> {
                Fleet.until(held[6] + " let in", 30_000, () -> f.ready(held[6]) && controls().contains(held[6]));
                kill(held[7]);
                f.children.remove(held[7]);
            }));
        }
        Collections.shuffle(l, random);
        return l;
    }

    /** most: how many of the day's episodes. */
    public boolean play(int secondsEach, int most) throws Exception {
        f.start();
        told.add(new Told("weights", "w1", 0, 0, 1));
        for (StandInCallers.Tenant t : f.deployment.tenants()) told.add(new Told("key " + t.name(), "good", 0, 0, 1));
        told.add(new Told("application", "application", 0, 0, 1));
        callers.start();
        Fleet.pause(2000);
        List<Episode> es = episodes();
        for (Episode e : es.subList(0, Math.min(most, es.size()))) {
            System.out.println("episode: " + e.name);
            e.begin.run();
            long end = now() + secondsEach * 1000L;
            Fleet.pause(secondsEach * 400L);
            if (e.name.contains("replicas are") || random.nextBoolean()) policy();
            if (end > now()) Fleet.pause(end - now());
            e.mend.run();
            Fleet.pause(1500);
        }
        lastFault();
        callers.stop();
        Fleet.until("the last orders ended", 40_000, () -> callers.open() == 0);
        return report();
    }

    /** Every process that holds control state dies just after an acknowledgement, and comes back. */
    private void lastFault() throws Exception {
        application = application.equals("application") ? "application-two" : "application";
        policy();
        System.out.println("last fault: every core machine is killed just after an acknowledgement");
        List<String> all = controls();
        kill(all.toArray(new String[0]));
        Fleet.pause(3000);
        for (String c : all) f.children.get(c).start();
        long begin = now();
        Fleet.until("relays serve again", 60_000,
            () -> f.children.keySet().stream().filter(n -> n.startsWith("relay")).allMatch(f::ready));
        long took = now() - begin;
        say("relays ready again " + took + " ms after the machines were started");
        if (took > 12_000) slowReturn.add(took + " ms");
        Fleet.pause(4000);
    }

    /** Promises with a time in them. Meanings told later than the promise allows for may be seen too. */
    static Map<String, List<String>> judge(Ledger l, List<Told> told, Map<String, Long> leaving) {
        Map<String, List<String>> out = new LinkedHashMap<>();
        for (String r : new String[]{"old-policy-after-2s", "revoked-key-after-5s", "old-weights-after-25s",
            "leaving-replica-after-3s"}) out.put(r, new ArrayList<>());
        for (Map.Entry<String, List<Ledger.Run>> e : l.runs.entrySet()) {
            Ledger.Call c = l.calls.get(e.getKey());
            if (c == null) continue;
            for (Ledger.Run r : e.getValue()) {
                if (c.kind.equals("lookup-stop") && !may(told, "application", r.service, r.at, 2000))
                    out.get("old-policy-after-2s").add(c.tag + " ran at " + r.service);
                if (!may(told, "key " + c.tenant, "good", r.at, 5000)) out.get("revoked-key-after-5s").add(c.tag);
                if (!r.weights.isEmpty() && !may(told, "weights", r.weights, r.at, 25_000))
                    out.get("old-weights-after-25s").add(c.tag + " on " + r.weights);
                Long t = leaving.get(r.instance);
                if (t != null && r.at > t + 3500) out.get("leaving-replica-after-3s").add(c.tag + " at " + r.instance);
            }
        }
        return out;
    }

    /**
     * Whether something may be acted on: it is the last meaning whose acknowledgement is older than the grace, or one
     * sent since.
     */
    static boolean may(List<Told> told, String key, String meaning, long at, long grace) {
        int from = 0;
        List<Told> l = new ArrayList<>();
        synchronized (told) {
            for (Told t : told) if (t.key.equals(key)) l.add(t);
        }
        for (int i = 0; i < l.size(); i++) if (l.get(i).acked >= 0 && l.get(i).acked + grace < at) from = i;
        for (int i = from; i < l.size(); i++) if (l.get(i).meaning.equals(meaning) && l.get(i).sent <= at) return true;
        return false;
    }

    private boolean report() throws Exception {
        boolean clean = RehearseFleet.report(f, List.of(), null);
        Map<String, List<String>> more = judge(f.ledger, told, leaving);
        List<String> lost = new ArrayList<>();
        Fleet.Answer a = f.call("GET", "/v1/policy", null, Map.of());
        if (!a.body().get("value").equals(Json.parse(lastPolicy)))
            lost.add("number " + a.body().get("number") + " is not what was acknowledged last");
        more.put("acknowledged-policy-lost", lost);
        more.put("back-later-than-12s", slowReturn);
        more.put("both-of-two-racing-taken", problem.isEmpty() ? List.of() : List.of(problem));
        for (Map.Entry<String, List<String>> e : more.entrySet()) {
            clean &= e.getValue().isEmpty();
            System.out.println("must never: " + e.getKey() + ": "
                + (e.getValue().isEmpty()
                    ? "clean"
                    : e.getValue().size() + " offenders " + e.getValue().subList(0, Math.min(5, e.getValue().size()))));
        }
        return clean;
    }

    static final class Tests {
        /** A fixed, short part of a day with the real programs. */
        @Test void theFirstHoursOfAFixedDayAreClean() throws Exception {
            Path out = Files.createTempDirectory("gladelug-day");
            try (Fleet f = new Fleet(Deployment.mokaRidge(), out, 21, "summary")) {
                Assertions.assertTrue(new Day(f, 21, 0.5).play(2, 8), "see the judgements above; logs in " + out);
            }
        }

        @Test void eachTimedJudgeCatchesAPlantedViolationAndNothingElse() {
            List<Told> told = List.of(new Told("application", "a", 0, 0, 1),
                new Told("application", "b", 10_000, 10_500, 2), new Told("weights", "w1", 0, 0, 1),
                new Told("weights", "w2", 10_000, 10_100, 2), new Told("key t", "good", 0, 0, 1),
                new Told("key t", "revoked", 10_000, 10_200, 2), new Told("key u", "good", 0, 0, 1));
            Object[][] runs = {
                // tag, kind, tenant, service, weights, instance, at, the rule it breaks
                {"1", "lookup-stop", "u", "a", "", "x", 12_400L, ""},
                {"2", "lookup-stop", "u", "a", "", "x", 12_600L, "old-policy-after-2s"},
                {"3", "lookup-stop", "u", "b", "", "x", 10_100L, ""},
                {"4", "lookup-stop", "u", "b", "", "x", 9_000L, "old-policy-after-2s"},
                {"5", "k", "t", "m", "w1", "x", 15_100L, ""},
                {"6", "k", "t", "m", "w1", "x", 15_300L, "revoked-key-after-5s"},
                {"7", "k", "u", "m", "w1", "x", 35_000L, ""},
                {"8", "k", "u", "m", "w1", "x", 35_200L, "old-weights-after-25s"},
                {"9", "k", "u", "m", "w2", "y", 11_000L, ""},
                {"10", "k", "u", "m", "w2", "y", 14_000L, "leaving-replica-after-3s"}};
            for (Object[] o : runs) {
                Ledger l = new Ledger();
                l.calls.put((String) o[0], new Ledger.Call((String) o[0], (String) o[1], (String) o[2], "r", false, 0));
                l.run(new Ledger.Run((String) o[0], "id", (String) o[3], (String) o[5], (String) o[4], "", 1,
                    (Long) o[6]));
                StringBuilder sb = new StringBuilder();
                judge(l, told, Map.of("y", 10_000L)).forEach((k, v) -> sb.append(v.isEmpty() ? "" : k));
                Assertions.assertEquals(o[7], sb.toString(), "run " + o[0]);
            }
        }
    }
}

package gladelug.emulator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Digest;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests of RequestRehearsal. */
final class RequestRehearsalTest {
  private static Fleet f;
  private static StandInCallers callers;
  private static StandInCallers.Kind ask;
  private static StandInCallers.Kind again;
  private static StandInCallers.Kind wide;
  private static StandInCallers.Tenant one;
  private static String relay;

  @BeforeAll
  static void start() throws Exception {
    Deployment deployment = Deployment.small(13);
    f = new Fleet(deployment, Files.createTempDirectory("gladelug-orders"), 3, "summary");
    f.start();
    callers =
        new StandInCallers(
            f.vertx, f.ledger, f.callerAddresses, deployment.tenants(), deployment.kinds(), 5);
    ask = deployment.kinds().get(0);
    again = deployment.kinds().get(1);
    wide = deployment.kinds().get(2);
    one = deployment.tenants().get(0);
    relay = f.callerAddresses.get(0);
  }

  @AfterAll
  static void stop() {
    List<LedgerChecker.Finding> bad =
        LedgerChecker.checkAll(f.ledger).stream()
            .filter(j -> !j.passed() && !j.rule().startsWith("second-tries"))
            .toList();
    f.close();
    Assertions.assertEquals(List.of(), bad);
  }

  @AfterEach
  void well() {
    for (StandInReplica r : f.replicas.values()) r.faults.clear();
    until("both replicas usable", () -> usable() == 2);
  }

  private static void until(String what, BooleanSupplier s) {
    Fleet.waitUntil(what, 30_000, s);
  }

  private static JsonObject status() {
    return f.http(f.operatorAddresses.get("relay-1"), "GET", "/operator/status", null, Map.of())
        .body();
  }

  private static int usable() {
    int n = 0;
    if (status().get("backends") == null) return 0;
    for (var m : status().get("backends").asObject())
      if (m.getName().startsWith("replica-")
          && m.getValue().asObject().getBoolean("usable", false)
          && m.getValue().asObject().getBoolean("ready", false)) n++;
    return n;
  }

  private static Ledger.Call done(Ledger.Call c) {
    until("the order ended: " + c.tag, () -> c.doneMs >= 0);
    return c;
  }

  private static Ledger.Call order(StandInCallers.Kind k) {
    return done(callers.send(k, one, relay));
  }

  private static List<Ledger.Run> runs(Ledger.Call c) {
    return f.ledger.runs.getOrDefault(c.tag, List.of());
  }

  private static void both(Consumer<ReplicaFaults> x) {
    x.accept(f.replicas.get("replica-1").faults);
    x.accept(f.replicas.get("replica-2").faults);
  }

  private static Fleet.Answer raw(String path, String key, String body) {
    return f.http(
        relay,
        "POST",
        path,
        body,
        key == null ? Map.of() : Map.of("Authorization", "Bearer " + key));
  }

  @Test
  void aRequestAndTheNextWithItsPrefixGoTheSameWayForTheSummarysSake() {
    Ledger.Call a = order(ask);
    Assertions.assertEquals("complete", a.outcome);
    String first = runs(a).get(0).instance;
    until(
        "the index knows",
        () -> {
          Ledger.Call b = order(ask);
          Ledger.Run r = runs(b).get(0);
          return b.outcome.equals("complete") && r.reused >= 8 && r.instance.equals(first);
        });
    // a lookup that comes late on a busy machine is no hint, and the request goes on without
    String[] e = {""};
    until(
        "a record with the index's hint",
        () -> {
          Ledger.Call b = order(ask);
          e[0] =
              f.http(
                      f.operatorAddresses.get("relay-1"),
                      "GET",
                      "/operator/requests/" + b.order,
                      null,
                      Map.of())
                  .body()
                  .toString();
          return e[0].contains("\"outcome\":\"complete\"")
              && e[0].contains("\"matches\":[{\"holder\":\"replica-");
        });
    Assertions.assertFalse(
        e[0].contains(one.key()) || e[0].contains("Instructions"),
        "a key or a prompt in a decision");
  }

  private static String explain(String id, int code) throws Exception {
    ChildProcess c =
        program(
            "gladelug.tools.OperatorTools",
            "explain-order",
            "--control",
            f.operatorAddresses.get("control-1") + "," + f.operatorAddresses.get("control-2"),
            id);
    Assertions.assertEquals(code, c.exitCode(), c.readLog());
    return c.readLog();
  }

  @Test
  void aRequestIsExplainedLiveEndedAndRefused() throws Exception {
    both(x -> x.extraPieceDelayMs = 3000);
    Ledger.Call c = callers.send(wide, one, relay);
    until("it streams", () -> c.pieces > 0);
    String live = explain(c.order, 0);
    Assertions.assertTrue(
        live.contains(": live")
            && live.contains("first piece after")
            && live.contains("replica replica-"),
        live);
    done(c);
    String cut = explain(c.order, 0);
    Assertions.assertTrue(cut.contains("cut off after") && cut.contains("expired"), cut);
    both(x -> x.clear());
    both(x -> x.refusalRate = 1);
    String away = explain(order(ask).order, 0);
    Assertions.assertTrue(
        away.contains("refused with 503: ") && away.contains("did not run it: not now"), away);
    Fleet.Answer n = raw("/nothing", one.key(), "{}");
    Assertions.assertTrue(
        explain(n.body().getString("order", ""), 0)
            .contains("refused with 404: no mapping for this path"));
    Assertions.assertTrue(
        explain(c.order.replaceAll("[0-9]+$", "999999"), 1).contains("never took such a request"));
    ends(
        program(
            "gladelug.tools.OperatorTools",
            "show-status",
            "--nodes",
            "--control",
            f.operatorAddresses.get("control-1")),
        0,
        "owner control-",
        "shares m divided=",
        "overflow 0",
        "licenceLeftMs policy");
  }

  /** The names of the release before are still served beside the present ones. */
  @Test
  void earlierNamesStillAnswer() throws Exception {
    Fleet.Answer asked = raw("/ask", one.key(), "{\"prompt\":\"x#earlier-names\"}");
    List<String> ids = asked.headers().get("gladelug-request");
    Assertions.assertEquals(1, ids.size());
    Assertions.assertEquals(ids, asked.headers().get("gladelug-order"));
    String operator = f.operatorAddresses.get("relay-1");
    for (String path : new String[] {"/operator/requests/", "/operator/orders/"})
      Assertions.assertEquals(
          200, f.http(operator, "GET", path + ids.get(0), null, Map.of()).status(), path);
    Assertions.assertEquals(
        f.call("GET", "/v1/configuration", null, Map.of()).body(),
        f.call("GET", "/v1/policy", null, Map.of()).body());
    String control = f.operatorAddresses.get("control-1");
    for (String command : new String[] {"show-policy", "show-configuration"})
      ends(
          program("gladelug.tools.OperatorTools", command, "--control", control),
          0,
          "\"mappings\"");
    ends(
        program("gladelug.tools.OperatorTools", "explain-order", "--control", control, ids.get(0)),
        0,
        "request " + ids.get(0));
  }

  @Test
  void badInputGetsAPlainAnswerAndReachesNoReplica() {
    int before = f.replicas.get("replica-1").requests + f.replicas.get("replica-2").requests;
    Assertions.assertEquals(401, raw("/ask", null, "{\"prompt\":\"x\"}").status());
    Assertions.assertEquals(401, raw("/ask", "nobody's", "{\"prompt\":\"x\"}").status());
    Assertions.assertEquals(404, raw("/nothing", one.key(), "{\"prompt\":\"x\"}").status());
    Assertions.assertEquals(
        405,
        f.http(relay, "GET", "/ask", null, Map.of("Authorization", "Bearer " + one.key()))
            .status());
    Fleet.Answer m = raw("/ask", one.key(), "{\"prompt\": 3,\n \"maxPieces\": 0, \"more\": 1}");
    Assertions.assertEquals(400, m.status());
    Assertions.assertEquals("not-run", m.body().getString("outcome", ""));
    for (String w : new String[] {"line 1, column 12 (prompt)", "(maxPieces)", "(more)"})
      Assertions.assertTrue(m.body().toString().contains(w), m.body().toString());
    Assertions.assertEquals(400, raw("/ask", one.key(), "{\"prompt\": ").status());
    Assertions.assertEquals(400, raw("/ask", one.key(), "").status());
    Assertions.assertEquals(
        413, raw("/ask", one.key(), "{\"prompt\": \"" + "x".repeat(300_000) + "\"}").status());
    Assertions.assertEquals(
        before, f.replicas.get("replica-1").requests + f.replicas.get("replica-2").requests);
  }

  @Test
  void operatorsMistakesAreAllToldAndChangeNothing() {
    long number = f.call("GET", "/v1/configuration", null, Map.of()).body().getLong("number", -1);
    String p = f.deployment.configuration(99, List.of()).toString();
    Assertions.assertEquals(428, f.call("POST", "/v1/configuration", p, Map.of()).status());
    Fleet.Answer stale =
        f.call("POST", "/v1/configuration", p, Map.of("If-Match", "\"" + (number + 5) + "\""));
    Assertions.assertEquals(412, stale.status());
    Assertions.assertEquals(number, stale.body().getLong("current", -1));
    Assertions.assertEquals(
        400, f.call("POST", "/v1/configuration", p, Map.of("If-Match", "soon")).status());
    Fleet.Answer bad =
        f.call(
            "POST",
            "/v1/configuration",
            p.replace("\"kind\":\"store\"", "\"kind\":\"shop\"").replace("sha256:", "md5:"),
            Map.of("If-Match", "*"));
    Assertions.assertEquals(400, bad.status());
    Assertions.assertTrue(bad.body().get("findings").asArray().size() >= 9, bad.body().toString());
    Assertions.assertEquals(
        400,
        f.call("POST", "/v1/weights", "{\"service\":\"m\",\"weights\":\"w99\"}", Map.of())
            .status());
    Assertions.assertEquals(
        400,
        f.call("POST", "/v1/weights", "{\"service\":\"application\",\"weights\":\"w1\"}", Map.of())
            .status());
    Assertions.assertEquals(
        409,
        f.call("POST", "/v1/core/swap", "{\"out\":\"control-9\",\"in\":\"control-1\"}", Map.of())
            .status());
    Assertions.assertEquals(
        409,
        f.call("POST", "/v1/core/swap", "{\"out\":\"control-1\",\"in\":\"control-2\"}", Map.of())
            .status());
    Assertions.assertEquals(
        number, f.call("GET", "/v1/configuration", null, Map.of()).body().getLong("number", -1));
  }

  /** An owner that has lost its majority may have a successor that it has not heard of. */
  @Test
  void anOwnerThatNoMajorityConfirmsShowsNothing() throws Exception {
    String owner = f.ownerOf("policy");
    String digest = "?digest=" + Digest.hex("x");
    List<String> others = new ArrayList<>(List.of("control-1", "control-2", "control-3"));
    others.remove(owner);
    for (String other : others) f.children.get(other).freeze(true);
    List<Fleet.Answer> answers = new ArrayList<>();
    for (String path : new String[] {"", "/numbers", "/numbers/1" + digest})
      answers.add(
          f.http(
              f.operatorAddresses.get(owner), "GET", "/v1/configuration" + path, null, Map.of()));
    for (String other : others) f.children.get(other).freeze(false);
    until(
        "a change is taken again",
        () -> f.sendStandardConfiguration(List.of(), "*").status() == 200);
    until("the relay is ready again", () -> f.isReady("relay-1"));
    Assertions.assertEquals(503, answers.get(0).status());
    Assertions.assertEquals(503, answers.get(1).status());
    Assertions.assertEquals("unknown", answers.get(2).body().getString("fate", ""));
  }

  @Test
  void aSecondSendOfTheSameConfigurationHasTheSameNumber() {
    String p = f.deployment.configuration(1234, List.of()).toString();
    Fleet.Answer a = f.call("POST", "/v1/configuration", p, Map.of("If-Match", "*")),
        b = f.call("POST", "/v1/configuration", p, Map.of("If-Match", "1"));
    Assertions.assertEquals(200, a.status());
    Assertions.assertEquals(200, b.status());
    Assertions.assertEquals(a.body().get("number"), b.body().get("number"));
    Assertions.assertTrue(b.body().getBoolean("repeated", false));
    String d = Digest.hex(p);
    Assertions.assertEquals(
        "taken",
        f.call(
                "GET",
                "/v1/configuration/numbers/" + a.body().get("number") + "?digest=" + d,
                null,
                Map.of())
            .body()
            .getString("fate", ""));
  }

  @Test
  void aStreamThatBreaksIsCutOffAndNeverLooksComplete() {
    for (int i = 0; i < 4; i++) {
      int n = i;
      both(
          x -> {
            x.clear();
            x.cutStreams = n == 0;
            x.truncatePiece = n == 1;
            x.skipPiece = n == 2;
          });
      if (n == 3) continue;
      Ledger.Call c = order(again);
      Assertions.assertEquals("cut-off", c.outcome, "fault " + n + " " + c.reason);
      Assertions.assertEquals(2, c.pieces);
      Assertions.assertFalse(c.bodyTerminated || c.explicitEnd);
      Assertions.assertEquals(
          1, runs(c).stream().filter(r -> r.ran).count(), "pieces were out: no second try");
      until("usable", () -> usable() == 2);
    }
  }

  @Test
  void bytesAfterTheEndGoNowhere() {
    both(x -> x.pieceAfterEnd = true);
    for (int i = 0; i < 6; i++) {
      Ledger.Call c = order(ask);
      Assertions.assertEquals("complete", c.outcome);
      Assertions.assertEquals(0, c.foreign + c.misordered);
    }
  }

  @Test
  void whatTheReplicaDidNotRunIsTriedOnceMoreAndElseToldSo() {
    // second tries are paid for by first ones
    for (int i = 0; i < 20; i++) Assertions.assertEquals("complete", order(wide).outcome);
    f.replicas.get("replica-1").faults.refusalRate = 1;
    for (int i = 0; i < 3; i++) Assertions.assertEquals("complete", order(wide).outcome);
    both(x -> x.refusalRate = 1);
    Ledger.Call c = order(ask);
    Assertions.assertEquals("not-run", c.outcome);
    Assertions.assertEquals(503, c.status);
    Assertions.assertEquals(0, runs(c).stream().filter(r -> r.ran).count());
  }

  @Test
  void ofUnknownFateOnlyTheRepeatableIsRepeated() {
    both(x -> x.earlyCloseRate = 1);
    Ledger.Call c = order(ask);
    Assertions.assertEquals("unknown", c.outcome);
    Assertions.assertEquals(1, runs(c).size());
    until("usable", () -> usable() == 2);
    both(x -> x.clear());
    f.replicas.get("replica-1").faults.earlyCloseRate = 1;
    int tried = 0;
    for (int i = 0; i < 10; i++) {
      Ledger.Call d = order(again);
      if (runs(d).size() == 2) {
        tried++;
        Assertions.assertEquals("complete", d.outcome);
      } else
        Assertions.assertEquals(
            runs(d).get(0).instance.equals("replica-1") ? "unknown" : "complete", d.outcome);
    }
    Assertions.assertTrue(tried > 0, "no order met the fault");
  }

  @Test
  void anAnswerUnderOtherWeightsIsNotGivenOn() {
    both(x -> x.reportWrongWeights = true);
    Ledger.Call c = order(ask);
    Assertions.assertEquals("unknown", c.outcome);
    Assertions.assertEquals(0, c.pieces);
  }

  @Test
  void aReplicaThatIsSomebodyElseGetsNothing() {
    StandInReplica r = f.replicas.get("replica-1");
    r.kill();
    r.faults.reportWrongService = true;
    r.start();
    int before = r.requests;
    for (int i = 0; i < 10; i++) Assertions.assertEquals("complete", order(wide).outcome);
    Assertions.assertEquals(before, r.requests);
  }

  @Test
  void absurdTalkOfLoadDoesNotStopTheService() {
    f.replicas.get("replica-1").faults.reportInvalidLoad = true;
    for (int i = 0; i < 10; i++) Assertions.assertEquals("complete", order(wide).outcome);
  }

  @Test
  void aHungReplicaCostsARequestItsDeadlineAtMostAndOthersNothing() {
    f.replicas.get("replica-1").faults.hang = true;
    until("known to hang", () -> usable() == 1);
    for (int i = 0; i < 5; i++) Assertions.assertEquals("complete", order(ask).outcome);
  }

  @Test
  void aRevokedKeyIsCutFromItsStreamsAndItsQueue() {
    both(x -> x.extraPieceDelayMs = 400);
    StandInCallers.Tenant two = f.deployment.tenants().get(1);
    List<Ledger.Call> l = new ArrayList<>();
    for (int i = 0; i < 24; i++) l.add(callers.send(ask, two, relay));
    until("some stream", () -> l.stream().anyMatch(c -> c.pieces > 0));
    Assertions.assertEquals(200, f.sendStandardConfiguration(List.of("two"), "*").status());
    long acked = System.nanoTime() / 1_000_000;
    for (Ledger.Call c : l) done(c);
    Assertions.assertEquals(
        0, l.stream().filter(c -> c.doneMs - acked > 2000).count(), "orders went on long after");
    Assertions.assertEquals(
        0,
        l.stream().filter(c -> runs(c).stream().anyMatch(r -> r.atMs > acked + 50)).count(),
        "orders began after");
    Assertions.assertTrue(
        l.stream().anyMatch(c -> c.outcome.equals("cut-off"))
            && l.stream().anyMatch(c -> c.outcome.equals("not-run") && c.status == 401),
        l.stream().map(c -> c.outcome + c.status).toList().toString());
    Assertions.assertEquals(401, done(callers.send(ask, two, relay)).status);
    Assertions.assertEquals(200, f.sendStandardConfiguration(List.of(), "*").status());
    Assertions.assertEquals("complete", done(callers.send(wide, two, relay)).outcome);
  }

  @Test
  void aLeavingReplicaFinishesWhatItHasAndGetsNothingNew() {
    both(x -> x.extraPieceDelayMs = 100);
    StandInReplica r = f.replicas.get("replica-1");
    List<Ledger.Call> l = new ArrayList<>();
    for (int i = 0; i < 8; i++) l.add(callers.send(wide, one, relay));
    until(
        "replica-1 has some",
        () ->
            l.stream()
                .anyMatch(c -> runs(c).stream().anyMatch(x -> x.instance.equals("replica-1"))));
    f.platform.list("m", "replica-1", r.address(), "zone-b", false);
    until("the relay knows", () -> usable() == 1);
    int n = r.requests;
    for (int i = 0; i < 6; i++) l.add(callers.send(wide, one, relay));
    for (Ledger.Call c : l) Assertions.assertEquals("complete", done(c).outcome);
    Assertions.assertEquals(n, r.requests);
    f.platform.list("m", "replica-1", r.address(), "zone-b", true);
  }

  @Test
  void aFullQueueRefusesAtOnceAndSaysWhenToComeBack() {
    both(x -> x.extraPieceDelayMs = 60);
    List<Ledger.Call> l = new ArrayList<>();
    for (int i = 0; i < 330; i++) l.add(callers.send(wide, one, relay));
    for (Ledger.Call c : l) done(c);
    long away = l.stream().filter(c -> c.outcome.equals("not-run")).count(),
        complete = l.stream().filter(c -> c.outcome.equals("complete")).count();
    Assertions.assertTrue(away >= 30 && complete >= 100, away + " away, " + complete + " complete");
    Assertions.assertTrue(
        l.stream().anyMatch(c -> c.reason.contains("queue is")), "none by the bound");
    Assertions.assertTrue(
        l.stream()
            .filter(c -> c.reason.contains("queue is"))
            .allMatch(c -> c.doneMs - c.sentMs < 3000),
        "an answer was held back");
    Assertions.assertEquals(
        0, l.stream().filter(c -> c.outcome.equals("not-run") && !runs(c).isEmpty()).count());
  }

  @Test
  void aCallerThatGoesAwayStopsItsOrderAtTheReplica() throws Exception {
    both(x -> x.extraPieceDelayMs = 60_000);
    String body = Json.object().add("prompt", "hello#goes-away").add("maxPieces", 64).toString();
    int c = relay.lastIndexOf(':');
    try (Socket s = new Socket(relay.substring(0, c), Integer.parseInt(relay.substring(c + 1)))) {
      s.getOutputStream()
          .write(
              ("POST /wide HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                      + one.key()
                      + "\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.UTF_8));
      s.getOutputStream().flush();
      until(
          "it runs",
          () ->
              f.ledger.runs.containsKey("goes-away")
                  && f.ledger.runs.get("goes-away").get(0).pieces > 0);
    }
    // long before another piece would be due
    until(
        "the replica sees that nobody wants it",
        () -> f.ledger.runs.get("goes-away").get(0).closedEarly);
    until("nothing is under way", () -> status().getInt("ordersUnderWay", -1) == 0);
    Assertions.assertFalse(f.ledger.runs.get("goes-away").get(0).ended);
  }

  @Test
  void withoutACoreRelaysStopAndWithItBackTheyServeWithinTwelveSeconds() throws Exception {
    for (int i = 1; i <= 3; i++) f.children.get("control-" + i).kill();
    until("the relay says it isn't ready", () -> !f.isReady("relay-1"));
    Ledger.Call c = order(ask);
    Assertions.assertEquals("not-run", c.outcome);
    Assertions.assertEquals("no licence", c.reason);
    Assertions.assertTrue(
        raw("/ask", one.key(), "{}").headers().containsKey("retry-after"), "when to come back");
    for (int i = 1; i <= 3; i++) f.children.get("control-" + i).start();
    Fleet.waitUntil("the relay is ready again", 12_000, () -> f.isReady("relay-1"));
    Assertions.assertEquals("complete", order(ask).outcome);
  }

  @Test
  void aPolitelyStoppedRelayFinishesItsStreams() throws Exception {
    both(x -> x.extraPieceDelayMs = 50);
    List<Ledger.Call> l = new ArrayList<>();
    for (int i = 0; i < 6; i++) l.add(callers.send(wide, one, relay));
    until("all stream", () -> l.stream().allMatch(c -> c.pieces > 0 || c.doneMs >= 0));
    Assertions.assertTrue(f.children.get("relay-1").stop(15_000), "did not end");
    for (Ledger.Call c : l) Assertions.assertEquals("complete", done(c).outcome);
    f.children.get("relay-1").start();
    until("ready again", () -> f.isReady("relay-1"));
  }

  @Test
  void newWeightsAreRolledInThirdsAndNothingBeginsOnOldOnesAfterTheCutoff() {
    order(ask);
    Fleet.Answer a = f.setWeights("w2");
    Assertions.assertEquals(200, a.status(), a.body().toString());
    until(
        "both run w2",
        () ->
            f.replicas.get("replica-1").weights().equals("w2")
                && f.replicas.get("replica-2").weights().equals("w2"));
    until(
        "an order runs on w2",
        () -> {
          Ledger.Call c = order(ask);
          return c.outcome.equals("complete")
              && runs(c).get(runs(c).size() - 1).weights.equals("w2");
        });
    Assertions.assertEquals(200, f.setWeights("w1").status());
    until(
        "both run w1 again",
        () ->
            f.replicas.get("replica-1").weights().equals("w1")
                && f.replicas.get("replica-2").weights().equals("w1"));
  }

  private static ChildProcess program(String main, String... args) throws Exception {
    ChildProcess c =
        new ChildProcess(
                "try",
                main,
                List.of(args),
                f.folder.resolve("try-" + System.nanoTime() + ".log"),
                64)
            .start();
    Assertions.assertTrue(c.waitFor(60_000), "did not end");
    return c;
  }

  private static void ends(ChildProcess c, int code, String... words) {
    Assertions.assertEquals(code, c.exitCode(), c.readLog());
    for (String w : words) Assertions.assertTrue(c.readLog().contains(w), w + " in " + c.readLog());
  }

  private static String settings(String n) {
    return f.folder.resolve(n + ".json").toString();
  }

  @Test
  void wrongFlagsAndSettingsEndWithTwoAndSayAllThatIsWrong() throws Exception {
    ends(program("gladelug.data.DataPlane", "relay", "--nope"), 2, "usage:");
    ends(program("gladelug.data.DataPlane"), 2, "usage:");
    ends(
        program("gladelug.control.ControlPlane", "run", "--settings", "/nowhere/at.all"),
        2,
        "cannot be read");
    Path path = f.folder.resolve("bad.json");
    Files.writeString(
        path,
        "{\"name\": \"Bad One\",\n \"records\": \"somewhere:1\",\n \"backlog\": 0, \"colour\": \"red\"}");
    ends(
        program(
            "gladelug.data.DataPlane", "relay", "--settings", path.toString(), "--choice", "dice"),
        2,
        "line 1, column 10 (name)",
        "line 2, column 13 (records)",
        "(backlog): must be a whole number",
        "(colour): is not a known field",
        "--operator: is required",
        "--seeds: at least one",
        "--choice: must be one of");
  }

  @Test
  void aMachineThatWillNotDoEndsWithOneClearLine() throws Exception {
    ends(
        program("gladelug.data.DataPlane", "relay", "--settings", settings("relay-1")),
        3,
        "data-plane: cannot listen for records on " + f.recordsAddresses.get("relay-1"));
    ends(
        program("gladelug.control.ControlPlane", "run", "--settings", settings("control-1")),
        3,
        "is in use by another process");
    ends(
        program(
            "gladelug.control.ControlPlane",
            "run",
            "--settings",
            settings("control-1"),
            "--data",
            settings("control-1") + "/under-a-file"),
        3,
        "cannot be used");
    ends(
        program(
            "gladelug.control.ControlPlane",
            "found",
            "--settings",
            settings("control-1"),
            "--name",
            "control-9"),
        3,
        "a new fleet needs 1 to 9 bootstrap members with distinct names, including this one");
  }

  @Test
  void malformedRecordsCloseTheirConnectionOnly() throws Exception {
    for (String n : new String[] {"relay-1", "control-1", "index-1"}) {
      String a = f.recordsAddresses.get(n);
      int c = a.lastIndexOf(':');
      for (byte[] bytes :
          new byte[][] {
            {-1, -1, -1, -1, 9},
            {0, 0, 0, 3, 1, 0, 9},
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8),
            {0, 0, 0, 1, 77}
          })
        try (Socket s = new Socket(a.substring(0, c), Integer.parseInt(a.substring(c + 1)))) {
          s.setSoTimeout(10_000);
          s.getOutputStream().write(bytes);
          s.getOutputStream().flush();
          Assertions.assertEquals(-1, s.getInputStream().read(), n + " kept a malformed circuit");
        } catch (SocketException e) {
          // reset is an end too
        }
    }
    Assertions.assertEquals("complete", order(ask).outcome);
  }

  private static JsonObject index() {
    return f.http(f.operatorAddresses.get("index-1"), "GET", "/operator/status", null, Map.of())
        .body();
  }

  @Test
  void lostAndLateCacheEventsAndRestartsEndInTheHoldersTruth() throws Exception {
    for (StandInReplica r : f.replicas.values()) {
      r.faults.eventLossRate = 0.2;
      r.faults.eventDelayRate = 0.3;
    }
    for (int i = 0; i < 40; i++)
      done(callers.send(i % 2 == 0 ? ask : wide, f.deployment.tenants().get(i % 8), relay));
    StandInReplica store = f.replicas.get("store"), one = f.replicas.get("replica-1");
    store.kill();
    store.start();
    one.kill();
    one.start();
    for (StandInReplica r : f.replicas.values()) r.faults.clear();
    until("usable", () -> usable() == 2);
    for (int i = 0; i < 10; i++) done(callers.send(ask, f.deployment.tenants().get(i % 8), relay));
    until(
        "the index has exactly what holders keep",
        () ->
            index().getInt("entries", -1)
                == f.replicas.values().stream().mapToInt(StandInReplica::blockCount).sum());
    long resyncs = 0;
    for (var value : index().get("holders").asArray())
      resyncs += value.asObject().getLong("resyncs", 0);
    Assertions.assertTrue(resyncs > 4, "no feed ever had to load a list");
    f.children.get("index-1").kill();
    Assertions.assertEquals("complete", order(ask).outcome, "without any index");
    f.children.get("index-1").start();
    until(
        "a new index has it too",
        () ->
            index().get("holders") != null
                && index().getInt("entries", -1)
                    == f.replicas.values().stream().mapToInt(StandInReplica::blockCount).sum());
  }

  @Test
  void isolatedTenantsShareNoPrefixAndOthersDo() {
    StandInCallers.Tenant eight = f.deployment.tenants().get(7);
    for (int i = 0; i < 6; i++) order(wide);
    Ledger.Call c = done(callers.send(wide, eight, relay));
    Assertions.assertEquals(0, runs(c).get(0).reused, "the isolated tenant's first");
    Assertions.assertEquals("eight", runs(c).get(0).wall);
    until(
        "its second reuses its own",
        () -> runs(done(callers.send(wide, eight, relay))).get(0).reused > 0);
  }

  private static int isolating(List<String> tenants) {
    return f.sendConfiguration(
            f.deployment.configuration(
                new Deployment.ConfigurationOptions(
                    f.nextMarker(), List.of(), "application", 0, false, tenants, false)),
            "*")
        .status();
  }

  private static Ledger.Run runOf(StandInCallers.Tenant tenant) {
    Ledger.Call call = done(callers.send(wide, tenant, relay));
    Assertions.assertEquals("complete", call.outcome, call.reason);
    return runs(call).get(0);
  }

  /** Guards against others finding what a tenant had cached before it became isolated. */
  @Test
  void whatATenantCachedBeforeItWasIsolatedIsFoundByNobodyAndTheRestIsKept() throws Exception {
    StandInCallers.Tenant two = f.deployment.tenants().get(1);
    String name = one.name();
    runOf(one);
    until("the other tenant finds it", () -> runOf(two).reused > 0);
    String shared = runOf(two).wall;
    Assertions.assertEquals(200, f.sendStandardConfiguration(List.of(), "*").status());
    Assertions.assertEquals(shared, runOf(two).wall, "a change that isolates nobody keeps it");
    Assertions.assertEquals(200, isolating(List.of(name)));
    Ledger.Run firstOfTwo = runOf(two), firstOfOne = runOf(one);
    Assertions.assertEquals(0, firstOfTwo.reused + firstOfOne.reused);
    until("each finds its own", () -> runOf(two).reused > 0 && runOf(one).reused > 0);
    Assertions.assertEquals(name, runOf(one).wall);
    List<String> killed = List.of("control-1", "control-2", "control-3", "relay-1");
    for (String process : killed) f.children.get(process).kill();
    for (String process : killed) f.children.get(process).start();
    until("the relay is back", () -> usable() == 2 && f.isReady("relay-1"));
    until("each still finds its own", () -> runOf(two).reused > 0 && runOf(one).reused > 0);
    Assertions.assertEquals(firstOfTwo.wall, runOf(two).wall);
    until("a change is taken again", () -> isolating(List.of()) == 200);
    Assertions.assertEquals(firstOfTwo.wall, runOf(one).wall, "it shares again");
    Assertions.assertEquals(200, isolating(List.of(name)));
    Ledger.Run again = runOf(two);
    Assertions.assertEquals(0, again.reused, "isolated once more");
    Assertions.assertNotEquals(firstOfTwo.wall, again.wall);
    Assertions.assertEquals(200, isolating(List.of()));
  }

  @Test
  void aConfigurationThatGrowsByThousandsIsPushedAsItsChange() {
    JsonObject big = f.deployment.configuration(1, List.of(), "application", 3000),
        bigger = f.deployment.configuration(1, List.of(), "application", 3010);
    Assertions.assertEquals(200, f.sendConfiguration(big, "*").status());
    Assertions.assertEquals(200, f.sendConfiguration(bigger, "*").status());
    Assertions.assertEquals("complete", order(wide).outcome);
    String l = f.children.get("relay-1").readLog();
    String last = l.substring(l.lastIndexOf("event=state-update-applied key=policy"));
    Assertions.assertTrue(
        last.substring(0, last.indexOf('\n')).contains("whole=false"),
        last.substring(0, last.indexOf('\n')));
    Assertions.assertEquals(200, f.sendStandardConfiguration(List.of(), "*").status());
  }
}

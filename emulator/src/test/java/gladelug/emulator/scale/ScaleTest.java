package gladelug.emulator.scale;

import gladelug.common.Finding;
import gladelug.common.Result;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of the scale run: its options, its least-squares fit, and the message counts of a quick run
 * with real processes.
 */
final class ScaleTest {
  private static ScalePlan.Options options(
      int seconds, String sizes, List<String> points, String roles, boolean quick) {
    return new ScalePlan.Options(1, seconds, sizes, points, roles, quick);
  }

  private static List<String> places(Result<ScalePlan> r) {
    Assertions.assertTrue(r instanceof Result.Bad<ScalePlan>, "refused");
    return ((Result.Bad<ScalePlan>) r).findings().stream().map(Finding::place).toList();
  }

  @Test
  void allInvalidOptionsAreReportedTogether() {
    List<String> at =
        places(
            ScalePlan.parse(
                options(1, "nodes,apples", List.of("nodes=3,2,x", "pears=1"), "index,judge", false),
                20_000));
    Assertions.assertEquals(
        List.of(
            "--sizes",
            "--points nodes",
            "--points",
            "--roles",
            "--seconds",
            "--points nodes",
            "--points nodes"),
        at);
  }

  @Test
  void pointsBeyondTheLimitsAreRefused() {
    Assertions.assertTrue(
        ScalePlan.parse(options(5, "", List.of(), "", false), 20_000)
            instanceof Result.Good<ScalePlan>);
    Assertions.assertEquals(
        10,
        places(ScalePlan.parse(options(5, "", List.of(), "", true), 2000)).stream()
            .distinct()
            .count());
    Assertions.assertEquals(
        List.of("--points blocks"),
        places(
            ScalePlan.parse(
                options(5, "blocks", List.of("blocks=10,20,30,44000000"), "", false), 20_000)));
    Assertions.assertEquals(
        List.of("--points controls"),
        places(
            ScalePlan.parse(
                options(5, "controls", List.of("controls=1,3,5,11"), "", false), 20_000)));
    Assertions.assertEquals(
        List.of("--points leaves"),
        places(ScalePlan.parse(options(5, "leaves", List.of("leaves=4,50,51"), "", true), 20_000)));
  }

  @Test
  void aLineIsFittedThroughPoints() {
    Slope s = Slope.fit(List.of(new double[] {0, 1}, new double[] {1, 3}, new double[] {2, 5}));
    Assertions.assertEquals(2, s.slope(), 1e-9);
    Assertions.assertEquals(1, s.intercept(), 1e-9);
    Assertions.assertEquals(0, s.error(), 1e-9);
    Assertions.assertEquals(1, s.r2(), 1e-9);
    Slope t =
        Slope.fit(
            List.of(
                new double[] {0, 0},
                new double[] {1, 2},
                new double[] {2, 1},
                new double[] {3, 3}));
    Assertions.assertEquals(0.8, t.slope(), 1e-9);
    Assertions.assertEquals(0.64, t.r2(), 1e-9);
    Assertions.assertEquals(0.4243, t.error(), 1e-4);
  }

  /**
   * Runs real processes at two points: bounds the records of each node, and expects one push per
   * node and change.
   */
  @Test
  void messagesPerNodeDoNotGrowWithTheNumberOfNodes() throws Exception {
    Path out = Files.createTempDirectory("gladelug-scale");
    ScalePlan plan =
        ((Result.Good<ScalePlan>)
                ScalePlan.parse(
                    options(2, "nodes", List.of("nodes=4,12"), "", true),
                    ScalePlan.totalMemoryMb()))
            .value();
    List<String> lines = new ArrayList<>();
    Map<ScaleSize, List<ScaleFleet.Figures>> all = new ScaleRun(plan, out, lines::add).run();
    List<ScaleFleet.Figures> l = all.get(ScaleSize.NODES);
    Assertions.assertEquals(2, l.size());
    for (ScaleFleet.Figures f : l) {
      long nodes = f.point().get(ScaleSize.NODES), controls = f.point().get(ScaleSize.CONTROLS);
      String at = nodes + " nodes: " + f.records().messages() + "; " + out;
      Assertions.assertTrue(f.changes() > 0, at);
      // a node gets a second push only if it still requests with the old number 300 ms after the
      // first
      Assertions.assertTrue(f.pushes() >= f.changes() * nodes, at);
      if (f.acks().getMaxValue() < 300_000)
        Assertions.assertEquals(f.changes() * nodes, f.pushes(), at);
      Assertions.assertEquals(f.changes(), f.acks().getTotalCount(), at);
      Assertions.assertTrue(f.lookups().getTotalCount() > 0, at);
      // one request every 400 ms on each connection, and one after each push
      double asks = controls * (f.seconds() / 0.4 + 2) + f.changes();
      Map<Traffic.Kind, Long> m = f.records().messages();
      Assertions.assertTrue(m.get(Traffic.Kind.ASK) <= nodes * asks, at);
      Assertions.assertTrue(
          m.get(Traffic.Kind.GRANTS) <= m.get(Traffic.Kind.ASK) + nodes * controls, at);
      Assertions.assertTrue(m.get(Traffic.Kind.ALLOT) <= nodes * (f.seconds() / 0.2 + 2), at);
      // at most two rounds per second, each a request and a response counted at both ends,
      // including the rounds of the real processes
      Assertions.assertTrue(
          m.get(Traffic.Kind.SHUFFLE) <= (nodes + controls + 2) * 8 * (f.seconds() + 1), at);
      for (String r : List.of("core-owner", "core-other", "index", "relay"))
        Assertions.assertTrue(f.roles().get(r).get("peak MB") > 1, r);
    }
    Assertions.assertTrue(Files.readAllLines(out.resolve("points.csv")).size() > 40);
    Assertions.assertTrue(
        Files.readString(out.resolve("slopes.csv")).contains("nodes,core-owner,cpu,"));
    int marks = Files.readString(out.resolve("nodes-cpu.svg")).split("<ellipse", -1).length - 1;
    Assertions.assertTrue(
        marks >= 2 * 4, "expected a marker for each role at both points, not " + marks);
  }
}

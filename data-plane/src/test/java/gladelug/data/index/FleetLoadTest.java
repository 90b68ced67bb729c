package gladelug.data.index;

import gladelug.common.message.Lookup;
import gladelug.common.message.WireRecord;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** What the index knows of all relays' work and of scarce memory. */
final class FleetLoadTest {
  @Test
  void workOfAllRelaysAddsUpAndRunsOut() {
    FleetLoad load = new FleetLoad();
    load.recordPlacement("a", new Lookup.Work(100, 300, 2000), 1000);
    load.recordPlacement("a", new Lookup.Work(50, 10, 500), 1010);
    load.recordPlacement("b", new Lookup.Work(30, 0, 7), 1010);
    load.recordPlacement("b", Lookup.Work.UNKNOWN, 1010);
    Assertions.assertEquals(140, busy(load.snapshot(1010), "a"));
    Assertions.assertEquals(30, busy(load.snapshot(1010), "b"));
    Assertions.assertEquals(50, busy(load.snapshot(1100), "a"));
    Assertions.assertEquals(0, busy(load.snapshot(1100), "b"), "is free and isn't named");
    Assertions.assertEquals(
        List.of(new Lookup.Load("a", 0, 1, 2000)),
        load.snapshot(1200).loads(),
        "one reply goes on");
    Assertions.assertEquals(List.of(), load.snapshot(1400).loads(), "all has run out");
    load.recordPlacement("a", new Lookup.Work(100, 300, 2000), 1400);
    load.removeHolder("a");
    Assertions.assertEquals(List.of(), load.snapshot(1400).loads());
  }

  @Test
  void anAnswerNamesABoundedNumberTheBusiestFirst() {
    FleetLoad load = new FleetLoad();
    for (int i = 0; i < 600; i++) load.recordPlacement("r" + i, new Lookup.Work(10 + i, 0, 1), 0);
    List<Lookup.Load> told = load.snapshot(0).loads();
    Assertions.assertEquals(64, told.size());
    Assertions.assertEquals(609, told.get(0).busyMs());
  }

  @Test
  void evictionsShowWhetherMemoryIsScarce() {
    FleetLoad plenty = new FleetLoad();
    FleetLoad scarce = new FleetLoad();
    for (int i = 0; i < 3000; i++) {
      plenty.recordBlockEvent(i % 50 != 0);
      scarce.recordBlockEvent(i % 2 == 0);
    }
    Assertions.assertTrue(plenty.snapshot(0).evictionRatio() < 0.05);
    Assertions.assertEquals(1, scarce.snapshot(0).evictionRatio(), 0.01);
    Assertions.assertEquals(0, new FleetLoad().snapshot(0).evictionRatio());
  }

  @Test
  void anAnswerIsReadBackWithAndWithoutTheFleet() throws IOException {
    List<Lookup.Match> matches = List.of(new Lookup.Match("i", 2, 3));
    Lookup.FleetLoad fleet = new Lookup.FleetLoad(List.of(new Lookup.Load("i", 70, 3, 9000)), 0.25);
    for (Lookup lookup :
        List.of(
            new Lookup.Response(1, true, matches),
            new Lookup.Response(1, true, matches, fleet),
            new Lookup.Response(2, false, List.of())))
      Assertions.assertEquals(lookup, WireRecord.decode(WireRecord.encode(lookup), Lookup::read));
    Lookup.Placement placed =
        new Lookup.Placement("i", new long[] {1}, new Lookup.Work(90, 5, 800));
    Lookup read = WireRecord.decode(WireRecord.encode(placed), Lookup::read);
    Assertions.assertEquals(new Lookup.Work(90, 5, 800), ((Lookup.Placement) read).work());
  }

  private static int busy(Lookup.FleetLoad fleet, String holder) {
    return fleet.loads().stream()
        .filter(load -> load.holder().equals(holder))
        .mapToInt(Lookup.Load::busyMs)
        .sum();
  }
}

package gladelug.common.view;

import gladelug.common.message.Shuffle;
import gladelug.common.message.Shuffle.Descriptor;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of PartialView. */
final class PartialViewTest {
  /** Rounds after which nobody names an index that died: a minute and a half. */
  private static final int FORGOTTEN_AFTER = 30;

  @Test
  void fortyNodesFromOneSeedStayConnectedAndForgetTheDead() {
    Random rnd = new Random(5);
    Map<String, PartialView> all = new LinkedHashMap<>();
    for (int i = 0; i < 40; i++) {
      Descriptor d =
          new Descriptor("n" + i, i < 3 ? "control" : "relay", "1.1.1.1:" + i, "", "", 1, 0);
      all.put("n" + i, new PartialView(d, b -> (long) (rnd.nextDouble() * b)));
    }
    Set<String> dead = new HashSet<>();
    for (int round = 0; round < 400; round++) {
      if (round == 100) for (int i = 0; i < 20; i++) dead.add("n" + i);
      for (Map.Entry<String, PartialView> e : all.entrySet()) {
        if (dead.contains(e.getKey())) continue;
        Map.Entry<Descriptor, Shuffle.Request> r = e.getValue().nextShuffle();
        if (r == null) r = Map.entry(all.get("n0").selfDescriptor(), e.getValue().createRequest());
        if (!dead.contains(r.getKey().name()) && all.get(r.getKey().name()) != e.getValue())
          e.getValue().onResponse(all.get(r.getKey().name()).onRequest(r.getValue()));
      }
    }
    Set<String> reach = new HashSet<>(List.of("n39"));
    for (int i = 0; i < 20; i++)
      for (String n : List.copyOf(reach))
        for (Descriptor d : all.get(n).all()) if (!dead.contains(d.name())) reach.add(d.name());
    Assertions.assertEquals(20, reach.size());
    for (int i = 20; i < 40; i++)
      for (Descriptor d : all.get("n" + i).all())
        Assertions.assertFalse(dead.contains(d.name()), d.name());
  }

  /** A fleet of relays with few indexes, each node under its name. */
  private static Map<String, PartialView> largeFleet(Random random, int nodes, int indexes) {
    Map<String, PartialView> all = new LinkedHashMap<>();
    for (int i = 0; i < nodes; i++) {
      String role = i < 3 ? "control" : i < 3 + indexes ? "index" : "relay";
      Descriptor self = new Descriptor("n" + i, role, "1.1.1.1:" + i, "", "", 1, 0);
      all.put("n" + i, new PartialView(self, bound -> (long) (random.nextDouble() * bound)));
    }
    return all;
  }

  private static void round(Map<String, PartialView> all, Set<String> dead) {
    for (Map.Entry<String, PartialView> each : all.entrySet()) {
      if (dead.contains(each.getKey())) continue;
      Map.Entry<Descriptor, Shuffle.Request> next = each.getValue().nextShuffle();
      if (next == null)
        next = Map.entry(all.get("n0").selfDescriptor(), each.getValue().createRequest());
      PartialView neighbour = all.get(next.getKey().name());
      if (!dead.contains(next.getKey().name()) && neighbour != each.getValue())
        each.getValue().onResponse(neighbour.onRequest(next.getValue()));
    }
  }

  private static long indexesKnown(PartialView view) {
    return view.all().stream().filter(d -> d.role().equals("index")).count();
  }

  /** Guards against relays of a large fleet that know no index and place requests without hints. */
  @Test
  void everyNodeOfALargeFleetSoonKnowsAllIndexesAndForgetsOneThatDied() {
    int indexes = 7;
    for (int nodes : new int[] {30, 105, 390}) {
      Map<String, PartialView> all = largeFleet(new Random(nodes), nodes, indexes);
      Set<String> dead = new HashSet<>();
      for (int round = 0; round < 15; round++) round(all, dead);
      for (int round = 0; round < 100; round++) {
        round(all, dead);
        for (Map.Entry<String, PartialView> each : all.entrySet())
          Assertions.assertTrue(
              indexesKnown(each.getValue()) >= indexes - 1, each.getKey() + " of " + nodes);
      }
      dead.add("n3");
      for (int round = 0; round < FORGOTTEN_AFTER; round++) round(all, dead);
      all.keySet().removeAll(dead);
      for (PartialView view : all.values())
        Assertions.assertTrue(view.all().stream().noneMatch(d -> d.name().equals("n3")));
    }
  }
}

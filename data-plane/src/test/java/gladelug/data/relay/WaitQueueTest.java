package gladelug.data.relay;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.data.request.Decision;
import gladelug.data.request.Request;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of WaitQueue. */
final class WaitQueueTest {
  private static Configuration configuration(String tenants) {
    var r =
        Configuration.parse(
            "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],\"mappings\":[{\"name\":\"a\","
                + "\"path\":\"/a\",\"service\":\"m\"},"
                + "{\"name\":\"b\",\"path\":\"/b\",\"service\":\"m\"}],\"tenants\":"
                + tenants
                + "}");
    return ((Result.Good<Configuration>) r).value();
  }

  private static int nextNumber;

  private static Request request(String leaf) {
    Request request = new Request(new Decision("x", nextNumber++, 0), 0, "", "", null);
    request.leaf = leaf;
    return request;
  }

  private static Map<String, Integer> serve(WaitQueue b, int places) {
    Map<String, Integer> got = new TreeMap<>();
    for (int i = 0; i < places; i++) {
      Request request = b.poll();
      if (request == null) break;
      got.merge(request.leaf, 1, Integer::sum);
      b.release(request);
    }
    return got;
  }

  @Test
  void slotsAreAllocatedByWeightAtEachLevel() {
    WaitQueue b = new WaitQueue(1000);
    b.configure(
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"weight\":3,\"shares\":[{\"name\":\"x\",\"weight\":2,"
                + "\"mappings\":[\"a\"]},{\"name\":\"y\",\"mappings\":[\"b\"]}]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 200; i++)
      for (String l : new String[] {"t/x", "t/y", "u"}) b.offer(request(l));
    Map<String, Integer> got = serve(b, 120);
    Assertions.assertEquals(30, got.get("u"), 1.0, got.toString());
    Assertions.assertEquals(60, got.get("t/x"), 1.0, got.toString());
    Assertions.assertEquals(30, got.get("t/y"), 1.0, got.toString());
  }

  @Test
  void aTenantThatArrivesLateGetsItsShareFromThenOnAndSavesUpNothing() {
    WaitQueue b = new WaitQueue(1000);
    b.configure(configuration("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 300; i++) b.offer(request("t"));
    serve(b, 200);
    for (int i = 0; i < 100; i++) b.offer(request("u"));
    Map<String, Integer> got = serve(b, 100);
    Assertions.assertEquals(50, got.get("u"), 1.0, "not all 100 at once: " + got);
  }

  @Test
  void theFleetsDivisionBoundsLeavesAndFractionsOfASlotAreUsedOverTime() {
    WaitQueue b = new WaitQueue(1000);
    b.configure(configuration("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 50; i++) for (String l : new String[] {"t", "u"}) b.offer(request(l));
    b.setBounds(Map.of("t", 2000, "u", 250), 0, 100);
    StringBuilder builder = new StringBuilder();
    List<Request> out = new ArrayList<>();
    for (int ms = 0; ms < 4000; ms += 100) {
      for (Request request : out) b.release(request);
      out.clear();
      b.setBounds(Map.of("t", 2000, "u", 250), 100, 100);
      for (Request request; (request = b.poll()) != null; ) {
        out.add(request);
        builder.append(request.leaf);
      }
    }
    Assertions.assertEquals(50, builder.chars().filter(c -> c == 't').count());
    Assertions.assertEquals(
        10,
        builder.chars().filter(c -> c == 'u').count(),
        "a quarter of a place for forty orders' time");
    b.clearBounds();
    Assertions.assertNotNull(b.poll());
  }

  @Test
  void lessUrgentTiersWaitAndLimitsAndTheQueueBoundAreEnforced() {
    WaitQueue b = new WaitQueue(5);
    b.configure(
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"tier\":1},{\"name\":\"u\",\"keys\":[],\"limit\":2}]"));
    for (String l : new String[] {"t", "u", "u", "u", "t"})
      Assertions.assertTrue(b.offer(request(l)));
    Assertions.assertFalse(b.offer(request("u")));
    StringBuilder builder = new StringBuilder();
    for (Request request; (request = b.poll()) != null; ) builder.append(request.leaf);
    Assertions.assertEquals("uutt", builder.toString());
    Assertions.assertEquals(1, b.removeIf(request -> request.leaf.equals("u")).size());
    Assertions.assertEquals(0, b.size());
  }
}

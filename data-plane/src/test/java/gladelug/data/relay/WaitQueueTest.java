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
    var parsed =
        Configuration.parse(
            "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],\"mappings\":[{\"name\":\"a\","
                + "\"path\":\"/a\",\"service\":\"m\"},"
                + "{\"name\":\"b\",\"path\":\"/b\",\"service\":\"m\"}],\"tenants\":"
                + tenants
                + "}");
    return ((Result.Good<Configuration>) parsed).value();
  }

  private static int nextNumber;

  private static Request request(String leaf) {
    Request request = new Request(new Decision("x", nextNumber++, 0), 0, "", "", null);
    request.leaf = leaf;
    return request;
  }

  private static Map<String, Integer> serve(WaitQueue queue, int slots) {
    Map<String, Integer> served = new TreeMap<>();
    for (int i = 0; i < slots; i++) {
      Request request = queue.poll();
      if (request == null) break;
      served.merge(request.leaf, 1, Integer::sum);
      queue.release(request);
    }
    return served;
  }

  @Test
  void slotsAreAllocatedByWeightAtEachLevel() {
    WaitQueue queue = new WaitQueue(1000);
    queue.configure(
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"weight\":3,\"shares\":[{\"name\":\"x\",\"weight\":2,"
                + "\"mappings\":[\"a\"]},{\"name\":\"y\",\"mappings\":[\"b\"]}]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 200; i++)
      for (String leaf : new String[] {"t/x", "t/y", "u"}) queue.offer(request(leaf));
    Map<String, Integer> served = serve(queue, 120);
    Assertions.assertEquals(30, served.get("u"), 1.0, served.toString());
    Assertions.assertEquals(60, served.get("t/x"), 1.0, served.toString());
    Assertions.assertEquals(30, served.get("t/y"), 1.0, served.toString());
  }

  @Test
  void aTenantThatArrivesLateGetsItsShareFromThenOnAndSavesUpNothing() {
    WaitQueue queue = new WaitQueue(1000);
    queue.configure(configuration("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 300; i++) queue.offer(request("t"));
    serve(queue, 200);
    for (int i = 0; i < 100; i++) queue.offer(request("u"));
    Map<String, Integer> served = serve(queue, 100);
    Assertions.assertEquals(50, served.get("u"), 1.0, "not all 100 at once: " + served);
  }

  @Test
  void theFleetsDivisionBoundsLeavesAndFractionsOfASlotAreUsedOverTime() {
    WaitQueue queue = new WaitQueue(1000);
    queue.configure(configuration("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
    for (int i = 0; i < 50; i++)
      for (String leaf : new String[] {"t", "u"}) queue.offer(request(leaf));
    queue.setBounds(Map.of("t", 2000, "u", 250), 0, 100);
    StringBuilder servedLeaves = new StringBuilder();
    List<Request> running = new ArrayList<>();
    for (int ms = 0; ms < 4000; ms += 100) {
      for (Request request : running) queue.release(request);
      running.clear();
      queue.setBounds(Map.of("t", 2000, "u", 250), 100, 100);
      for (Request request; (request = queue.poll()) != null; ) {
        running.add(request);
        servedLeaves.append(request.leaf);
      }
    }
    Assertions.assertEquals(50, servedLeaves.chars().filter(c -> c == 't').count());
    Assertions.assertEquals(
        10,
        servedLeaves.chars().filter(c -> c == 'u').count(),
        "a quarter of a slot over forty request durations");
    queue.clearBounds();
    Assertions.assertNotNull(queue.poll());
  }

  @Test
  void lessUrgentTiersWaitAndLimitsAndTheQueueBoundAreEnforced() {
    WaitQueue queue = new WaitQueue(5);
    queue.configure(
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"tier\":1},{\"name\":\"u\",\"keys\":[],\"limit\":2}]"));
    for (String leaf : new String[] {"t", "u", "u", "u", "t"})
      Assertions.assertTrue(queue.offer(request(leaf)));
    Assertions.assertFalse(queue.offer(request("u")));
    StringBuilder servedLeaves = new StringBuilder();
    for (Request request; (request = queue.poll()) != null; ) servedLeaves.append(request.leaf);
    Assertions.assertEquals("uutt", servedLeaves.toString());
    Assertions.assertEquals(1, queue.removeIf(request -> request.leaf.equals("u")).size());
    Assertions.assertEquals(0, queue.size());
  }
}

package gladelug.data.relay;

import gladelug.common.Address;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.message.Lookup;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Backend. */
final class BackendTest {
  @Test
  void numericWeightsAreComparedByValue() {
    Assertions.assertTrue(
        Backend.isNewer("2", "1") && Backend.isNewer("10", "9") && Backend.isNewer("1", ""));
    Assertions.assertFalse(
        Backend.isNewer("1", "2") || Backend.isNewer("9", "10") || Backend.isNewer("7", "7"));
  }

  @Test
  void anEmptyVersionIsNeverNewer() {
    Assertions.assertFalse(
        Backend.isNewer("", "1") || Backend.isNewer("", "w") || Backend.isNewer("", ""));
  }

  private static final int RELAYS = 84;

  /** One that doesn't report, with memory for 100,000 tokens and 12 slots. */
  private static Backend nonReporting() {
    Configuration.Engine engine =
        new Configuration.Engine(12, 100_000, 20_000, 1e6, 12, List.of("m"));
    Configuration.Service service =
        new Configuration.Service(0, "m", Configuration.Kind.MODEL, List.of(), 1, engine, null, "");
    Replica replica = new Replica("m", "r", new Address("1.1.1.2", 1), "z", true, 12, Map.of());
    Backend backend = new Backend(replica, false);
    backend.applyListing(replica, service, 0);
    return backend;
  }

  private static double estimatedQueueMs(Backend backend, long now, int units) {
    return backend.estimatedQueueMs(now, RELAYS, units, RelaySettings.DEFAULTS);
  }

  @Test
  void theFleetLoadFromTheIndexCountsForASecondAndRunsOut() {
    Backend backend = nonReporting();
    backend.recordFleetLoad(new Lookup.Load("r", 500, 3, 1000), 10_000);
    Assertions.assertEquals(500, estimatedQueueMs(backend, 10_000, 100), 1);
    Assertions.assertEquals(300, estimatedQueueMs(backend, 10_200, 100), 1);
    Assertions.assertEquals(3, backend.runningRequests(10_200));
    Assertions.assertEquals(0, estimatedQueueMs(backend, 12_000, 100), 1);
    Assertions.assertEquals(0, backend.runningRequests(12_000), "only its own again");
  }

  /** With a fresh answer of the index a relay doesn't take its own work for everybody's. */
  @Test
  void aReplicaThatThisRelayUsedLastIsNotAvoidedWhereTheIndexKnowsItIsFree() {
    Backend alone = nonReporting();
    alone.addWork(100, 10_000);
    Assertions.assertTrue(estimatedQueueMs(alone, 10_200, 100) > 300, "its own work, 84 times");
    Backend told = nonReporting();
    told.addWork(100, 10_000);
    told.recordFleetLoad(new Lookup.Load("r", 0, 0, 0), 10_150);
    Assertions.assertEquals(0, estimatedQueueMs(told, 10_200, 100), 1);
  }

  @Test
  void memoryFilledByOtherRelaysCostsMoreTheLessRoomIsLeft() {
    double before = 0;
    for (int units : new int[] {60_000, 85_000, 110_000, 140_000}) {
      Backend backend = nonReporting();
      backend.recordFleetLoad(new Lookup.Load("r", 0, 5, units), 10_000);
      double cost = estimatedQueueMs(backend, 10_000, 15_000);
      if (units == 60_000) Assertions.assertEquals(0, cost, 1, "there is room");
      else Assertions.assertTrue(cost > before + 200, units + " units cost " + cost);
      before = cost;
    }
  }

  @Test
  void anEjectedReplicaReportsWhenItIsUsableAgain() {
    Backend backend = nonReporting();
    Assertions.assertEquals(0, backend.msUntilUsable(1000));
    backend.eject(1000, 700);
    Assertions.assertEquals(700, backend.msUntilUsable(1000));
    Assertions.assertEquals(200, backend.msUntilUsable(1500));
    Assertions.assertEquals(0, backend.msUntilUsable(1700));
  }
}

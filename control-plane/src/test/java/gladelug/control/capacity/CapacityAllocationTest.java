package gladelug.control.capacity;

import static gladelug.control.capacity.CapacityAllocation.allocate;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.SubscriberStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of CapacityAllocation. */
final class CapacityAllocationTest {
  private static Configuration configuration(String tenants) {
    return ((Result.Good<Configuration>)
            Configuration.parse(
                "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],\"mappings\":["
                    + "{\"name\":\"a\",\"path\":\"/a\",\"service\":\"m\"},{\"name\":\"b\",\"path\":\"/b\","
                    + "\"service\":\"m\"}],\"tenants\":"
                    + tenants
                    + "}"))
        .value();
  }

  private static SubscriberStatus relay(String name, int places, Object... leafWaiting) {
    List<StateUpdate.QuotaDemand> demands = new ArrayList<>();
    for (int i = 0; i < leafWaiting.length; i += 2)
      demands.add(
          new StateUpdate.QuotaDemand(
              "m", (String) leafWaiting[i], (Integer) leafWaiting[i + 1], 0));
    return new SubscriberStatus(
        name,
        1,
        "relay",
        "",
        "",
        "",
        0,
        List.of(),
        Map.of(),
        demands,
        List.of(new StateUpdate.ServiceCapacity("m", places)),
        "");
  }

  private static String show(Map<String, List<StateUpdate.CapacityGrant>> grantsByRelay) {
    StringBuilder text = new StringBuilder();
    for (String relay : new TreeSet<>(grantsByRelay.keySet())) {
      StateUpdate.CapacityGrant grant = grantsByRelay.get(relay).get(0);
      text.append(relay).append(grant.limited() ? ":" : ": free");
      for (StateUpdate.QuotaAllotment allotment : grant.allotments())
        text.append(' ').append(allotment.leaf()).append('=').append(allotment.milliSlots());
      text.append('\n');
    }
    return text.toString();
  }

  @Test
  void whatFitsIsNotBoundedAndWhatDoesNotIsDealtByWeightOverTheFleet() {
    Configuration configuration =
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"weight\":3},{\"name\":\"u\",\"keys\":[]},{\"name\":\"v\","
                + "\"keys\":[]}]");
    Assertions.assertEquals(
        "r1: free\nr2: free\n",
        show(
            allocate(
                1, List.of(relay("r1", 40, "t", 20), relay("r2", 40, "u", 20)), configuration)));
    // t comes by one relay, u by both, v asks for less than its due: the rest of that goes to the
    // others
    Assertions.assertEquals(
        "r1: t=28500 u=4750 v=2000\nr2: u=4750\n",
        show(
            allocate(
                1,
                List.of(relay("r1", 40, "t", 100, "u", 50, "v", 2), relay("r2", 40, "u", 50)),
                configuration)));
  }

  @Test
  void tiersLimitsAndLevels() {
    Configuration configuration =
        configuration(
            "[{\"name\":\"t\",\"keys\":[],\"shares\":[{\"name\":\"x\",\"weight\":3,\"mappings\":[\"a\"]},"
                + "{\"name\":\"y\",\"mappings\":[\"b\"]}]},"
                + "{\"name\":\"u\",\"keys\":[],\"limit\":6},{\"name\":\"z\",\"keys\":[],\"tier\":1}]");
    Assertions.assertEquals(
        "r1: t/x=10500 t/y=3500 u=6000 z=0\n",
        show(
            allocate(
                1,
                List.of(relay("r1", 20, "t/x", 90, "t/y", 90, "u", 90, "z", 90)),
                configuration)));
    Assertions.assertEquals(
        "r1: t/y=4000 u=6000 z=10000\n",
        show(allocate(1, List.of(relay("r1", 20, "t/y", 4, "u", 90, "z", 90)), configuration)));
    Assertions.assertEquals(
        "r1: u=6000\n",
        show(allocate(1, List.of(relay("r1", 20, "u", 9)), configuration)),
        "a limit holds though there is room");
  }
}

package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of UrgencyLevels. */
final class UrgencyLevelsTest {
  private static UrgencyLevels levels(int[] tenantTiers, int[] routeTiers) {
    List<Configuration.Tenant> tenants = new ArrayList<>();
    for (int tier : tenantTiers) tenants.add(SimulatedBurst.tenant("t" + tier, tier));
    List<Configuration.Route.Builder> routes = new ArrayList<>();
    for (int tier : routeTiers) routes.add(SimulatedBurst.route("/" + tier).tier(tier));
    return new UrgencyLevels(SimulatedBurst.configuration(tenants, routes));
  }

  /** Guards against a tenant's rank that goes before a route's only while routes have few ranks. */
  @Test
  void aTenantsTierPrecedesARoutesTierWhateverTheNumbers() {
    for (int[] routeTiers : new int[][] {{0}, {0, 1, 2}, {0, 7}, {3, 90, 4000}}) {
      UrgencyLevels levels = levels(new int[] {0, 1, 5}, routeTiers);
      int leastOfTheFirst = levels.levelOf(0, routeTiers[routeTiers.length - 1]);
      int mostOfTheSecond = levels.levelOf(1, routeTiers[0]);
      Assertions.assertTrue(leastOfTheFirst < mostOfTheSecond, routeTiers.length + " ranks");
      Assertions.assertTrue(
          levels.levelOf(1, routeTiers[routeTiers.length - 1]) < levels.levelOf(5, 0));
      for (int i = 1; i < routeTiers.length; i++)
        Assertions.assertTrue(
            levels.levelOf(5, routeTiers[i - 1]) < levels.levelOf(5, routeTiers[i]));
    }
  }

  @Test
  void levelsNeverDecreaseWithRankNorExceedTheLastLevel() {
    for (int tenants : new int[] {1, 2, 3, 7, 10, 11, 40})
      for (int routes : new int[] {1, 2, 3, 7, 10, 11, 40}) {
        UrgencyLevels levels =
            levels(IntStream.range(0, tenants).toArray(), IntStream.range(0, routes).toArray());
        int before = 0;
        for (int tenant = 0; tenant < tenants; tenant++)
          for (int route = 0; route < routes; route++) {
            int level = levels.levelOf(tenant, route);
            Assertions.assertTrue(level >= before && level <= UrgencyLevels.LAST_LEVEL);
            before = level;
          }
      }
  }
}

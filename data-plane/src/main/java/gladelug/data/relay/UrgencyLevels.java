package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.data.request.Request;
import java.util.TreeSet;

/**
 * The urgency that replicas are told of a request, from 0 (first) to {@link #LAST_LEVEL}: by the
 * rank of its tenant, and among tenants of one rank by that of its route. The ranks that a
 * configuration has are numbered, so that a tenant's goes before a route's whatever numbers
 * operators chose; where there are more than levels, neighbours share one. Immutable.
 */
final class UrgencyLevels {
  /** The last level that replicas know. */
  static final int LAST_LEVEL = 9;

  private static final int LEVELS = LAST_LEVEL + 1;

  private final TreeSet<Integer> tenantTiers = new TreeSet<>();
  private final TreeSet<Integer> routeTiers = new TreeSet<>();
  private final int levelsPerTenant;

  UrgencyLevels(Configuration configuration) {
    for (Configuration.Tenant tenant : configuration.tenants)
      tenantTiers.add(tenant.rootShare().tier());
    for (Configuration.Route route : configuration.routes) {
      routeTiers.add(route.tier());
      if (route.allowsAnonymous()) tenantTiers.add(Configuration.ANONYMOUS.rootShare().tier());
    }
    levelsPerTenant = Math.max(1, LEVELS / Math.max(1, tenantTiers.size()));
  }

  /** The level of a request that has its tenant and route. */
  int levelOf(Request request) {
    return levelOf(request.tenant.rootShare().tier(), request.route.tier());
  }

  int levelOf(int tenantTier, int routeTier) {
    int tenants = Math.max(1, tenantTiers.size());
    int tenant = Math.min(tenants - 1, tenantTiers.headSet(tenantTier).size());
    int first = tenants > LEVELS ? tenant * LEVELS / tenants : tenant * levelsPerTenant;
    int routes = Math.max(1, routeTiers.size());
    int route = Math.min(routes - 1, routeTiers.headSet(routeTier).size());
    return first + (routes > levelsPerTenant ? route * levelsPerTenant / routes : route);
  }
}

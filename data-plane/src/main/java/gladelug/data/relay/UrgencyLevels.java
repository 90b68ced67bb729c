package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.data.request.Request;
import java.util.TreeSet;

/**
 * The urgency level of a request sent to replicas, from 0 (most urgent) to {@link #LAST_LEVEL}: by
 * the tier of its tenant, and among tenants of one tier by that of its route. The tiers of a
 * configuration are ranked, so that a tenant's tier precedes a route's whatever numbers operators
 * chose; if there are more ranks than levels, adjacent ranks share one. Immutable.
 */
final class UrgencyLevels {
  /** The highest level known to replicas. */
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

  /** Returns the level of a request whose tenant and route are set. */
  int levelOf(Request request) {
    return levelOf(request.tenant.rootShare().tier(), request.route.tier());
  }

  /** Returns the level of a request with these tiers of tenant and route. */
  int levelOf(int tenantTier, int routeTier) {
    int tenantCount = Math.max(1, tenantTiers.size());
    int tenantRank = Math.min(tenantCount - 1, tenantTiers.headSet(tenantTier).size());
    int firstLevel =
        tenantCount > LEVELS ? tenantRank * LEVELS / tenantCount : tenantRank * levelsPerTenant;
    int routeCount = Math.max(1, routeTiers.size());
    int routeRank = Math.min(routeCount - 1, routeTiers.headSet(routeTier).size());
    return firstLevel
        + (routeCount > levelsPerTenant ? routeRank * levelsPerTenant / routeCount : routeRank);
  }
}

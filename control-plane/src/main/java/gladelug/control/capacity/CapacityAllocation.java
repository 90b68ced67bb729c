package gladelug.control.capacity;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.QuotaShare;
import gladelug.common.message.StateUpdate.CapacityGrant;
import gladelug.common.message.StateUpdate.QuotaAllotment;
import gladelug.common.message.StateUpdate.QuotaDemand;
import gladelug.common.message.StateUpdate.ServiceCapacity;
import gladelug.control.core.SubscriberStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Divides the places of each service (requests that its replicas run at once) over tenants, shares
 * and relays, fleet-wide, from what relays report. While the demand fits the places nothing is
 * bounded. When it doesn't, each level of the quota tree distributes its places to the lowest tier
 * first and within it by weight, never more than a node asks for or its limit allows, what one
 * leaves going to the others; a leaf's places then go to relays as they asked. Pure; any thread.
 */
public final class CapacityAllocation {
  /** Fractions of a place that count as nothing. */
  private static final double NEGLIGIBLE_PLACES = 1e-9;

  private static final int MILLI_PLACES = 1000;

  /** A node of the quota tree with what its requests ask for and what it is given. */
  private static final class QuotaNode {
    final String path;
    final int weight;
    final int tier;

    /** Places at most; 0 is no limit. */
    final int limit;

    final List<QuotaNode> children = new ArrayList<>();

    /** Places asked for: of a leaf by its requests, of others by their children. */
    double demand;

    double places;

    QuotaNode(String path, int weight, int tier, int limit) {
      this.path = path;
      this.weight = weight;
      this.tier = tier;
      this.limit = limit;
    }

    /** A leaf outside the configured shares: weight 1, first tier, no limit. */
    static QuotaNode unconfiguredLeaf(String path, double demand) {
      QuotaNode leaf = new QuotaNode(path, 1, 0, 0);
      leaf.demand = demand;
      return leaf;
    }

    double limitedDemand() {
      return limit > 0 ? Math.min(limit, demand) : demand;
    }
  }

  /**
   * How one service's places are divided over the leaves of the quota tree.
   *
   * @param bounded whether the demand exceeds the places or a limit; else nobody is bounded
   */
  private record ServiceAllocation(
      String service,
      boolean bounded,
      Map<String, Double> demandByLeaf,
      Map<String, Double> placesByLeaf) {
    static ServiceAllocation of(
        String service, int places, List<SubscriberStatus> relays, Configuration configuration) {
      Map<String, Double> demandByLeaf = CapacityAllocation.demandByLeaf(service, relays);
      double totalDemand = demandByLeaf.values().stream().mapToDouble(demand -> demand).sum();
      QuotaNode root = quotaTree(configuration, demandByLeaf);
      Map<String, Double> placesByLeaf = new HashMap<>();
      boolean bounded = totalDemand > places || exceedsLimit(root);
      if (bounded) {
        distribute(root, Math.min(places, totalDemand));
        collectLeafPlaces(root, placesByLeaf);
      }
      return new ServiceAllocation(service, bounded, demandByLeaf, placesByLeaf);
    }

    CapacityGrant grantFor(SubscriberStatus relay, long epoch) {
      List<QuotaAllotment> allotments = new ArrayList<>();
      if (bounded)
        for (QuotaDemand demand : relay.demands())
          if (demand.service().equals(service))
            allotments.add(new QuotaAllotment(demand.leaf(), milliPlaces(demand)));
      return new CapacityGrant(epoch, service, bounded, allotments);
    }

    /** One relay's part of a leaf's places, in thousandths of a place. */
    private int milliPlaces(QuotaDemand demand) {
      double leafDemand = demandByLeaf.get(demand.leaf());
      double relayDemand = demand.waiting() + demand.inUse();
      double relayPart = leafDemand == 0 ? 0 : relayDemand / leafDemand;
      double leafPlaces = placesByLeaf.getOrDefault(demand.leaf(), 0.0);
      return (int) Math.round(MILLI_PLACES * leafPlaces * relayPart);
    }
  }

  private CapacityAllocation() {}

  /**
   * Divides the places of all services.
   *
   * @param epoch the epoch of the owner that divides, for the grants
   * @param relays what relays last reported
   * @return for each relay, by name, a grant for each service
   */
  public static Map<String, List<CapacityGrant>> allocate(
      long epoch, List<SubscriberStatus> relays, Configuration configuration) {
    Map<String, List<CapacityGrant>> grantsByRelay = new HashMap<>();
    placesByService(relays)
        .forEach(
            (service, places) -> {
              ServiceAllocation allocation =
                  ServiceAllocation.of(service, places, relays, configuration);
              for (SubscriberStatus relay : relays)
                grantsByRelay
                    .computeIfAbsent(relay.name(), name -> new ArrayList<>())
                    .add(allocation.grantFor(relay, epoch));
            });
    return grantsByRelay;
  }

  /** The most places that any relay sees at each service. */
  private static Map<String, Integer> placesByService(List<SubscriberStatus> relays) {
    Map<String, Integer> placesByService = new TreeMap<>();
    for (SubscriberStatus relay : relays)
      for (ServiceCapacity capacity : relay.capacities())
        placesByService.merge(capacity.service(), capacity.slots(), Math::max);
    return placesByService;
  }

  /** The places that all relays ask for, by path of the quota leaf. */
  private static Map<String, Double> demandByLeaf(String service, List<SubscriberStatus> relays) {
    Map<String, Double> demandByLeaf = new HashMap<>();
    for (SubscriberStatus relay : relays)
      for (QuotaDemand demand : relay.demands())
        if (demand.service().equals(service))
          demandByLeaf.merge(
              demand.leaf(), (double) demand.waiting() + demand.inUse(), Double::sum);
    return demandByLeaf;
  }

  private static QuotaNode quotaTree(
      Configuration configuration, Map<String, Double> demandByLeaf) {
    QuotaNode root = new QuotaNode("", 1, 0, 0);
    Map<String, Double> unassigned = new HashMap<>(demandByLeaf);
    for (Configuration.Tenant tenant : configuration.tenants)
      root.children.add(quotaNode(tenant.rootShare(), unassigned));
    // leaves of an older configuration still have requests somewhere
    for (String path : new TreeSet<>(unassigned.keySet()))
      root.children.add(QuotaNode.unconfiguredLeaf(path, unassigned.get(path)));
    sumDemand(root);
    return root;
  }

  /** The node of a share with all below it; what it takes is removed from the unassigned demand. */
  private static QuotaNode quotaNode(QuotaShare share, Map<String, Double> unassigned) {
    QuotaNode node = new QuotaNode(share.path(), share.weight(), share.tier(), share.limit());
    Double ownDemand = unassigned.remove(share.path());
    if (share.shares().isEmpty()) {
      node.demand = ownDemand == null ? 0 : ownDemand;
      return node;
    }
    for (QuotaShare child : share.shares()) node.children.add(quotaNode(child, unassigned));
    // a share that was a leaf in an older configuration still has requests of its own
    if (ownDemand != null) node.children.add(QuotaNode.unconfiguredLeaf(share.path(), ownDemand));
    return node;
  }

  /** Sums the demand of all inner nodes; returns what the node may ask of its parent. */
  private static double sumDemand(QuotaNode node) {
    if (!node.children.isEmpty()) {
      node.demand = 0;
      for (QuotaNode child : node.children) node.demand += sumDemand(child);
    }
    return node.limitedDemand();
  }

  private static boolean exceedsLimit(QuotaNode node) {
    if (node.limit > 0 && node.demand > node.limit) return true;
    return node.children.stream().anyMatch(CapacityAllocation::exceedsLimit);
  }

  /** Gives places to a node and all below it. */
  private static void distribute(QuotaNode node, double places) {
    node.places = Math.min(places, node.limitedDemand());
    if (node.children.isEmpty()) return;
    TreeSet<Integer> tiers = new TreeSet<>();
    for (QuotaNode child : node.children) tiers.add(child.tier);
    double remaining = node.places;
    for (int tier : tiers) remaining -= distributeInTier(node, tier, remaining);
  }

  /** Gives places to a node's children of one tier, by weight; returns how many were given. */
  private static double distributeInTier(QuotaNode parent, int tier, double available) {
    List<QuotaNode> unsatisfied = new ArrayList<>();
    for (QuotaNode child : parent.children)
      if (child.tier == tier && child.limitedDemand() > 0) unsatisfied.add(child);
    Map<QuotaNode, Double> placesByChild = new HashMap<>();
    double given = 0;
    while (!unsatisfied.isEmpty() && available - given > NEGLIGIBLE_PLACES) {
      double pool = available - given;
      double totalWeight = 0;
      for (QuotaNode child : unsatisfied) totalWeight += child.weight;
      List<QuotaNode> satisfied = new ArrayList<>();
      for (QuotaNode child : unsatisfied) {
        double due = pool * child.weight / totalWeight;
        double missing = child.limitedDemand() - placesByChild.getOrDefault(child, 0.0);
        double granted = Math.min(due, missing);
        placesByChild.merge(child, granted, Double::sum);
        given += granted;
        if (missing <= due + NEGLIGIBLE_PLACES) satisfied.add(child);
      }
      if (satisfied.isEmpty()) break;
      unsatisfied.removeAll(satisfied);
    }
    placesByChild.forEach(CapacityAllocation::distribute);
    return given;
  }

  private static void collectLeafPlaces(QuotaNode node, Map<String, Double> placesByLeaf) {
    if (node.children.isEmpty()) placesByLeaf.merge(node.path, node.places, Double::sum);
    for (QuotaNode child : node.children) collectLeafPlaces(child, placesByLeaf);
  }
}

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
 * Allocates the slots of each service (the requests that its replicas run concurrently) to tenants,
 * shares and relays across the fleet, from the demand that relays report. While the demand does not
 * exceed the slots, nothing is limited. Otherwise each level of the quota tree distributes its
 * slots to the lowest tier first and by weight within a tier, never more than a node's demand or
 * limit; slots that one node does not need go to the others. A leaf's slots are divided over relays
 * in proportion to their demand. Stateless and thread-safe.
 */
public final class CapacityAllocation {
  /** Fractions of a slot below this count as zero, which absorbs rounding errors. */
  private static final double NEGLIGIBLE_SLOTS = 1e-9;

  private static final int MILLI_SLOTS_PER_SLOT = 1000;

  /** A node of the quota tree with its demand and its allocated slots. */
  private static final class QuotaNode {
    final String path;
    final int weight;
    final int tier;

    /** The most slots it may get; 0 means no limit. */
    final int limit;

    final List<QuotaNode> children = new ArrayList<>();

    /** The demanded slots: of a leaf by its requests, of an inner node the sum of its children. */
    double demand;

    double slots;

    QuotaNode(String path, int weight, int tier, int limit) {
      this.path = path;
      this.weight = weight;
      this.tier = tier;
      this.limit = limit;
    }

    /** Creates a leaf for a path outside the configured shares: weight 1, first tier, no limit. */
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
   * The allocation of one service's slots to the leaves of the quota tree.
   *
   * @param isLimited whether the demand exceeds the slots or a limit; otherwise no relay is limited
   */
  private record ServiceAllocation(
      String service,
      boolean isLimited,
      Map<String, Double> demandByLeaf,
      Map<String, Double> slotsByLeaf) {
    static ServiceAllocation of(
        String service, int slots, List<SubscriberStatus> relays, Configuration configuration) {
      Map<String, Double> demandByLeaf = CapacityAllocation.sumDemandByLeaf(service, relays);
      double totalDemand = demandByLeaf.values().stream().mapToDouble(demand -> demand).sum();
      QuotaNode root = buildQuotaTree(configuration, demandByLeaf);
      Map<String, Double> slotsByLeaf = new HashMap<>();
      boolean isLimited = totalDemand > slots || exceedsLimit(root);
      if (isLimited) {
        distribute(root, Math.min(slots, totalDemand));
        collectLeafSlots(root, slotsByLeaf);
      }
      return new ServiceAllocation(service, isLimited, demandByLeaf, slotsByLeaf);
    }

    CapacityGrant createGrant(SubscriberStatus relay, long epoch) {
      List<QuotaAllotment> allotments = new ArrayList<>();
      if (isLimited)
        for (QuotaDemand demand : relay.demands())
          if (demand.service().equals(service))
            allotments.add(new QuotaAllotment(demand.leaf(), relayMilliSlots(demand)));
      return new CapacityGrant(epoch, service, isLimited, allotments);
    }

    /** Returns one relay's part of a leaf's slots, in thousandths of a slot. */
    private int relayMilliSlots(QuotaDemand demand) {
      double leafDemand = demandByLeaf.get(demand.leaf());
      double relayDemand = demand.waiting() + demand.inUse();
      double relayPart = leafDemand == 0 ? 0 : relayDemand / leafDemand;
      double leafSlots = slotsByLeaf.getOrDefault(demand.leaf(), 0.0);
      return (int) Math.round(MILLI_SLOTS_PER_SLOT * leafSlots * relayPart);
    }
  }

  private CapacityAllocation() {}

  /**
   * Allocates the slots of all services.
   *
   * @param epoch the epoch of the allocating owner, written into the grants
   * @param relays the relays with their last reports
   * @return by relay name, one grant for each service
   */
  public static Map<String, List<CapacityGrant>> allocate(
      long epoch, List<SubscriberStatus> relays, Configuration configuration) {
    Map<String, List<CapacityGrant>> grantsByRelay = new HashMap<>();
    maxSlotsByService(relays)
        .forEach(
            (service, slots) -> {
              ServiceAllocation allocation =
                  ServiceAllocation.of(service, slots, relays, configuration);
              for (SubscriberStatus relay : relays)
                grantsByRelay
                    .computeIfAbsent(relay.name(), name -> new ArrayList<>())
                    .add(allocation.createGrant(relay, epoch));
            });
    return grantsByRelay;
  }

  /** Returns, by service, the highest number of slots that any relay reports. */
  private static Map<String, Integer> maxSlotsByService(List<SubscriberStatus> relays) {
    Map<String, Integer> slotsByService = new TreeMap<>();
    for (SubscriberStatus relay : relays)
      for (ServiceCapacity capacity : relay.capacities())
        slotsByService.merge(capacity.service(), capacity.slots(), Math::max);
    return slotsByService;
  }

  /** Returns the slots demanded by all relays, by path of the quota leaf. */
  private static Map<String, Double> sumDemandByLeaf(
      String service, List<SubscriberStatus> relays) {
    Map<String, Double> demandByLeaf = new HashMap<>();
    for (SubscriberStatus relay : relays)
      for (QuotaDemand demand : relay.demands())
        if (demand.service().equals(service))
          demandByLeaf.merge(
              demand.leaf(), (double) demand.waiting() + demand.inUse(), Double::sum);
    return demandByLeaf;
  }

  private static QuotaNode buildQuotaTree(
      Configuration configuration, Map<String, Double> demandByLeaf) {
    QuotaNode root = new QuotaNode("", 1, 0, 0);
    Map<String, Double> unassigned = new HashMap<>(demandByLeaf);
    for (Configuration.Tenant tenant : configuration.tenants)
      root.children.add(buildQuotaNode(tenant.rootShare(), unassigned));
    // leaves of an older configuration may still have requests at some relay
    for (String path : new TreeSet<>(unassigned.keySet()))
      root.children.add(QuotaNode.unconfiguredLeaf(path, unassigned.get(path)));
    sumDemand(root);
    return root;
  }

  /** Builds the subtree of a share; the demand it covers is removed from the unassigned demand. */
  private static QuotaNode buildQuotaNode(QuotaShare share, Map<String, Double> unassigned) {
    QuotaNode node = new QuotaNode(share.path(), share.weight(), share.tier(), share.limit());
    Double ownDemand = unassigned.remove(share.path());
    if (share.shares().isEmpty()) {
      node.demand = ownDemand == null ? 0 : ownDemand;
      return node;
    }
    for (QuotaShare child : share.shares()) node.children.add(buildQuotaNode(child, unassigned));
    // a share that was a leaf in an older configuration may still have requests of its own
    if (ownDemand != null) node.children.add(QuotaNode.unconfiguredLeaf(share.path(), ownDemand));
    return node;
  }

  /** Sums the demand of all inner nodes; returns the node's demand up to its limit. */
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

  /** Allocates slots to a node and its descendants. */
  private static void distribute(QuotaNode node, double slots) {
    node.slots = Math.min(slots, node.limitedDemand());
    if (node.children.isEmpty()) return;
    TreeSet<Integer> tiers = new TreeSet<>();
    for (QuotaNode child : node.children) tiers.add(child.tier);
    double remaining = node.slots;
    for (int tier : tiers) remaining -= distributeInTier(node, tier, remaining);
  }

  /**
   * Allocates slots to a node's children of one tier, by weight; returns how many were allocated.
   */
  private static double distributeInTier(QuotaNode parent, int tier, double available) {
    List<QuotaNode> unsatisfied = new ArrayList<>();
    for (QuotaNode child : parent.children)
      if (child.tier == tier && child.limitedDemand() > 0) unsatisfied.add(child);
    Map<QuotaNode, Double> slotsByChild = new HashMap<>();
    double allocated = 0;
    while (!unsatisfied.isEmpty() && available - allocated > NEGLIGIBLE_SLOTS) {
      double pool = available - allocated;
      double totalWeight = 0;
      for (QuotaNode child : unsatisfied) totalWeight += child.weight;
      List<QuotaNode> satisfied = new ArrayList<>();
      for (QuotaNode child : unsatisfied) {
        double fairShare = pool * child.weight / totalWeight;
        double missing = child.limitedDemand() - slotsByChild.getOrDefault(child, 0.0);
        double granted = Math.min(fairShare, missing);
        slotsByChild.merge(child, granted, Double::sum);
        allocated += granted;
        if (missing <= fairShare + NEGLIGIBLE_SLOTS) satisfied.add(child);
      }
      if (satisfied.isEmpty()) break;
      unsatisfied.removeAll(satisfied);
    }
    slotsByChild.forEach(CapacityAllocation::distribute);
    return allocated;
  }

  private static void collectLeafSlots(QuotaNode node, Map<String, Double> slotsByLeaf) {
    if (node.children.isEmpty()) slotsByLeaf.merge(node.path, node.slots, Double::sum);
    for (QuotaNode child : node.children) collectLeafSlots(child, slotsByLeaf);
  }
}

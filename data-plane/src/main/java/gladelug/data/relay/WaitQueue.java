package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.QuotaShare;
import gladelug.data.request.Request;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Queue of the requests of one service that wait for a slot, organized as the tree of quota shares.
 * At each level the lowest tier goes first, within it the lowest route tier, and among equals slots
 * are allocated by weight (stride scheduling: each node's pass grows by 1/weight per slot, and the
 * lowest pass is next). At a leaf, among routes of one tier, the request goes first that has to
 * start first to meet its deadline. Any node may use what others leave. Bounded; performs no I/O.
 */
public final class WaitQueue {
  /**
   * Minimum slot bound assumed for a leaf when estimating waits, as a fraction of a slot is earned
   * over time.
   */
  private static final double MIN_SLOT_BOUND = 0.25;

  private static final Comparator<Request> LEAF_ORDER =
      Comparator.comparingInt(WaitQueue::routeTier)
          .thenComparingLong(Request::latestStartMs)
          .thenComparingLong(request -> request.decision.number);

  private static final class Node {
    final String path;
    final Node parent;
    final List<Node> children = new ArrayList<>();
    final PriorityQueue<Request> queue = new PriorityQueue<>(LEAF_ORDER);
    int weight = 1;
    int tier;
    int limit;
    int waiting;
    int used;
    double pass;

    /** Slots this leaf may use here by the fleet's division; negative if unbounded. */
    double slotBound = -1;

    double slotCredit;

    Node(String path, Node parent) {
      this.path = path;
      this.parent = parent;
      if (parent != null) parent.children.add(this);
    }
  }

  private final int maxSize;
  private Map<String, Node> nodes = new HashMap<>();
  private Node root = new Node("", null);

  public WaitQueue(int maxSize) {
    this.maxSize = maxSize;
  }

  /**
   * Applies the tree of a new configuration; queued requests and used slots are carried over by
   * path.
   */
  public void configure(Configuration configuration) {
    Map<String, Node> oldNodes = nodes;
    Node oldRoot = root;
    nodes = new HashMap<>();
    root = new Node("", null);
    for (Configuration.Tenant tenant : configuration.tenants) addShare(tenant.rootShare(), root);
    List<Request> waiting = new ArrayList<>();
    for (Node node : oldNodes.values()) {
      waiting.addAll(node.queue);
      Node newNode = nodes.get(node.path);
      if (newNode != null) newNode.pass = node.pass;
    }
    waiting.sort((left, right) -> Long.compare(left.decision.number, right.decision.number));
    for (Request request : waiting) put(request);
    for (Map.Entry<String, Node> entry : oldNodes.entrySet())
      if (entry.getValue().children.isEmpty())
        for (int slot = 0; slot < entry.getValue().used; slot++) adjustUsed(entry.getKey(), 1);
    root.used = oldRoot.used;
  }

  private void addShare(QuotaShare share, Node parent) {
    Node node = new Node(share.path(), parent);
    node.weight = share.weight();
    node.tier = share.tier();
    node.limit = share.limit();
    nodes.put(share.path(), node);
    for (QuotaShare child : share.shares()) addShare(child, node);
    if (!share.shares().isEmpty()) {
      // requests of a tenant or share that belong to no leaf below it are queued beside its
      // children
      Node rest = new Node(share.path() + "/", node);
      nodes.put(rest.path, rest);
    }
  }

  private Node leaf(String path) {
    Node node = nodes.get(path);
    if (node != null && !node.children.isEmpty()) node = nodes.get(path + "/");
    if (node == null) nodes.put(path, node = new Node(path, root));
    return node;
  }

  /** Returns the number of queued requests. */
  public int size() {
    return root.waiting;
  }

  /** Adds a request; returns false if the queue is full. */
  public boolean offer(Request request) {
    if (root.waiting >= maxSize) return false;
    put(request);
    return true;
  }

  private void put(Request request) {
    Node leaf = leaf(request.leaf);
    leaf.queue.add(request);
    for (Node node = leaf; node != null; node = node.parent) {
      if (node.waiting == 0 && node.parent != null) {
        double lowestPass = Double.MAX_VALUE;
        for (Node sibling : node.parent.children)
          if (sibling != node && (sibling.waiting > 0 || sibling.used > 0))
            lowestPass = Math.min(lowestPass, sibling.pass);
        if (lowestPass != Double.MAX_VALUE) node.pass = Math.max(node.pass, lowestPass);
      }
      node.waiting++;
    }
  }

  /** Removes the bounds of leaves, because the fleet has free slots or no division is known. */
  public void clearBounds() {
    for (Node node : nodes.values()) node.slotBound = -1;
  }

  /**
   * Applies the fleet's division, in thousandths of a slot by leaf. A fraction of a slot is used
   * over time: it earns credit for one request per that fraction of a request's mean duration.
   */
  public void setBounds(
      Map<String, Integer> milliSlotsByLeaf, double elapsedMs, double meanRequestMs) {
    for (Node node : nodes.values()) {
      if (!node.children.isEmpty()) continue;
      Integer milliSlots = milliSlotsByLeaf.get(leafName(node));
      node.slotBound = milliSlots == null ? 1 : milliSlots / 1000.0;
      node.slotCredit =
          Math.min(
              1,
              node.slotCredit
                  + (node.slotBound - Math.floor(node.slotBound))
                      * elapsedMs
                      / Math.max(1, meanRequestMs));
    }
  }

  private static String leafName(Node node) {
    return node.path.endsWith("/") ? node.path.substring(0, node.path.length() - 1) : node.path;
  }

  /** Returns whether a request below this node may get a slot now. */
  private static boolean mayServe(Node node) {
    if (node.waiting == 0 || node.limit > 0 && node.used >= node.limit) return false;
    if (!node.children.isEmpty()) {
      for (Node child : node.children) if (mayServe(child)) return true;
      return false;
    }
    return node.slotBound < 0
        || node.used < (int) node.slotBound
        || node.slotCredit >= 1 && node.used < (int) node.slotBound + 1;
  }

  /**
   * Removes and returns the next request to get a slot, which counts as used from now on; null if
   * none may.
   */
  public Request poll() {
    Node node = root;
    if (!mayServe(node)) return null;
    while (!node.children.isEmpty()) {
      Node best = null;
      for (Node child : node.children)
        if (mayServe(child) && (best == null || goesBefore(child, best))) best = child;
      if (best == null) return null;
      node = best;
    }
    if (node.slotBound >= 0 && node.used >= (int) node.slotBound) node.slotCredit = 0;
    Request request = node.queue.poll();
    for (Node ancestor = node; ancestor != null; ancestor = ancestor.parent) ancestor.waiting--;
    adjustUsed(request.leaf, 1);
    return request;
  }

  private static boolean goesBefore(Node node, Node other) {
    if (node.tier != other.tier) return node.tier < other.tier;
    int route = mostUrgentRouteTier(node);
    int otherRoute = mostUrgentRouteTier(other);
    return route != otherRoute ? route < otherRoute : node.pass < other.pass;
  }

  /** Returns the lowest tier of a route with a request below this node that may get a slot now. */
  private static int mostUrgentRouteTier(Node node) {
    if (node.children.isEmpty()) return routeTier(node.queue.element());
    int tier = Integer.MAX_VALUE;
    for (Node child : node.children)
      if (mayServe(child)) tier = Math.min(tier, mostUrgentRouteTier(child));
    return tier;
  }

  private void adjustUsed(String path, int delta) {
    for (Node node = leaf(path); node != null; node = node.parent) {
      node.used = Math.max(0, node.used + delta);
      if (delta > 0) node.pass += 1.0 / node.weight;
    }
  }

  /** Releases the slot of a request returned by {@link #poll}. */
  public void release(Request request) {
    adjustUsed(request.leaf, -1);
  }

  /** Removes and returns the matching queued requests. */
  public List<Request> removeIf(Predicate<Request> filter) {
    if (root.waiting == 0) return List.of();
    List<Request> removed = new ArrayList<>();
    for (Node leaf : nodes.values())
      leaf.queue.removeIf(
          request -> {
            if (!filter.test(request)) return false;
            removed.add(request);
            for (Node ancestor = leaf; ancestor != null; ancestor = ancestor.parent)
              ancestor.waiting--;
            return true;
          });
    return removed;
  }

  /** Returns by leaf the numbers of queued requests and of used slots. */
  public Map<String, int[]> waitingAndUsed() {
    Map<String, int[]> usageByLeaf = new TreeMap<>();
    for (Node node : nodes.values())
      if (node.children.isEmpty() && (node.waiting > 0 || node.used > 0))
        usageByLeaf.put(leafName(node), new int[] {node.waiting, node.used});
    return usageByLeaf;
  }

  /** Returns the number of slots in use by requests of this queue. */
  public int usedSlots() {
    return root.used;
  }

  /**
   * Returns how long a request that joins now would wait for a slot, in ms, including the work
   * queued ahead of it.
   *
   * @param meanRequestMs mean duration of a request
   * @param slotsWhenIdle number of slots likely to become available if none is in use now
   */
  double estimatedWaitMs(Request request, double meanRequestMs, int slotsWhenIdle) {
    Node leaf = leaf(request.leaf);
    double slots = root.used > 0 ? root.used : Math.max(1, slotsWhenIdle);
    if (leaf.slotBound >= 0) slots = Math.max(MIN_SLOT_BOUND, leaf.slotBound);
    return (meanRequestMs + workAheadMs(request, leaf)) / slots;
  }

  /** Returns the expected work queued ahead of a request of this leaf, in ms. */
  private double workAheadMs(Request request, Node leaf) {
    double ownLeafMs = 0;
    for (Request waiting : leaf.queue)
      if (routeTier(waiting) <= routeTier(request)) ownLeafMs += waiting.expectedMs;
    if (leaf.slotBound >= 0) return ownLeafMs;
    double elsewhereMs = 0;
    for (Node other : nodes.values())
      if (other != leaf && !other.queue.isEmpty())
        elsewhereMs += otherLeafWorkMs(request, leaf, other, ownLeafMs);
    return ownLeafMs + elsewhereMs;
  }

  /**
   * Returns how much of another leaf's queued work goes ahead of a request, in ms: all that is more
   * urgent and, of equally urgent work, what that leaf's weight gets while the work of this leaf is
   * served.
   */
  private double otherLeafWorkMs(Request request, Node leaf, Node other, double ownLeafMs) {
    Fork fork = Fork.between(leaf, other);
    if (fork.ours.tier < fork.theirs.tier) return 0;
    double moreUrgentMs = 0;
    double asUrgentMs = 0;
    for (Request waiting : other.queue)
      if (fork.theirs.tier < fork.ours.tier || routeTier(waiting) < routeTier(request))
        moreUrgentMs += waiting.expectedMs;
      else if (routeTier(waiting) == routeTier(request)) asUrgentMs += waiting.expectedMs;
    double theirShare = (double) fork.theirs.weight / fork.ours.weight;
    return moreUrgentMs + Math.min(asUrgentMs, (ownLeafMs + request.expectedMs) * theirShare);
  }

  /** The two nodes below the nearest common ancestor of two leaves. */
  private record Fork(Node ours, Node theirs) {
    static Fork between(Node leaf, Node other) {
      Set<Node> above = new HashSet<>();
      for (Node node = leaf; node != null; node = node.parent) above.add(node);
      Node theirs = other;
      while (!above.contains(theirs.parent)) theirs = theirs.parent;
      Node ours = leaf;
      while (ours.parent != theirs.parent) ours = ours.parent;
      return new Fork(ours, theirs);
    }
  }

  private static int routeTier(Request request) {
    return request.route == null ? 0 : request.route.tier();
  }
}

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
 * Requests of one service that wait for a slot, in the tree of quota shares: at each level the
 * lowest tier goes first, within it the lowest tier of a route, and where those are alike slots are
 * allocated by weight (each node's pass grows by 1/weight a slot, the least pass is next). At a
 * leaf, of routes of one tier, the request goes first that has to begin first to end before its
 * deadline. Any node may use what others leave. Bounded; no I/O.
 */
public final class WaitQueue {
  /** The least part of a place that a leaf is reckoned to have, as parts are earned in time. */
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

    /** Places this leaf may use here, by the fleet's division; negative is no bound. */
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

  public WaitQueue(int most) {
    this.maxSize = most;
  }

  /** A new configuration's tree; what waits and what is used is carried over by path. */
  public void configure(Configuration configuration) {
    Map<String, Node> old = nodes;
    Node oldRoot = root;
    nodes = new HashMap<>();
    root = new Node("", null);
    for (Configuration.Tenant t : configuration.tenants) addShare(t.rootShare(), root);
    List<Request> waiting = new ArrayList<>();
    for (Node n : old.values()) {
      waiting.addAll(n.queue);
      Node m = nodes.get(n.path);
      if (m != null) m.pass = n.pass;
    }
    waiting.sort((a, b) -> Long.compare(a.decision.number, b.decision.number));
    for (Request o : waiting) put(o);
    for (Map.Entry<String, Node> e : old.entrySet())
      if (e.getValue().children.isEmpty())
        for (int i = 0; i < e.getValue().used; i++) adjustUsed(e.getKey(), 1);
    root.used = oldRoot.used;
  }

  private void addShare(QuotaShare s, Node under) {
    Node n = new Node(s.path(), under);
    n.weight = s.weight();
    n.tier = s.tier();
    n.limit = s.limit();
    nodes.put(s.path(), n);
    for (QuotaShare c : s.shares()) addShare(c, n);
    if (!s.shares().isEmpty()) {
      // requests of a tenant or share that no leaf below names wait beside its children
      Node rest = new Node(s.path() + "/", n);
      nodes.put(rest.path, rest);
    }
  }

  private Node leaf(String path) {
    Node n = nodes.get(path);
    if (n != null && !n.children.isEmpty()) n = nodes.get(path + "/");
    if (n == null) nodes.put(path, n = new Node(path, root));
    return n;
  }

  public int size() {
    return root.waiting;
  }

  /** False where the queue is full. */
  public boolean offer(Request request) {
    if (root.waiting >= maxSize) return false;
    put(request);
    return true;
  }

  private void put(Request request) {
    Node l = leaf(request.leaf);
    l.queue.add(request);
    for (Node n = l; n != null; n = n.parent) {
      if (n.waiting == 0 && n.parent != null) {
        double least = Double.MAX_VALUE;
        for (Node s : n.parent.children)
          if (s != n && (s.waiting > 0 || s.used > 0)) least = Math.min(least, s.pass);
        if (least != Double.MAX_VALUE) n.pass = Math.max(n.pass, least);
      }
      n.waiting++;
    }
  }

  /** No bounds on leaves: the fleet is not full, or nobody divides. */
  public void clearBounds() {
    for (Node n : nodes.values()) n.slotBound = -1;
  }

  /**
   * The fleet's division: thousandths of a place by leaf. A part of a place is used in time: it
   * earns credit, one request's worth for each of that part of a request's usual duration.
   */
  public void setBounds(Map<String, Integer> milli, double passed, double requestMs) {
    for (Node n : nodes.values()) {
      if (!n.children.isEmpty()) continue;
      Integer m = milli.get(leafName(n));
      n.slotBound = m == null ? 1 : m / 1000.0;
      n.slotCredit =
          Math.min(
              1,
              n.slotCredit
                  + (n.slotBound - Math.floor(n.slotBound)) * passed / Math.max(1, requestMs));
    }
  }

  private static String leafName(Node n) {
    return n.path.endsWith("/") ? n.path.substring(0, n.path.length() - 1) : n.path;
  }

  private static boolean mayServe(Node n) {
    if (n.waiting == 0 || n.limit > 0 && n.used >= n.limit) return false;
    if (!n.children.isEmpty()) {
      for (Node c : n.children) if (mayServe(c)) return true;
      return false;
    }
    return n.slotBound < 0
        || n.used < (int) n.slotBound
        || n.slotCredit >= 1 && n.used < (int) n.slotBound + 1;
  }

  /** The next request to have a place, taken out and counted as using it; null where none may. */
  public Request poll() {
    Node n = root;
    if (!mayServe(n)) return null;
    while (!n.children.isEmpty()) {
      Node best = null;
      for (Node c : n.children) if (mayServe(c) && (best == null || goesBefore(c, best))) best = c;
      if (best == null) return null;
      n = best;
    }
    if (n.slotBound >= 0 && n.used >= (int) n.slotBound) n.slotCredit = 0;
    Request request = n.queue.poll();
    for (Node m = n; m != null; m = m.parent) m.waiting--;
    adjustUsed(request.leaf, 1);
    return request;
  }

  private static boolean goesBefore(Node node, Node other) {
    if (node.tier != other.tier) return node.tier < other.tier;
    int route = mostUrgentRouteTier(node);
    int otherRoute = mostUrgentRouteTier(other);
    return route != otherRoute ? route < otherRoute : node.pass < other.pass;
  }

  /** The lowest tier of a route whose request may have a place below this node now. */
  private static int mostUrgentRouteTier(Node node) {
    if (node.children.isEmpty()) return routeTier(node.queue.element());
    int tier = Integer.MAX_VALUE;
    for (Node child : node.children)
      if (mayServe(child)) tier = Math.min(tier, mostUrgentRouteTier(child));
    return tier;
  }

  private void adjustUsed(String path, int by) {
    for (Node n = leaf(path); n != null; n = n.parent) {
      n.used = Math.max(0, n.used + by);
      if (by > 0) n.pass += 1.0 / n.weight;
    }
  }

  /** A request that next() gave has given its place back. */
  public void release(Request request) {
    adjustUsed(request.leaf, -1);
  }

  /** Takes out those that match; they had no place. */
  public List<Request> removeIf(Predicate<Request> which) {
    if (root.waiting == 0) return List.of();
    List<Request> out = new ArrayList<>();
    for (Node l : nodes.values())
      l.queue.removeIf(
          request -> {
            if (!which.test(request)) return false;
            out.add(request);
            for (Node m = l; m != null; m = m.parent) m.waiting--;
            return true;
          });
    return out;
  }

  /** By leaf: waiting, and using a place. */
  public Map<String, int[]> waitingAndUsed() {
    Map<String, int[]> m = new TreeMap<>();
    for (Node n : nodes.values())
      if (n.children.isEmpty() && (n.waiting > 0 || n.used > 0))
        m.put(leafName(n), new int[] {n.waiting, n.used});
    return m;
  }

  public int usedSlots() {
    return root.used;
  }

  /**
   * How long a request that joins now would wait for a place, in ms: until the first comes free,
   * and for all that goes before it.
   *
   * @param requestMs what a request usually takes
   * @param placesWhenIdle how many places are likely to come where none is in use now
   */
  double estimatedWaitMs(Request request, double requestMs, int placesWhenIdle) {
    Node leaf = leaf(request.leaf);
    double places = root.used > 0 ? root.used : Math.max(1, placesWhenIdle);
    if (leaf.slotBound >= 0) places = Math.max(MIN_SLOT_BOUND, leaf.slotBound);
    return (requestMs + workAheadMs(request, leaf)) / places;
  }

  /** The expected ms of work that waits and goes before a request of this leaf. */
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
   * Of another leaf's waiting work, what goes before a request: all that is more urgent; of what is
   * as urgent, as much as its share gets while this leaf's own goes before.
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

  /** Where the ways to two leaves part: the two nodes below their nearest common parent. */
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

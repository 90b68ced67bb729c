/*
 * Orders of one service that wait for a place, in the share tree: at each level the lowest tier
 * goes first, within it places are dealt by weight (each node's pass grows by 1/weight a place,
 * the least pass is next), and at a leaf first come, first served. Anybody may use what others
 * leave. Bounded; pure.
 */
package gladelug.data.relay;

import gladelug.data.order.Decision;
import gladelug.data.order.Order;
import gladelug.kernel.Result;
import gladelug.kernel.policy.Policy;
import gladelug.kernel.policy.Share;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Backlog {
    private static final class Node {
        final String path;
        final Node parent;
        final List<Node> children = new ArrayList<>();
        final ArrayDeque<Order> queue = new ArrayDeque<>();
        int weight = 1;
        int tier;
        int limit;
        int waiting;
        int used;
        double pass;
        /** Places this leaf may use here, by the fleet's division; negative is no bound. */
        double part = -1;
        double credit;

        Node(String path, Node parent) {
            this.path = path;
            this.parent = parent;
            if (parent != null) parent.children.add(this);
        }
    }

    private final int most;
    private Map<String, Node> nodes = new HashMap<>();
    private Node root = new Node("", null);

    public Backlog(int most) {
        this.most = most;
    }

    /** A new policy's tree; what waits and what is used is carried over by path. */
    public void shape(Policy p) {
        Map<String, Node> old = nodes;
        Node oldRoot = root;
        nodes = new HashMap<>();
        root = new Node("", null);
        for (Policy.Tenant t : p.tenants) shape(t.share(), root);
        List<Order> waiting = new ArrayList<>();
        for (Node n : old.values()) {
            waiting.addAll(n.queue);
            Node m = nodes.get(n.path);
            if (m != null) m.pass = n.pass;
        }
        waiting.sort((a, b) -> Long.compare(a.decision.nr, b.decision.nr));
        for (Order o : waiting) put(o);
        for (Map.Entry<String, Node> e : old.entrySet())
            if (e.getValue().children.isEmpty()) for (int i = 0; i < e.getValue().used; i++) use(e.getKey(), 1);
        root.used = oldRoot.used;
    }

    private void shape(Share s, Node under) {
        Node n = new Node(s.path(), under);
        n.weight = s.weight();
        n.tier = s.tier();
        n.limit = s.limit();
        nodes.put(s.path(), n);
        for (Share c : s.shares()) shape(c, n);
        if (!s.shares().isEmpty()) {
            // orders of a tenant or share that no leaf below names wait beside its children
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

    /** False where the backlog is full. */
    public boolean enter(Order o) {
        if (root.waiting >= most) return false;
        put(o);
        return true;
    }

    private void put(Order o) {
        Node l = leaf(o.leaf);
        l.queue.add(o);
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
    public void unbound() {
        for (Node n : nodes.values()) n.part = -1;
    }

    /**
     * The fleet's division: thousandths of a place by leaf. A part of a place is used in time: it
     * earns credit, one order's worth for each of that part of an order's usual duration.
     */
    public void bound(Map<String, Integer> milli, double passed, double orderMs) {
        for (Node n : nodes.values()) {
            if (!n.children.isEmpty()) continue;
            Integer m = milli.get(leafName(n));
            n.part = m == null ? 1 : m / 1000.0;
            n.credit = Math.min(1, n.credit + (n.part - Math.floor(n.part)) * passed / Math.max(1, orderMs));
        }
    }

    private static String leafName(Node n) {
        return n.path.endsWith("/") ? n.path.substring(0, n.path.length() - 1) : n.path;
    }

    private static boolean may(Node n) {
        if (n.waiting == 0 || n.limit > 0 && n.used >= n.limit) return false;
        if (!n.children.isEmpty()) {
            for (Node c : n.children) if (may(c)) return true;
            return false;
        }
        return n.part < 0 || n.used < (int) n.part || n.credit >= 1 && n.used < (int) n.part + 1;
    }

    /** The next order to have a place, taken out and counted as using it; null where none may. */
    public Order next() {
        Node n = root;
        if (!may(n)) return null;
        while (!n.children.isEmpty()) {
            Node best = null;
            for (Node c : n.children) {
                if (!may(c)) continue;
                if (best == null || c.tier < best.tier || c.tier == best.tier && c.pass < best.pass) best = c;
            }
            if (best == null) return null;
            n = best;
        }
        if (n.part >= 0 && n.used >= (int) n.part) n.credit = 0;
        Order o = n.queue.poll();
        for (Node m = n; m != null; m = m.parent) m.waiting--;
        use(o.leaf, 1);
        return o;
    }

    private void use(String path, int by) {
        for (Node n = leaf(path); n != null; n = n.parent) {
            n.used = Math.max(0, n.used + by);
            if (by > 0) n.pass += 1.0 / n.weight;
        }
    }

    /** An order that next() gave has given its place back. */
    public void release(Order o) {
        use(o.leaf, -1);
    }

    /** Takes out those that match; they had no place. */
    public List<Order> leave(Predicate<Order> which) {
        List<Order> out = new ArrayList<>();
        for (Node l : nodes.values())
            l.queue.removeIf(o -> {
                if (!which.test(o)) return false;
                out.add(o);
                for (Node m = l; m != null; m = m.parent) m.waiting--;
                return true;
            });
        return out;
    }

    /** By leaf: waiting, and using a place. */
    public Map<String, int[]> waitingAndUsed() {
        Map<String, int[]> m = new TreeMap<>();
        for (Node n : nodes.values())
            if (n.children.isEmpty() && (n.waiting > 0 || n.used > 0)) m.put(leafName(n), new int[]{n.waiting, n.used});
        return m;
    }

    public int used() {
        return root.used;
    }

    /** How many orders' time a new one of this leaf would wait: those before it over the places it has. */
    public double ahead(String leaf) {
        Node n = leaf(leaf);
        if (n.waiting == 0) return 0;
        double places = n.part >= 0 ? Math.max(0.25, n.part) : Math.max(1, n.used);
        return (n.waiting + 1) / places;
    }

    static final class Tests {
        private static Policy policy(String tenants) {
            var r = Policy.parse(
                "{\"services\":[{\"name\":\"m\",\"allow\":[\"1.1.1.1\"]}],\"mappings\":[{\"name\":\"a\","
                    + "\"path\":\"/a\",\"service\":\"m\"},"
                    + "{\"name\":\"b\",\"path\":\"/b\",\"service\":\"m\"}],\"tenants\":" + tenants + "}");
            return ((Result.Good<Policy>) r).value();
        }

        private static int nr;

        private static Order order(String leaf) {
            Order o = new Order(new Decision("x", nr++, 0), 0, "", "", null);
            o.leaf = leaf;
            return o;
        }

        private static Map<String, Integer> deal(Backlog b, int places) {
            Map<String, Integer> got = new TreeMap<>();
            for (int i = 0; i < places; i++) {
                Order o = b.next();
                if (o == null) break;
                got.merge(o.leaf, 1, Integer::sum);
                b.release(o);
            }
            return got;
        }

        @Test void whenFullPlacesGoByWeightAtEachLevel() {
            Backlog b = new Backlog(1000);
            b.shape(policy(
                "[{\"name\":\"t\",\"keys\":[],\"weight\":3,\"shares\":[{\"name\":\"x\",\"weight\":2,"
                    + "\"mappings\":[\"a\"]},{\"name\":\"y\",\"mappings\":[\"b\"]}]},{\"name\":\"u\",\"keys\":[]}]"));
            for (int i = 0; i < 200; i++) for (String l : new String[]{"t/x", "t/y", "u"}) b.enter(order(l));
            Map<String, Integer> got = deal(b, 120);
            Assertions.assertEquals(30, got.get("u"), 1.0, got.toString());
            Assertions.assertEquals(60, got.get("t/x"), 1.0, got.toString());
            Assertions.assertEquals(30, got.get("t/y"), 1.0, got.toString());
        }

        @Test void aLightOneThatComesLateIsNextAndNobodySavesUp() {
            Backlog b = new Backlog(1000);
            b.shape(policy("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
            for (int i = 0; i < 300; i++) b.enter(order("t"));
            deal(b, 200);
            for (int i = 0; i < 100; i++) b.enter(order("u"));
            Map<String, Integer> got = deal(b, 100);
            Assertions.assertEquals(50, got.get("u"), 1.0, "not all 100 at once: " + got);
        }

        @Test void theFleetsDivisionBoundsLeavesAndPartsOfAPlaceAreUsedInTime() {
            Backlog b = new Backlog(1000);
            b.shape(policy("[{\"name\":\"t\",\"keys\":[]},{\"name\":\"u\",\"keys\":[]}]"));
            for (int i = 0; i < 50; i++) for (String l : new String[]{"t", "u"}) b.enter(order(l));
            b.bound(Map.of("t", 2000, "u", 250), 0, 100);
            StringBuilder s = new StringBuilder();
            List<Order> out = new ArrayList<>();
            for (int ms = 0; ms < 4000; ms += 100) {
                for (Order o : out) b.release(o);
                out.clear();
                b.bound(Map.of("t", 2000, "u", 250), 100, 100);
                for (Order o; (o = b.next()) != null;) {
                    out.add(o);
                    s.append(o.leaf);
                }
            }
            Assertions.assertEquals(50, s.chars().filter(c -> c == 't').count());
            Assertions.assertEquals(10, s.chars().filter(c -> c == 'u').count(),
                "a quarter of a place for forty orders' time");
            b.unbound();
            Assertions.assertNotNull(b.next());
        }

        @Test void lowerTiersWaitLimitsHoldAndTheBoundHolds() {
            Backlog b = new Backlog(5);
            b.shape(policy("[{\"name\":\"t\",\"keys\":[],\"tier\":1},{\"name\":\"u\",\"keys\":[],\"limit\":2}]"));
            for (String l : new String[]{"t", "u", "u", "u", "t"}) Assertions.assertTrue(b.enter(order(l)));
            Assertions.assertFalse(b.enter(order("u")));
            StringBuilder s = new StringBuilder();
            for (Order o; (o = b.next()) != null;) s.append(o.leaf);
            Assertions.assertEquals("uutt", s.toString());
            Assertions.assertEquals(1, b.leave(o -> o.leaf.equals("u")).size());
            Assertions.assertEquals(0, b.size());
        }
    }
}

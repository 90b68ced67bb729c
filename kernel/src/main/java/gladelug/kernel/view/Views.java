/*
 * A partial view of the fleet, shuffled between neighbours: each round the oldest neighbour is
 * asked, given a few descriptors with our own among them, and gives as many back. One that doesn't
 * answer has left the view by being asked. Pure: chance and sending are handed in. A view says
 * whom to call, never what is true.
 */
package gladelug.kernel.view;

import gladelug.kernel.message.Shuffle;
import gladelug.kernel.message.Shuffle.Descriptor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class Views {
    public static final int SIZE = 16, SOME = 6, FORGET = 120;

    private final Descriptor self;
    private final LongUnaryOperator random;
    private final Map<String, Descriptor> view = new LinkedHashMap<>();
    private List<String> given = List.of();
    private long generation;

    public Views(Descriptor self, LongUnaryOperator random) {
        this.self = self;
        this.random = random;
    }

    public void generation(long g) {
        generation = Math.max(generation, g);
    }

    public List<Descriptor> all() {
        return new ArrayList<>(view.values());
    }

    private Descriptor me() {
        return new Descriptor(self.name(), self.role(), self.records(), self.operator(), self.domain(), generation, 0);
    }

    /** Whom to shuffle with now and what to say, or null where the view is empty. */
    public Map.Entry<Descriptor, Shuffle.Request> round() {
        view.replaceAll((n, d) -> d.older());
        view.values().removeIf(d -> d.age() > FORGET);
        Descriptor q = view.values().stream().max(Comparator.comparingInt(Descriptor::age)).orElse(null);
        if (q == null) return null;
        view.remove(q.name());
        return Map.entry(q, begin());
    }

    /** What to say to a seed, of which only the address is known. */
    public Shuffle.Request begin() {
        List<Descriptor> l = some(SOME - 1);
        given = l.stream().map(Descriptor::name).toList();
        l.add(me());
        return new Shuffle.Request(l);
    }

    public Shuffle.Answer asked(Shuffle.Request r) {
        List<Descriptor> l = some(SOME - 1);
        List<String> names = l.stream().map(Descriptor::name).toList();
        l.add(me());
        merge(r.some(), names);
        return new Shuffle.Answer(l);
    }

    public void answered(Shuffle.Answer a) {
        merge(a.some(), given);
    }

    private List<Descriptor> some(int n) {
        List<Descriptor> l = all();
        List<Descriptor> out = new ArrayList<>();
        while (!l.isEmpty() && out.size() < n) out.add(l.remove((int) random.applyAsLong(l.size())));
        return out;
    }

    private void merge(List<Descriptor> got, List<String> mayGo) {
        List<String> go = new ArrayList<>(mayGo);
        for (Descriptor d : got) {
            if (d.name().equals(self.name())) continue;
            Descriptor old = view.get(d.name());
            if (old != null) {
                if (d.age() <= old.age()) view.put(d.name(), d);
                continue;
            }
            while (view.size() >= SIZE && !go.isEmpty()) view.remove(go.remove(0));
            if (view.size() < SIZE) view.put(d.name(), d);
        }
    }

    static final class Tests {
        @Test void fortyNodesFromOneSeedStayConnectedAndForgetTheDead() {
            Random rnd = new Random(5);
            Map<String, Views> all = new LinkedHashMap<>();
            for (int i = 0; i < 40; i++) {
                Descriptor d = new Descriptor("n" + i, i < 3 ? "control" : "relay", "1.1.1.1:" + i, "", "", 1, 0);
                all.put("n" + i, new Views(d, b -> (long) (rnd.nextDouble() * b)));
            }
            Set<String> dead = new HashSet<>();
            for (int round = 0; round < 400; round++) {
                if (round == 100) for (int i = 0; i < 20; i++) dead.add("n" + i);
                for (Map.Entry<String, Views> e : all.entrySet()) {
                    if (dead.contains(e.getKey())) continue;
                    Map.Entry<Descriptor, Shuffle.Request> r = e.getValue().round();
                    if (r == null) r = Map.entry(all.get("n0").me(), e.getValue().begin());
                    if (!dead.contains(r.getKey().name()) && all.get(r.getKey().name()) != e.getValue())
                        e.getValue().answered(all.get(r.getKey().name()).asked(r.getValue()));
                }
            }
            Set<String> reach = new HashSet<>(List.of("n39"));
            for (int i = 0; i < 20; i++)
                for (String n : List.copyOf(reach))
                    for (Descriptor d : all.get(n).all()) if (!dead.contains(d.name())) reach.add(d.name());
            Assertions.assertEquals(20, reach.size());
            for (int i = 20; i < 40; i++)
                for (Descriptor d : all.get("n" + i).all()) Assertions.assertFalse(dead.contains(d.name()), d.name());
        }
    }
}

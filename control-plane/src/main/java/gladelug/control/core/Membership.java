/*
 * Who the core's members are, at one member: founding, joining, and replacing one by another under
 * intent, seal, copy and activate. The next members are written like any value of the key core, so
 * there is one next generation; members then durably refuse the old one and say what they keep; the
 * new set is told itself with, of every key, the highest value and promise among a sealed majority.
 */
package gladelug.control.core;

import gladelug.control.core.CoreMessage.Envelope;
import gladelug.control.core.CoreMessage.Join;
import gladelug.control.core.CoreMessage.Kept;
import gladelug.control.core.CoreMessage.Meet;
import gladelug.control.core.CoreMessage.Seal;
import gladelug.control.core.CoreMessage.Sealed;
import gladelug.control.core.CoreMessage.Settled;
import gladelug.kernel.Address;
import gladelug.kernel.message.Keys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

final class Membership {
    static final String MEMBERS = "members", SEALED = "sealed";

    private final CoreNode n;
    private final Members.Member me;
    private CoreNode.Founding founding;
    private Members members = Members.NONE;
    private Members sealed;
    private long sealedAt;
    private boolean retired;
    /** The newest members heard of, though this may be none of them. */
    private Members known = Members.NONE;
    private final Map<String, Members.Member> met = new TreeMap<>();
    private final Map<String, Members.Member> joiners = new TreeMap<>();
    private final Map<String, Long> joinersHeard = new HashMap<>();
    /** Members of earlier generations, to be told that they are none any more. */
    private final Map<String, Members.Member> former = new HashMap<>();
    private final Map<String, Long> told = new HashMap<>();
    private final Map<String, List<Kept>> sealedBy = new HashMap<>();
    private long lastMeet = Long.MIN_VALUE / 2;
    private long lastDrive = Long.MIN_VALUE / 2;

    Membership(CoreNode n, Members.Member me, CoreNode.Founding founding) {
        this.n = n;
        this.me = me;
        this.founding = founding;
    }

    /** From what is on disk; either may be missing. */
    void open(byte[] m, byte[] s) {
        if (m != null) take(Members.of(m));
        if (s != null && Members.of(s).generation() > members.generation()) {
            sealed = Members.of(s);
            sealedAt = n.host.now();
        }
    }

    Members members() {
        return members;
    }

    boolean settled() {
        return members.generation() > 0;
    }

    boolean sealed() {
        return sealed != null;
    }

    boolean retired() {
        return retired;
    }

    /** Whether this member takes part in its generation. */
    boolean active() {
        return settled() && sealed == null && !retired;
    }

    private void take(Members m) {
        for (Members.Member x : members.all()) if (m.find(x.name()) == null) former.put(x.name(), x);
        Members before = members;
        members = m;
        sealed = null;
        sealedBy.clear();
        retired = false;
        n.began(before, m);
    }

    private Envelope say(CoreMessage m) {
        return new Envelope(members.generation(), n.self, n.disk, m);
    }

    void meet(long now) {
        if (founding == null || now - lastMeet < 200) return;
        lastMeet = now;
        for (Members.Member m : founding.founders()) {
            if (m.name().equals(n.self)) met.put(n.self, new Members.Member(n.self, n.disk, m.records(), m.operator()));
            else n.host.sendTo(m.records(), say(new Meet(m.records().toString(), m.operator().toString())));
        }
        settleFounding();
    }

    private void settleFounding() {
        if (settled() || founding == null || met.size() < founding.founders().size()) return;
        adopt(new Members(1, new ArrayList<>(met.values())), List.of());
    }

    /** A machine without members and without founding asks to be let in; it votes on nothing meanwhile. */
    void join(long now) {
        if (founding != null || now - lastMeet < 300) return;
        lastMeet = now;
        Set<Address> to = new HashSet<>(n.host.contacts());
        for (Members.Member m : known.all()) to.add(m.records());
        to.remove(me.records());
        for (Address a : to) n.host.sendTo(a, say(new Join(me.records().toString(), me.operator().toString())));
    }

    /** What is said across generations; true where that was all. */
    boolean generations(Envelope e, long now) {
        CoreMessage s = e.said();
        if (s instanceof Meet) onMeet(e, now);
        else if (s instanceof Settled x) onSettled(x);
        else if (s instanceof Join j) onJoin(e, j, now);
        else if (s instanceof Seal x) onSeal(e, x.next(), now);
        else if (s instanceof Sealed x) onSealed(e.from(), x);
        else return false;
        return true;
    }

    private void onMeet(Envelope e, long now) {
        if (settled()) {
            Members.Member m = members.find(e.from());
            if (m != null && m.disk().equals(e.disk())) tell(e.from(), now);
            else n.host.event("stranger-at-founding", "name", e.from());
            return;
        }
        if (founding == null) return;
        for (Members.Member m : founding.founders()) {
            if (!m.name().equals(e.from()) || m.name().equals(n.self)) continue;
            Members.Member old = met.put(m.name(), new Members.Member(m.name(), e.disk(), m.records(), m.operator()));
            if (old != null && !old.disk().equals(e.disk())) n.host.event("founder-changed-disk", "name", m.name());
        }
        settleFounding();
    }

    /** To a member of this generation that seems not to know it: the members, and all that is kept here. */
    void tell(String name, long now) {
        Members.Member m = members.find(name);
        Long last = told.get(name);
        if (sealed != null || last != null && now - last < 500) return;
        told.put(name, now);
        if (m != null) n.host.sendTo(m.records(), say(new Settled(members, n.all())));
        else if (former.containsKey(name))
            n.host.sendTo(former.get(name).records(), say(new Settled(members, List.of())));
    }

    private void onSettled(Settled s) {
        Members m = s.members();
        if (m.generation() > known.generation()) known = m;
        if (m.generation() <= members.generation()) return;
        Members.Member x = m.find(n.self);
        if (x == null || !x.disk().equals(n.disk)) {
            if (settled() && !retired) {
                retired = true;
                n.deposeAll("not a member any more");
                n.host.event("not-a-member", "generation", m.generation());
            }
            return;
        }
        adopt(m, s.cells());
    }

    /** The cells first, the members last: only with these on disk does the generation count here. */
    private void adopt(Members m, List<Kept> cs) {
        for (Kept k : cs) n.keep(k.key(), Cell.merge(n.cell(k.key()), Cell.of(k.cell())), () -> {});
        n.host.sync(MEMBERS, m.bytes(), () -> {
            if (m.generation() > members.generation()) {
                founding = null;
                take(m);
            }
        });
    }

    private void onJoin(Envelope e, Join j, long now) {
        if (!settled() || sealed != null || retired) return;
        Members.Member m = members.find(e.from());
        if (m != null && m.disk().equals(e.disk())) {
            tell(e.from(), now);
            return;
        }
        Members.Member in = new Members.Member(e.from(), e.disk(), Address.of(j.records()), Address.of(j.operator()));
        if (joiners.put(in.name(), in) == null) n.host.event("would-join", "name", in.name(), "records", in.records());
        joinersHeard.put(in.name(), now);
        n.host.sendTo(in.records(), say(new Settled(members, List.of())));
        if (m != null && n.owns(Keys.CORE) && !n.live(m.name(), now) && now - n.booted > 2L * n.tunables.dead()
            && now - n.heard(m.name()) > 2L * n.tunables.dead())
            replace(m.name(), in, a -> {});
    }

    /** What may be swapped in: machines that ask to join, lately heard. */
    List<Members.Member> joiners() {
        long now = n.host.now();
        List<Members.Member> l = new ArrayList<>();
        for (Members.Member m : joiners.values())
            if (now - joinersHeard.get(m.name()) < 3000
                && members.all().stream().noneMatch(x -> x.disk().equals(m.disk()))) l.add(m);
        return l;
    }

    /**
     * One at a time: the next members are written like any value of the key core, then the old generation is sealed.
     */
    private void replace(String out, Members.Member in, Consumer<ChangeAnswer> answer) {
        List<Members.Member> l = new ArrayList<>(members.all());
        l.removeIf(m -> m.name().equals(out));
        l.add(in);
        Members next = new Members(members.generation() + 1, l);
        KeyOwner o = n.owner(Keys.CORE);
        if (pending(o.value().body()) != null) {
            answer.accept(new ChangeAnswer.Busy());
            return;
        }
        n.host.event("replace-begins", "out", out, "in", in.name(), "disk", in.disk(), "generation", next.generation());
        o.propose(o.value().number(), next.bytes(), answer, n.host.now());
    }

    /** An operator's swap; findings are plain words and nothing changed. */
    String swap(String out, String in, Consumer<ChangeAnswer> answer) {
        if (members.find(out) == null) return out + " is not a member of the core";
        if (members.find(in) != null && !in.equals(out)) return in + " is already a member of the core";
        Members.Member x = joiners().stream().filter(m -> m.name().equals(in)).findFirst().orElse(null);
        if (x == null)
            return in + " is not asking to join; start `control-plane run` there with an empty data folder first";
        if (!n.owns(Keys.CORE)) return "ask "
            + n.keys().stream().filter(k -> k.key().equals(Keys.CORE)).map(CoreNode.KeyState::owner).findFirst()
                .orElse("another machine")
            + ", which owns the core's members at the moment";
        if (pending(n.owner(Keys.CORE).value().body()) != null) return "another replacement is under way";
        replace(out, x, answer);
        return "";
    }

    Members pending(byte[] body) {
        if (body.length == 0) return null;
        Members m = Members.of(body);
        return m.generation() > members.generation() ? m : null;
    }

    private void onSeal(Envelope e, Members next, long now) {
        if (!settled()) return;
        if (next.generation() <= members.generation()) {
            tell(e.from(), now);
            return;
        }
        if (next.generation() != members.generation() + 1 || sealed != null && !sealed.equals(next)) return;
        if (sealed == null) seal(next, now);
        n.host.sync(SEALED, next.bytes(), () -> {
            if (sealed != null) n.host.sendTo(e.from().equals(n.self) ? me.records() : address(e.from()),
                say(new Sealed(next.generation(), n.all())));
        });
    }

    private Address address(String name) {
        Members.Member m = members.find(name);
        return m == null ? me.records() : m.records();
    }

    void seal(Members next, long now) {
        sealed = next;
        sealedAt = now;
        sealedBy.clear();
        n.deposeAll("sealed");
        n.host.event("sealed", "generation", members.generation(), "next", next.generation());
        n.host.sync(SEALED, next.bytes(), () -> {});
    }

    /**
     * Whoever is sealed brings it to an end, the first in the order of the key core at once, the others if that takes
     * long.
     */
    void drive(long now) {
        int rank = members.order(Keys.CORE).indexOf(n.self);
        if (now - sealedAt < (long) rank * n.tunables.rank() || now - lastDrive < n.tunables.confirm()) return;
        lastDrive = now;
        if (sealedBy.size() < members.majority()) {
            for (Members.Member m : members.all()) n.host.sendTo(m.records(), say(new Seal(sealed)));
            return;
        }
        List<Kept> merged = merged();
        for (Members.Member m : sealed.all()) n.host.sendTo(m.records(), say(new Settled(sealed, merged)));
    }

    private void onSealed(String from, Sealed s) {
        if (sealed == null || s.next() != sealed.generation() || members.find(from) == null) return;
        sealedBy.put(from, s.cells());
        if (sealedBy.size() >= members.majority()) lastDrive = Long.MIN_VALUE / 2;
    }

    /** Of every key the highest value and the highest promise among a sealed majority. */
    private List<Kept> merged() {
        Map<String, Cell> m = new TreeMap<>();
        for (List<Kept> l : sealedBy.values())
            for (Kept k : l) m.merge(k.key(), Cell.of(k.cell()), Cell::merge);
        List<Kept> out = new ArrayList<>();
        m.forEach((k, c) -> out.add(new Kept(k, c.bytes())));
        return out;
    }
}

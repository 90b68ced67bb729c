/*
 * A data-plane process's side of the news, pure: which number it holds of each key, under which
 * licences, what it asks and what it takes. A lower number is never taken, nothing under an epoch
 * below the highest seen, and a change only on exactly the number it is based on and only if what
 * comes out has the digest that was told.
 */
package gladelug.data.news;

import gladelug.kernel.Digest;
import gladelug.kernel.message.Delta;
import gladelug.kernel.message.Keys;
import gladelug.kernel.message.News;
import gladelug.kernel.message.Shuffle;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public final class NewsBook {
    /** Makes use of a push, always whole; false where it can't be read. */
    public interface Taker {
        boolean take(News.Push p);
    }

    public enum Told { NOTHING, TAKEN, ALLOTTED, WANTS_WHOLE }

    private static final List<News.Demand> NO_DEMAND = List.of();
    public final Licences licences = new Licences();
    private final Shuffle.Descriptor self;
    private final long run;
    private final Taker taker;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<String, byte[]> values = new HashMap<>();
    private long allotEpoch;

    public NewsBook(Shuffle.Descriptor self, long run, Taker taker) {
        this.self = self;
        this.run = run;
        this.taker = taker;
    }

    public long number(String key) {
        return numbers.getOrDefault(key, 0L);
    }

    public News.Ask ask(long now) {
        return ask(now, NO_DEMAND, List.of());
    }

    public News.Ask ask(long now, List<News.Demand> demands, List<News.Places> places) {
        List<News.Held> l = new ArrayList<>();
        for (String k : Keys.NEWS) l.add(new News.Held(k, licences.epoch(k), number(k)));
        return new News.Ask(now, self.name(), run, self.role(), self.records(), self.operator(), self.domain(), l,
            demands, places);
    }

    public Told told(News n) {
        if (n instanceof News.Grants g) {
            for (News.Grant x : g.grants()) licences.granted(x, g.ask(), number(x.key()));
        } else if (n instanceof News.Allot a) {
            if (a.epoch() < allotEpoch) return Told.NOTHING;
            allotEpoch = a.epoch();
            return Told.ALLOTTED;
        } else if (n instanceof News.Push p && p.number() > number(p.key()) && p.epoch() >= licences.epoch(p.key())) {
            byte[] v = p.value();
            if (p.base() >= 0) {
                v = p.base() == number(p.key())
                    ? Delta.apply(values.getOrDefault(p.key(), new byte[0]), p.value())
                    : null;
                if (v == null || !Digest.hex(v).equals(p.digest())) return Told.WANTS_WHOLE;
            }
            if (!taker.take(new News.Push(p.key(), p.epoch(), p.number(), -1, p.digest(), v))) return Told.NOTHING;
            numbers.put(p.key(), p.number());
            values.put(p.key(), v);
            licences.seen(p.key(), p.epoch());
            return Told.TAKEN;
        }
        return Told.NOTHING;
    }

    static final class Tests {
        private static byte[] bytes(String s) {
            return s.getBytes(StandardCharsets.UTF_8);
        }

        private static News.Push push(long epoch, long nr, long base, String digestOf, byte[] v) {
            return new News.Push(Keys.POLICY, epoch, nr, base, Digest.hex(digestOf), v);
        }

        @Test void aChangeIsTakenOnlyOnItsBaseAndOnlyIfTheDigestAgrees() {
            List<String> taken = new ArrayList<>();
            NewsBook b = new NewsBook(new Shuffle.Descriptor("r", "relay", "", "", "", 0, 0), 1,
                p -> taken.add(new String(p.value())));
            String one = "so it begins and goes on. ".repeat(20)
                + "a policy that is long enough for a change of it to be worth while, twice over, as policies "
                + "are, and then some more",
                two = one.replace("twice", "three times"), three = two + "!";
            Assertions.assertEquals(Told.WANTS_WHOLE, b.told(push(1, 2, 1, two, Delta.between(bytes(one), bytes(two)))),
                "a gap");
            Assertions.assertEquals(Told.TAKEN, b.told(push(1, 1, -1, one, bytes(one))));
            Assertions.assertEquals(Told.TAKEN, b.told(push(1, 2, 1, two, Delta.between(bytes(one), bytes(two)))));
            Assertions.assertEquals(Told.WANTS_WHOLE,
                b.told(push(1, 3, 2, one, Delta.between(bytes(two), bytes(three)))), "another digest");
            Assertions.assertEquals(Told.NOTHING, b.told(push(1, 1, -1, one, bytes(one))), "a lower number");
            Assertions.assertEquals(Told.NOTHING, b.told(push(0, 9, -1, three, bytes(three))), "a lower epoch");
            Assertions.assertEquals(List.of(one, two), taken);
        }

        @Test void aDivisionUnderALowerEpochIsNotTaken() {
            NewsBook b = new NewsBook(new Shuffle.Descriptor("r", "relay", "", "", "", 0, 0), 1, p -> true);
            Assertions.assertEquals(Told.ALLOTTED, b.told(new News.Allot(5, "m", true, List.of())));
            Assertions.assertEquals(Told.NOTHING, b.told(new News.Allot(4, "m", true, List.of())));
        }
    }
}

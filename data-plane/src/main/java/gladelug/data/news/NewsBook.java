/*
 * A data-plane process's side of the news, pure: which number it holds of each key, under which
 * licences, what it asks and what it takes. A lower number is never taken, and nothing under an
 * epoch below the highest seen.
 */
package gladelug.data.news;

import gladelug.kernel.message.Keys;
import gladelug.kernel.message.News;
import gladelug.kernel.message.Shuffle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class NewsBook {
    /** Makes use of a push; false where it can't be read. */
    public interface Taker {
        boolean take(News.Push p);
    }

    public final Licences licences = new Licences();
    private final Shuffle.Descriptor self;
    private final long run;
    private final Taker taker;
    private final Map<String, Long> numbers = new HashMap<>();

    public NewsBook(Shuffle.Descriptor self, long run, Taker taker) {
        this.self = self;
        this.run = run;
        this.taker = taker;
    }

    public long number(String key) {
        return numbers.getOrDefault(key, 0L);
    }

    public News.Ask ask(long now) {
        List<News.Held> l = new ArrayList<>();
        for (String k : Keys.NEWS) l.add(new News.Held(k, licences.epoch(k), number(k)));
        return new News.Ask(now, self.name(), run, self.role(), self.records(), self.operator(), self.domain(), l);
    }

    /** True where a push was taken. */
    public boolean told(News n) {
        if (n instanceof News.Grants g) {
            for (News.Grant x : g.grants()) licences.granted(x, g.ask(), number(x.key()));
        } else if (n instanceof News.Push p && p.number() > number(p.key()) && p.epoch() >= licences.epoch(p.key()) && taker.take(p)) {
            numbers.put(p.key(), p.number());
            licences.seen(p.key(), p.epoch());
            return true;
        }
        return false;
    }
}

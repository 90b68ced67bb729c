package gladelug.data.relay;

import gladelug.common.message.Lookup;
import io.smallrye.mutiny.Uni;
import java.util.List;

/**
 * Where a prompt's blocks are, as a relay looks them up: an answer within milliseconds, or none.
 */
public interface Lookups {
  /** how: answered, warming, late, no-index or no-block. */
  record Found(String how, List<Lookup.Match> matches, Lookup.Fleet fleet) {
    public Found(String how, List<Lookup.Match> matches) {
      this(how, matches, Lookup.Fleet.UNKNOWN);
    }

    /** Whether an index that follows its holders answered in time. */
    public boolean answered() {
      return how.equals(ANSWERED);
    }
  }

  /** How an answer came that counts. */
  String ANSWERED = "answered";

  Uni<Found> ask(long[] blocks);

  /**
   * Tells index processes where a prompt of these blocks was sent, and what that asks of the
   * holder; best effort.
   */
  default void placed(String holder, long[] blocks, Lookup.Work work) {}
}

package gladelug.data.relay;

import gladelug.common.message.Lookup;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Consumer;

/**
 * Where a prompt's blocks are, as a relay looks them up: an answer within milliseconds, or none.
 */
public interface Lookups {
  /** how: answered, warming, late, no-index or no-block. */
  record LookupResult(String outcome, List<Lookup.Match> matches, Lookup.FleetLoad fleet) {
    public LookupResult(String how, List<Lookup.Match> matches) {
      this(how, matches, Lookup.FleetLoad.UNKNOWN);
    }

    /** Whether an index that follows its holders answered in time. */
    public boolean isAnswered() {
      return outcome.equals(ANSWERED);
    }
  }

  /** How an answer came that counts. */
  String ANSWERED = "answered";

  Uni<LookupResult> ask(long[] blocks);

  /**
   * Asks, and has what an answer tells of the fleet though it came too late for this request; best
   * effort.
   */
  default Uni<LookupResult> ask(long[] blocks, Consumer<Lookup.FleetLoad> late) {
    return ask(blocks);
  }

  /**
   * Tells index processes where a prompt of these blocks was sent, and what that asks of the
   * holder; best effort.
   */
  default void recordPlacement(String holder, long[] blocks, Lookup.Work work) {}
}

package gladelug.data.relay;

import gladelug.common.message.Lookup;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Consumer;

/** Looks up which holders have the blocks of a prompt cached. */
public interface Lookups {
  /**
   * The result of a lookup.
   *
   * @param outcome answered, warming, late, no-index or no-block
   */
  record LookupResult(String outcome, List<Lookup.Match> matches, Lookup.FleetLoad fleet) {
    public LookupResult(String outcome, List<Lookup.Match> matches) {
      this(outcome, matches, Lookup.FleetLoad.UNKNOWN);
    }

    /** Returns whether an index that follows its holders answered in time. */
    public boolean isAnswered() {
      return outcome.equals(ANSWERED);
    }
  }

  /** The outcome of a lookup whose answer is usable. */
  String ANSWERED = "answered";

  /** Looks up which holders have these blocks cached. */
  Uni<LookupResult> ask(long[] blocks);

  /**
   * Looks up blocks and passes on the fleet load of an answer that came too late for this request.
   * Best effort.
   */
  default Uni<LookupResult> ask(long[] blocks, Consumer<Lookup.FleetLoad> onLateAnswer) {
    return ask(blocks);
  }

  /**
   * Reports to index processes where a prompt of these blocks was sent and the work it causes at
   * the holder. Best effort.
   */
  default void recordPlacement(String holder, long[] blocks, Lookup.Work work) {}
}

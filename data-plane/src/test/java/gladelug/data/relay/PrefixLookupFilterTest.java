package gladelug.data.relay;

import gladelug.common.message.Lookup;
import gladelug.data.request.Request;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** What a lookup brings beside the matches of its own request. */
final class PrefixLookupFilterTest {
  /** An index whose answers come too late for the requests that asked. */
  private static final class LateIndex implements Lookups {
    private final List<Consumer<Lookup.FleetLoad>> asked = new ArrayList<>();

    @Override
    public Uni<LookupResult> ask(long[] blocks) {
      return Uni.createFrom().item(new LookupResult("late", List.of()));
    }

    @Override
    public Uni<LookupResult> ask(long[] blocks, Consumer<Lookup.FleetLoad> late) {
      asked.add(late);
      return ask(blocks);
    }
  }

  /**
   * Guards against relays that know nothing of the fleet's load as their index is a little slow.
   */
  @Test
  void anAnswerTooLateForItsRequestStillUpdatesTheFleetLoad() {
    ReplicaCostsTest.World world = new ReplicaCostsTest.World(1, 1, 4, Set.of());
    LateIndex index = new LateIndex();
    Request request = world.request();
    new PrefixLookupFilter(world.relay, index).apply(request).subscribe().with(result -> {});
    Assertions.assertEquals("late", request.lookupOutcome);
    Assertions.assertEquals(List.of(), request.matches);
    Backend busy = world.relay.backends.readyReplicas("m").get(0);
    Assertions.assertEquals(0, busy.runningRequests(world.nowMs));
    Lookup.Load load = new Lookup.Load(busy.replica.instance(), 300, 7, 9000);
    index.asked.get(0).accept(new Lookup.FleetLoad(List.of(load), 0.5));
    Assertions.assertEquals(7, busy.runningRequests(world.nowMs));
    Assertions.assertEquals(300, busy.pendingPrefillMs(world.nowMs));
    Assertions.assertEquals(0.5, world.relay.evictedShare());
  }
}

package gladelug.data.index;

import gladelug.common.Clock;
import java.util.List;
import java.util.function.Predicate;

/** Passes what was read from one holder to its feed on the summary's worker thread. */
final class HolderSink implements HolderFeeds.Sink {
  private final Holder holder;
  private final FleetSummary summary;
  private final Predicate<Runnable> worker;
  private final Clock clock;

  /** Creates a sink; worker accepts tasks for the summary's thread and returns false when full. */
  HolderSink(Holder holder, FleetSummary summary, Predicate<Runnable> worker, Clock clock) {
    this.holder = holder;
    this.summary = summary;
    this.worker = worker;
    this.clock = clock;
  }

  private boolean run(Runnable task) {
    return worker.test(
        () -> {
          if (!holder.dropped) task.run();
        });
  }

  @Override
  public boolean onConnected(long capacityBlocks) {
    return run(
        () -> {
          holder.contacted = true;
          if (capacityBlocks > 0) summary.setCapacity(holder, capacityBlocks, clock.now());
          holder.feed.resync(clock.now());
        });
  }

  @Override
  public boolean onUnreachable() {
    return run(() -> holder.contacted = true);
  }

  @Override
  public boolean onEvents(List<CacheEvent> page) {
    return run(
        () -> {
          holder.lastHeardMs = clock.now();
          for (CacheEvent event : page) holder.feed.onEvent(event, holder.lastHeardMs);
        });
  }

  @Override
  public boolean onPulse(String incarnation, long newestSequence) {
    return run(
        () -> {
          holder.lastHeardMs = clock.now();
          holder.feed.onPulse(incarnation, newestSequence, holder.lastHeardMs);
        });
  }

  @Override
  public boolean onList(long requestNumber, BlockList list) {
    return run(
        () -> {
          holder.lastHeardMs = clock.now();
          holder.feed.onList(requestNumber, list);
        });
  }

  @Override
  public boolean onListFailed(long requestNumber) {
    return run(() -> holder.feed.onListFailed(requestNumber, clock.now()));
  }
}

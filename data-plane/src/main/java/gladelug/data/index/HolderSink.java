package gladelug.data.index;

import gladelug.common.Clock;
import java.util.List;
import java.util.function.Predicate;

/** Carries what was read of one holder over to the summary's duty thread and into its feed. */
final class HolderSink implements HolderFeeds.Sink {
  private final Holder holder;
  private final FleetSummary summary;
  private final Predicate<Runnable> worker;
  private final Clock clock;

  /** duty takes work for the summary's thread, or is full and gives false. */
  HolderSink(Holder holder, FleetSummary summary, Predicate<Runnable> duty, Clock clock) {
    this.holder = holder;
    this.summary = summary;
    this.worker = duty;
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
  public boolean onPulse(String incarnation, long newest) {
    return run(
        () -> {
          holder.lastHeardMs = clock.now();
          holder.feed.onPulse(incarnation, newest, holder.lastHeardMs);
        });
  }

  @Override
  public boolean onList(long nr, BlockList list) {
    return run(
        () -> {
          holder.lastHeardMs = clock.now();
          holder.feed.onList(nr, list);
        });
  }

  @Override
  public boolean onListFailed(long nr) {
    return run(() -> holder.feed.onListFailed(nr, clock.now()));
  }
}

package gladelug.data.index;

import gladelug.common.configuration.Replicas.Replica;
import java.util.function.LongConsumer;

/**
 * One holder as the summary knows it: its dense id, its feed, the blocks it keeps in part, when it
 * was last heard. Pure; who asks it for its list is set by whoever has the connections.
 */
public final class Holder {
  private static final long SILENT_AFTER_MS = 3000;
  public final Replica replica;
  public final CacheEventFeed feed;
  final int id;
  long capacityBlocks;
  boolean inReplacement;

  /** Units of the blocks that it keeps in part. */
  final PartialBlocks partialBlocks = new PartialBlocks();

  /** Listed no more: what still arrives must not touch the entries of whoever has its id next. */
  boolean dropped;

  /** Has answered or failed to at least once. */
  public boolean contacted;

  public long lastHeardMs;
  private LongConsumer listRequester = nr -> {};

  Holder(Replica r, int id, long now, CacheEventFeed.Policy policy, CacheEventFeed.Effects fx) {
    this.replica = r;
    this.id = id;
    this.lastHeardMs = now;
    this.feed =
        new CacheEventFeed(
            new CacheEventFeed.Effects() {
              @Override
              public void setKept(long block, int units, boolean part) {
                if (!dropped) fx.setKept(block, units, part);
              }

              @Override
              public void clear() {
                if (!dropped) fx.clear();
              }

              @Override
              public void replaceAll(BlockList list) {
                if (!dropped) fx.replaceAll(list);
              }

              @Override
              public void requestList(long nr) {
                if (!dropped) listRequester.accept(nr);
              }
            },
            policy);
  }

  /** The most blocks that it can keep, as far as known; 0 = not known. */
  public long capacityBlocks() {
    return capacityBlocks;
  }

  public void setListRequester(LongConsumer asks) {
    listRequester = asks;
  }

  boolean isSilent(long now) {
    return now - lastHeardMs > SILENT_AFTER_MS;
  }
}

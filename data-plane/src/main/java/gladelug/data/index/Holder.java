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
  private LongConsumer listRequester = requestNumber -> {};

  Holder(Replica replica, int id, long nowMs, CacheEventFeed.Policy policy, CacheEventFeed.Effects effects) {
    this.replica = replica;
    this.id = id;
    this.lastHeardMs = nowMs;
    this.feed =
        new CacheEventFeed(
            new CacheEventFeed.Effects() {
              @Override
              public void setKept(long block, int units, boolean part) {
                if (!dropped) effects.setKept(block, units, part);
              }

              @Override
              public void clear() {
                if (!dropped) effects.clear();
              }

              @Override
              public void replaceAll(BlockList list) {
                if (!dropped) effects.replaceAll(list);
              }

              @Override
              public void requestList(long requestNumber) {
                if (!dropped) listRequester.accept(requestNumber);
              }
            },
            policy);
  }

  /** The most blocks that it can keep, as far as known; 0 = not known. */
  public long capacityBlocks() {
    return capacityBlocks;
  }

  public void setListRequester(LongConsumer listRequester) {
    listRequester = listRequester;
  }

  boolean isSilent(long nowMs) {
    return nowMs - lastHeardMs > SILENT_AFTER_MS;
  }
}

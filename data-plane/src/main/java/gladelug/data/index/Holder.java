package gladelug.data.index;

import gladelug.common.configuration.Replicas.Replica;
import java.util.function.LongConsumer;

/**
 * A holder as the summary knows it: its dense id, its feed, the blocks it keeps in part, and when
 * it was last heard. Performs no I/O; the owner of the connections sets the callback that requests
 * its list.
 */
public final class Holder {
  /** The time after which a holder that was not heard counts as silent. */
  private static final long SILENT_AFTER_MS = 3000;

  public final Replica replica;
  public final CacheEventFeed feed;
  final int id;
  long capacityBlocks;

  /** Whether the replacement table holds the entries of this holder. */
  boolean inReplacement;

  /** The units of the blocks that the holder keeps in part. */
  final PartialBlocks partialBlocks = new PartialBlocks();

  /**
   * Whether the holder is no longer listed; what still arrives from it must not change the entries
   * of the next holder with its id.
   */
  boolean dropped;

  /** Whether the holder has answered or failed to answer at least once. */
  public boolean contacted;

  /** When the holder was last heard, in ms on the summary's clock. */
  public long lastHeardMs;

  private LongConsumer listRequester = requestNumber -> {};

  Holder(
      Replica replica,
      int id,
      long nowMs,
      CacheEventFeed.Policy policy,
      CacheEventFeed.Effects effects) {
    this.replica = replica;
    this.id = id;
    this.lastHeardMs = nowMs;
    this.feed =
        new CacheEventFeed(
            new CacheEventFeed.Effects() {
              @Override
              public void setKept(long block, int units, boolean partial) {
                if (!dropped) effects.setKept(block, units, partial);
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

  /** Returns the maximum number of blocks that the holder can keep; 0 = not known. */
  public long capacityBlocks() {
    return capacityBlocks;
  }

  /** Sets the callback that requests the list, given the number of the request. */
  public void setListRequester(LongConsumer requester) {
    listRequester = requester;
  }

  boolean isSilent(long nowMs) {
    return nowMs - lastHeardMs > SILENT_AFTER_MS;
  }
}

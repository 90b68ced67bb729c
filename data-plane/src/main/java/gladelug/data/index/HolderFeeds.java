package gladelug.data.index;

import gladelug.common.Clock;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.configuration.Replicas.Replica;
import java.util.List;

/**
 * The seam between the index and a protocol by which holders tell what they keep. An implementation
 * follows one holder at a time and hands what it reads to a sink; whether events come one by one,
 * by pages or by asking is its own matter. follow(), list() and close() are called on the summary's
 * duty thread and must not wait; a sink may be called from any thread and carries everything over
 * to that thread in order, and drops it once the holder is let go.
 */
public interface HolderFeeds extends AutoCloseable {
  /** Makes the feeds when the index starts; duty is the summary's. */
  @FunctionalInterface
  interface Factory {
    HolderFeeds open(ServiceRegistry kernel, SingleThreadWorker duty, Clock clock);
  }

  /** How a holder's feed treats gaps, and how often its list may be asked for. */
  default CacheEventFeed.Policy policy(Replica holder) {
    return CacheEventFeed.Policy.STRICT;
  }

  /** Begins to follow a holder. */
  Subscription follow(Holder holder, Sink sink);

  @Override
  void close();

  /** A holder that is followed. */
  interface Subscription extends AutoCloseable {
    /**
     * The feed wants the holder's list: answer by {@link Sink#onList} or {@link Sink#onListFailed}.
     */
    void requestList(long nr);

    /** The holder is listed no more. */
    @Override
    void close();
  }

  /**
   * Where what was read goes. Methods that take data give false where there was no room: nothing
   * was taken.
   */
  interface Sink {
    /**
     * The holder answered: it is followed from now on, and its list asked for. capacityBlocks 0 =
     * not known.
     */
    boolean onConnected(long capacityBlocks);

    /** The holder was tried and didn't answer; the index doesn't wait for it before it answers. */
    boolean onUnreachable();

    /** Events in the order read, a page or one, all or none of them. */
    boolean onEvents(List<CacheEvent> page);

    /** The newest number of the holder, told without an event. */
    boolean onPulse(String incarnation, long newest);

    boolean onList(long nr, BlockList list);

    /** The list of this nr won't come; another is asked for after the pause. */
    boolean onListFailed(long nr);
  }
}

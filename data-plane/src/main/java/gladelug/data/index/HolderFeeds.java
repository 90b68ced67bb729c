package gladelug.data.index;

import gladelug.common.Clock;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.configuration.Replicas.Replica;
import java.util.List;

/**
 * The interface between the index and a protocol by which holders report what they keep. An
 * implementation follows each holder separately and passes what it reads to a sink; whether it
 * receives single events, pages or polls is up to the implementation. follow(), requestList() and
 * close() are called on the summary's worker thread and must not block. A sink may be called from
 * any thread; it passes everything to the worker thread in order, and discards it once the holder
 * is no longer followed.
 */
public interface HolderFeeds extends AutoCloseable {
  /** Creates the feeds when the index starts; the worker is the summary's. */
  @FunctionalInterface
  interface Factory {
    HolderFeeds open(ServiceRegistry registry, SingleThreadWorker worker, Clock clock);
  }

  /** Returns how the feed of a holder treats gaps, and how often its list may be requested. */
  default CacheEventFeed.Policy policy(Replica holder) {
    return CacheEventFeed.Policy.STRICT;
  }

  /** Starts to follow a holder. */
  Subscription follow(Holder holder, Sink sink);

  @Override
  void close();

  /** The subscription to one holder. */
  interface Subscription extends AutoCloseable {
    /**
     * Requests the list of the holder; answered by {@link Sink#onList} or {@link
     * Sink#onListFailed}.
     */
    void requestList(long requestNumber);

    /** Ends the subscription: the holder is no longer listed. */
    @Override
    void close();
  }

  /**
   * Receives what was read from a holder. Each method returns false if the queue was full and
   * nothing was accepted.
   */
  interface Sink {
    /**
     * Called when the holder answered: it is followed from now on and its list is requested.
     * capacityBlocks is 0 if not known.
     */
    boolean onConnected(long capacityBlocks);

    /**
     * Called when the holder did not answer; the index no longer waits for it before it answers
     * questions.
     */
    boolean onUnreachable();

    /** Called with events in the order read, one or a page; all of them are accepted or none. */
    boolean onEvents(List<CacheEvent> page);

    /** Called with the newest sequence number of the holder, reported without an event. */
    boolean onPulse(String incarnation, long newestSequence);

    /** Called with the list that was requested under this number. */
    boolean onList(long requestNumber, BlockList list);

    /**
     * Called when the list of this request is not available; another one is requested after the
     * minimum interval.
     */
    boolean onListFailed(long requestNumber);
  }
}

package gladelug.data.relay;

import gladelug.data.request.Request;
import gladelug.data.request.ResponseHead;
import io.vertx.core.buffer.Buffer;

/**
 * The interface between forwarding and the protocols that replicas speak: a request is sent to a
 * replica once, and its answer comes back as calls of Reply. An implementation makes sure that the
 * connection is that replica's own, calls leave() on the turn of the event loop in which the bytes
 * leave, and reports not-run only where no byte left or the replica said so of this very request.
 * All on the request thread.
 */
public interface Exchange {
  /** How to let go of a request that is at a replica, and how to hold its answer up. */
  interface Handle {
    void reset();

    void pause();

    void resume();
  }

  /** What comes back for one request. */
  interface Reply {
    /** The last look: false where it must not leave any more; nothing else is told then. */
    boolean beginSend(Handle h);

    /**
     * No byte left: there was no connection, or it was not that replica's; for badMs nothing more
     * goes there.
     */
    void connectionFailed(String why, long badMs);

    /**
     * The replica says that it did not run the request, and for how long it is better left alone.
     */
    void notRun(String why, long badMs);

    /**
     * The same, as it runs other weights, of which it may have told: it can be asked again for
     * those.
     */
    void weightsMismatch(String why);

    /**
     * The replica ran the request and answered that it failed. True where it goes to another
     * replica instead, and nothing more of this answer counts; false where the answer is the
     * caller's.
     */
    boolean retryAfterFailure(String failure);

    void head(ResponseHead h);

    /** The next whole piece; event is its name where it has one. */
    void piece(Buffer piece, String event);

    /** The explicit end. */
    void end();

    /** Nothing more will come that counts; the request may have run. */
    void broken(String why);
  }

  void send(Request request, Backend backend, Reply to);
}

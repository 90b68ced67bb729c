package gladelug.data.relay;

import gladelug.data.request.Request;
import gladelug.data.request.ResponseHead;
import io.vertx.core.buffer.Buffer;

/**
 * The interface between forwarding and the protocols that replicas speak. A request is sent to a
 * replica once, and its answer is delivered through calls of {@link Reply}. An implementation
 * verifies that the connection belongs to that replica, calls {@link Reply#beginSend} on the
 * event-loop turn in which the bytes are written, and reports not-run only if no byte was written
 * or the replica reported it for this very request. Runs on the request thread.
 */
public interface Exchange {
  /** Cancels a request at a replica, or pauses and resumes its answer. */
  interface Handle {
    void reset();

    void pause();

    void resume();
  }

  /** Receives the outcome of one request. */
  interface Reply {
    /**
     * Performs the last checks before sending. Returns false if the request must not be sent any
     * more; nothing else is reported then.
     */
    boolean beginSend(Handle handle);

    /**
     * Reports that no byte was sent because there was no connection or it led to another process.
     * The replica is not used for ejectMs.
     */
    void connectionFailed(String why, long ejectMs);

    /**
     * Reports that the replica did not run the request, and for how many ms it should not be used.
     */
    void notRun(String why, long ejectMs);

    /**
     * Reports that the replica did not run the request because it runs other weights, which it may
     * have reported. It may be asked again for those.
     */
    void weightsMismatch(String why);

    /**
     * Reports that the replica ran the request and answered that it failed. Returns true if the
     * request is retried elsewhere and the rest of this answer is ignored; false if the answer is
     * passed to the caller.
     */
    boolean retryAfterFailure(String failure);

    /** Delivers the head of the answer. */
    void head(ResponseHead head);

    /** Delivers the next complete piece; event is its id, or empty. */
    void piece(Buffer piece, String event);

    /** Reports the explicit end of the answer. */
    void end();

    /** Reports that the answer broke off; the request may have run. */
    void broken(String why);
  }

  /** Sends a request to a replica once; its outcome is reported to reply. */
  void send(Request request, Backend backend, Reply reply);
}

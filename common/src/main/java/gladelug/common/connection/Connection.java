package gladelug.common.connection;

import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.message.WireRecord;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.impl.NetSocketInternal;
import io.vertx.mutiny.core.net.NetSocket;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One side of a TCP connection carrying length-prefixed records. send() returns whether the record
 * was accepted: a connection whose peer doesn't read fills up and accepts no more, and every
 * protocol above copes with loss by sending again. A record that can't be read closes this
 * connection only.
 *
 * <p>The highest bit of the length asks the other side for an answer, a record of length 0, which
 * no receiver sees. So either side detects that its peer is gone: see {@link Liveness}.
 */
public final class Connection {
  /** Told of each record, in order, and once of the end, all on the connection's event loop. */
  public interface Receiver {
    void record(byte[] record) throws IOException;

    default void closed() {}
  }

  private static final int MAX_QUEUED_BYTES = 64 << 20;
  private static final int ANSWER_REQUESTED = 1 << 31;
  private static final int HEADER_BYTES = 4;

  /** How long a close may wait for what is still to be sent, ms. */
  private static final long CLOSE_TIMEOUT_MS = 1000;

  private final NetSocket socket;
  public final String peer;
  private final Clock clock;

  /** Null where silence is looked for by someone else. */
  private final ReadTimeoutDetector detector;

  private final AtomicBoolean suspected = new AtomicBoolean();
  private Receiver receiver;
  private Buffer unread = Buffer.buffer();
  private volatile Future<?> pendingReset;
  private volatile long lastReceivedAtMs;
  private volatile boolean closed;

  Connection(NetSocket socket, String peer, Clock clock, ReadTimeoutDetector detector) {
    this.socket = socket;
    this.peer = peer;
    this.clock = clock;
    this.detector = detector;
    this.lastReceivedAtMs = clock.now();
    if (detector != null) detector.onConnected();
    socket.getDelegate().setWriteQueueMaxSize(MAX_QUEUED_BYTES);
    socket.getDelegate().handler(this::onBytes);
    socket.getDelegate().closeHandler(v -> onClosed());
    socket
        .getDelegate()
        .exceptionHandler(
            failure -> Log.fine("connection-problem", "peer", peer, "what", failure.toString()));
  }

  void setReceiver(Receiver r) {
    receiver = r;
  }

  public boolean send(WireRecord message) {
    return send(WireRecord.encode(message));
  }

  public boolean send(byte[] record) {
    closeIfSilent();
    if (closed || socket.getDelegate().writeQueueFull()) return false;
    write(record, detector != null && detector.onSending(record.length + HEADER_BYTES));
    return true;
  }

  private void write(byte[] record, boolean answerRequested) {
    int header = record.length | (answerRequested ? ANSWER_REQUESTED : 0);
    socket
        .getDelegate()
        .write(Buffer.buffer(record.length + HEADER_BYTES).appendInt(header).appendBytes(record));
  }

  /** Asks the other side for a sign of life and sends nothing else. */
  void requestAnswer() {
    if (!closed && !socket.getDelegate().writeQueueFull()) write(new byte[0], true);
  }

  /** When bytes were last received, by this process's clock. */
  long lastReceivedAtMs() {
    return lastReceivedAtMs;
  }

  /**
   * Resets the connection where an answer is overdue, after a moment in which the event loop reads
   * what may have arrived while this process itself was late.
   */
  void closeIfSilent() {
    if (closed || detector == null || !detector.isSilent() || !suspected.compareAndSet(false, true))
      return;
    channel()
        .eventLoop()
        .schedule(
            () -> {
              suspected.set(false);
              if (closed || !detector.isSilent()) return;
              Log.event("connection-silent", "peer", peer);
              reset();
            },
            Liveness.GRACE_MS,
            TimeUnit.MILLISECONDS);
  }

  public boolean isOpen() {
    return !closed;
  }

  /** Closes once all is sent, or resets soon where the other side doesn't read. */
  public void close() {
    if (closed) return;
    pendingReset =
        channel().eventLoop().schedule(this::reset, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    socket.getDelegate().close();
  }

  /** Ends the connection at once, waiting for nothing that is still to be sent. */
  void reset() {
    if (closed) return;
    Channel c = channel();
    try {
      c.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      Log.fine("connection-problem", "peer", peer, "what", e.toString());
    }
    c.close();
  }

  private Channel channel() {
    return ((NetSocketInternal) socket.getDelegate()).channelHandlerContext().channel();
  }

  private void onBytes(Buffer buffer) {
    lastReceivedAtMs = clock.now();
    if (detector != null) detector.onReceived();
    unread = unread.length() == 0 ? buffer : unread.appendBuffer(buffer);
    int at = 0;
    try {
      while (unread.length() - at >= HEADER_BYTES) {
        int header = unread.getInt(at);
        int n = header & ~ANSWER_REQUESTED;
        if (n > WireRecord.MAX_RECORD_BYTES)
          throw new IOException("record of impossible length " + n);
        if (unread.length() - at - HEADER_BYTES < n) break;
        if ((header & ANSWER_REQUESTED) != 0) write(new byte[0], false);
        if (n > 0) receiver.record(unread.getBytes(at + HEADER_BYTES, at + HEADER_BYTES + n));
        at += HEADER_BYTES + n;
      }
      if (at > 0)
        unread = unread.length() == at ? Buffer.buffer() : unread.getBuffer(at, unread.length());
    } catch (IOException e) {
      Log.warn("malformed-record", "peer", peer, "what", e.getMessage());
      unread = Buffer.buffer();
      close();
    }
  }

  private void onClosed() {
    if (closed) return;
    closed = true;
    if (pendingReset != null) pendingReset.cancel(false);
    if (receiver != null) receiver.closed();
  }
}

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
 * One end of a TCP connection that carries length-prefixed records. {@link #send} returns whether
 * the record was accepted: the queue of a connection whose peer doesn't read fills up and accepts
 * no more, and every protocol recovers from loss by retransmission. An invalid record closes only
 * this connection.
 *
 * <p>The highest bit of the length requests an answer: a record of length 0, which isn't passed to
 * the receiver. Either end detects a dead peer by a missing answer; see {@link Liveness}.
 */
public final class Connection implements YieldingBudget.Holder {
  /** Receives each record in order, then the end; called on the connection's event loop. */
  public interface Receiver {
    void record(byte[] record) throws IOException;

    default void closed() {}
  }

  private static final int MAX_QUEUED_BYTES = 64 << 20;
  private static final int ANSWER_REQUESTED = 1 << 31;
  private static final int HEADER_BYTES = 4;

  /** How long a close may wait for queued records to be sent. */
  private static final long CLOSE_TIMEOUT_MS = 1000;

  private final NetSocket socket;
  public final String peer;
  private final Clock clock;

  /** Null if the owner of the connection detects silent peers itself. */
  private final ReadTimeoutDetector detector;

  private final AtomicBoolean suspected = new AtomicBoolean();
  private Receiver receiver;
  private Buffer unread = Buffer.buffer();

  /**
   * The budget for bytes of an incomplete record; null for a connection that this process opened.
   */
  private YieldingBudget recordBudget;

  /** Null for a connection that this process opened. */
  private InboundConnection inbound;

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

  void setReceiver(Receiver newReceiver) {
    receiver = newReceiver;
  }

  /**
   * Applies the limits to a connection that a peer opened. Returns false, and closes it, if there
   * are too many.
   */
  boolean limit(InboundLimits limits) {
    recordBudget = limits.records();
    inbound = limits.accept(channel());
    return inbound != null;
  }

  /** Sends a record; returns false if the connection is closed or its queue is full. */
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

  /** Requests an answer by an empty record. */
  void requestAnswer() {
    if (!closed && !socket.getDelegate().writeQueueFull()) write(new byte[0], true);
  }

  /** Returns when bytes were last received, by this process's clock. */
  long lastReceivedAtMs() {
    return lastReceivedAtMs;
  }

  /**
   * Resets the connection if an answer is overdue, after {@link Liveness#GRACE_MS}, in which the
   * event loop reads bytes that arrived while this process itself was delayed.
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

  /** Closes after queued records are sent; resets after a second if the peer doesn't read. */
  public void close() {
    if (closed) return;
    pendingReset =
        channel().eventLoop().schedule(this::reset, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    socket.getDelegate().close();
  }

  /** Ends the connection at once and discards queued records. */
  void reset() {
    if (closed) return;
    Channel channel = channel();
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      Log.fine("connection-problem", "peer", peer, "what", e.toString());
    }
    channel.close();
  }

  private Channel channel() {
    return ((NetSocketInternal) socket.getDelegate()).channelHandlerContext().channel();
  }

  private void onBytes(Buffer buffer) {
    lastReceivedAtMs = clock.now();
    if (detector != null) detector.onReceived();
    unread = unread.length() == 0 ? buffer : unread.appendBuffer(buffer);
    int offset = 0;
    try {
      while (unread.length() - offset >= HEADER_BYTES) {
        int header = unread.getInt(offset);
        int length = header & ~ANSWER_REQUESTED;
        if (length > WireRecord.MAX_RECORD_BYTES)
          throw new IOException("invalid record length " + length);
        if (unread.length() - offset - HEADER_BYTES < length) break;
        if ((header & ANSWER_REQUESTED) != 0) write(new byte[0], false);
        if (inbound != null) inbound.onRecord(ConnectionAcceptor.IDLE_TIMEOUT_MS);
        if (length > 0)
          receiver.record(unread.getBytes(offset + HEADER_BYTES, offset + HEADER_BYTES + length));
        offset += HEADER_BYTES + length;
      }
      if (offset > 0)
        unread =
            unread.length() == offset ? Buffer.buffer() : unread.getBuffer(offset, unread.length());
      reserveUnread();
    } catch (IOException e) {
      Log.warn("malformed-record", "peer", peer, "what", e.getMessage());
      unread = Buffer.buffer();
      close();
    }
  }

  /** Counts the bytes of an incomplete record, or fails if there is no memory for them. */
  private void reserveUnread() throws IOException {
    if (recordBudget != null && !recordBudget.hold(this, unread.length()))
      throw new IOException("no memory for " + unread.length() + " bytes of a record");
  }

  /** Ends the connection because its incomplete record is the largest. */
  @Override
  public void giveWay() {
    Log.fine("record-gives-way", "peer", peer);
    channel().close();
  }

  private void onClosed() {
    if (closed) return;
    closed = true;
    if (recordBudget != null) recordBudget.hold(this, 0);
    unread = Buffer.buffer();
    if (pendingReset != null) pendingReset.cancel(false);
    if (receiver != null) receiver.closed();
  }
}

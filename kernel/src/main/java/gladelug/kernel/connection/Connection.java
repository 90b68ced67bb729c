/*
 * One side of a TCP connection carrying length-prefixed records. send() says whether the record was
 * taken: a connection whose other side doesn't read fills up and takes no more, and every protocol
 * above copes with loss by asking again. A record that can't be read closes this connection only.
 */
package gladelug.kernel.connection;

import gladelug.kernel.Log;
import gladelug.kernel.message.Wire;
import io.vertx.core.buffer.Buffer;
import io.vertx.mutiny.core.net.NetSocket;
import java.io.IOException;

public final class Connection {
  /** Told of each record, in order, and once of the end, all on the connection's event loop. */
  public interface Receiver {
    void record(byte[] r) throws IOException;

    default void closed() {}
  }

  private static final int FULL = 64 << 20;
  private final NetSocket socket;
  public final String peer;
  private Receiver receiver;
  private Buffer held = Buffer.buffer();
  private volatile boolean closed;

  Connection(NetSocket s, String peer) {
    this.socket = s;
    this.peer = peer;
    s.getDelegate().setWriteQueueMaxSize(FULL);
    s.getDelegate().handler(this::bytes);
    s.getDelegate().closeHandler(v -> end());
    s.getDelegate()
        .exceptionHandler(t -> Log.fine("circuit-problem", "fellow", peer, "what", t.toString()));
  }

  void receiver(Receiver r) {
    receiver = r;
  }

  public boolean send(Wire m) {
    return send(Wire.bytes(m));
  }

  public boolean send(byte[] r) {
    if (closed || socket.getDelegate().writeQueueFull()) return false;
    socket.getDelegate().write(Buffer.buffer(r.length + 4).appendInt(r.length).appendBytes(r));
    return true;
  }

  public boolean open() {
    return !closed;
  }

  public void close() {
    socket.getDelegate().close();
  }

  private void bytes(Buffer b) {
    held = held.length() == 0 ? b : held.appendBuffer(b);
    int at = 0;
    try {
      while (held.length() - at >= 4) {
        int n = held.getInt(at);
        if (n < 1 || n > Wire.MAX) throw new IOException("record of impossible length " + n);
        if (held.length() - at - 4 < n) break;
        byte[] r = held.getBytes(at + 4, at + 4 + n);
        at += 4 + n;
        receiver.record(r);
      }
      if (at > 0) held = held.length() == at ? Buffer.buffer() : held.getBuffer(at, held.length());
    } catch (IOException e) {
      Log.warn("malformed-record", "fellow", peer, "what", e.getMessage());
      held = Buffer.buffer();
      close();
    }
  }

  private void end() {
    if (closed) return;
    closed = true;
    if (receiver != null) receiver.closed();
  }
}

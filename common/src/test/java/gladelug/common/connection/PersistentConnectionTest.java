package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.message.Hello;
import gladelug.common.message.WireRecord;
import io.vertx.mutiny.core.Vertx;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of PersistentConnection against loopback sockets whose peers never answer, stop reading, or
 * answer correctly.
 */
final class PersistentConnectionTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Liveness SHORT_TIMEOUTS = new Liveness(50, 200, 250, 50);

  /** Upper bound for every wait, even on a busy machine. */
  private static final int TIMEOUT_MS = 20_000;

  private record Filler(byte[] bytes) implements WireRecord {
    @Override
    public int type() {
      return 9;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.write(bytes);
    }
  }

  private static final Filler SMALL = new Filler(new byte[10]);

  private Vertx vertx;
  private ConnectionAcceptor acceptor;
  private PersistentConnection connection;
  private ServerSocket peer;
  private final AtomicInteger opened = new AtomicInteger();

  @BeforeEach
  void start() throws IOException {
    vertx = Vertx.vertx();
    acceptor = startAcceptor(freePort());
    peer = new ServerSocket(0, 50, InetAddress.getByName(LOOPBACK));
    peer.setSoTimeout(TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    if (connection != null) connection.close();
    acceptor.stop();
    peer.close();
    vertx.closeAndAwait();
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }

  private ConnectionAcceptor startAcceptor(int port) {
    ConnectionAcceptor acceptor =
        new ConnectionAcceptor(
            vertx, new Address(LOOPBACK, port), new BindAddress(LOOPBACK), "test");
    acceptor.start(null);
    return acceptor;
  }

  private PersistentConnection connectTo(int port) {
    return new PersistentConnection(
        vertx,
        acceptor,
        new Address(LOOPBACK, port),
        Hello.CORE,
        SHORT_TIMEOUTS,
        (source, record) -> {},
        established -> opened.incrementAndGet());
  }

  private void sendPeriodically(long intervalMs, WireRecord record) {
    vertx.setPeriodic(intervalMs, i -> connection.send(record));
  }

  /** Reads until the other end closes the connection. */
  private static void readToTheEnd(Socket s) throws IOException {
    s.setSoTimeout(TIMEOUT_MS);
    byte[] bytes = new byte[1 << 16];
    try {
      while (s.getInputStream().read(bytes) >= 0) {}
    } catch (SocketException reset) {
      Assertions.assertNotNull(reset);
    }
  }

  @Test
  void aConnectionToAPeerThatNeverAnswersIsResetAndReopened() throws IOException {
    connection = connectTo(peer.getLocalPort());
    sendPeriodically(20, SMALL);
    try (Socket first = peer.accept();
        Socket second = peer.accept()) {
      Assertions.assertNotEquals(first.getPort(), second.getPort());
      readToTheEnd(first);
    }
  }

  /** Guards against queued records that keep a dead connection open: only a reset ends it. */
  @Test
  void aConnectionToAPeerThatStopsReadingIsResetAndReopened() throws IOException {
    connection = connectTo(peer.getLocalPort());
    try (Socket first = peer.accept()) {
      DataInputStream in = new DataInputStream(first.getInputStream());
      DataOutputStream out = new DataOutputStream(first.getOutputStream());
      in.readNBytes(in.readInt() & Integer.MAX_VALUE);
      out.writeInt(0);
      out.flush();
      sendPeriodically(20, new Filler(new byte[100_000]));
      try (Socket second = peer.accept()) {
        Assertions.assertNotEquals(first.getPort(), second.getPort());
      }
    }
  }

  @Test
  void aConnectionToAPeerThatOnlyAnswersIsKept() throws Exception {
    int otherPort = freePort();
    ConnectionAcceptor other = startAcceptor(otherPort);
    CountDownLatch received = new CountDownLatch(100);
    AtomicInteger connections = new AtomicInteger();
    other.register(
        Hello.CORE,
        (hello, accepted) -> {
          connections.incrementAndGet();
          return record -> received.countDown();
        });
    connection = connectTo(otherPort);
    sendPeriodically(20, SMALL);
    Assertions.assertTrue(received.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    Assertions.assertEquals(1, connections.get());
    Assertions.assertEquals(1, opened.get());
    other.stop();
  }
}

package gladelug.common.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests what a connection may make this process hold before a request is accepted. */
final class InboundLimitsTest {
  private static final int BUDGET_BYTES = 100_000;

  private final YieldingBudget heads = new YieldingBudget(BUDGET_BYTES);
  private final TestConnection connection = new TestConnection(heads);
  private final EmbeddedChannel channel = connection.channel;

  /** The handlers of one connection, without a listener. */
  private static final class TestConnection {
    final EmbeddedChannel channel = new EmbeddedChannel();
    final RequestPhase phase = new RequestPhase(new InboundConnection(channel, () -> 0));

    TestConnection(YieldingBudget heads) {
      channel
          .pipeline()
          .addLast(
              new RequestGate(heads, new ReceiveBuffers(1), phase),
              new HttpRequestDecoder(),
              new ChunkMerger(phase),
              new AnswerEndDetector(phase));
    }

    void send(String text) {
      ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
      channel.writeInbound(bytes);
    }

    void answer() {
      channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private void send(String text) {
    connection.send(text);
  }

  private List<Integer> takeContentLengths() {
    List<Integer> lengths = new ArrayList<>();
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpContent content && !(message instanceof HttpRequest))
        lengths.add(content.content().readableBytes());
      ReferenceCountUtil.release(message);
    }
    return lengths;
  }

  @Test
  void aHeadIsCountedWithItsLinesUntilItsRequestIsAnswered() {
    send("GET / HTTP/1.1\r\na:b\r\n");
    long incomplete = heads.heldBytes();
    Assertions.assertTrue(incomplete >= "GET / HTTP/1.1 a:b".length(), "held " + incomplete);
    send("\r\n");
    Assertions.assertTrue(heads.heldBytes() > 2 * 256, "held " + heads.heldBytes());
    connection.answer();
    Assertions.assertEquals(0, heads.heldBytes());
    Assertions.assertTrue(channel.isOpen());
  }

  /** Guards against heads of small headers that take many times their bytes. */
  @Test
  void aHeadForWhichThereIsNoMemoryClosesItsConnection() {
    send("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(BUDGET_BYTES / 256) + "\r\n");
    Assertions.assertFalse(channel.isOpen());
    Assertions.assertEquals(0, heads.heldBytes(), "released");
  }

  /** Guards against lines without end before a request. */
  @Test
  void emptyLinesAreAHeadWithoutEnd() {
    send("\r\n\r\n");
    Assertions.assertTrue(channel.isOpen());
    for (int i = 0; i < 64 && channel.isOpen(); i++) send("\r\n".repeat(1 << 12));
    Assertions.assertFalse(channel.isOpen());
  }

  @Test
  void aBodyIsNoHeadWhateverItsLines() {
    send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
    long head = heads.heldBytes();
    for (int i = 0; i < 20; i++) send("\n".repeat(10_000));
    Assertions.assertTrue(channel.isOpen());
    Assertions.assertEquals(head, heads.heldBytes());
  }

  private int takeHeads() {
    int taken = 0;
    for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
      if (message instanceof HttpRequest) taken++;
      ReferenceCountUtil.release(message);
    }
    return taken;
  }

  /** Guards against requests that pile up behind one that is not answered yet. */
  @Test
  void aRequestWaitsUntilTheOneBeforeItIsAnswered() {
    String request = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    send(request.repeat(2) + "GET / HTTP/1.1\r\na:");
    Assertions.assertEquals(1, takeHeads());
    Assertions.assertTrue(channel.config().isAutoRead(), "the end of its client is noticed");
    send("b".repeat(1 << 14));
    Assertions.assertFalse(channel.config().isAutoRead(), "the connection is not read");
    connection.answer();
    channel.runPendingTasks();
    Assertions.assertEquals(1, takeHeads());
    connection.answer();
    channel.runPendingTasks();
    Assertions.assertTrue(channel.config().isAutoRead(), "the connection is read");
    Assertions.assertTrue(heads.heldBytes() > 0, "the last head is counted");
    send("b\r\n\r\n");
    Assertions.assertEquals(1, takeHeads());
    channel.close();
    Assertions.assertEquals(0, heads.heldBytes());
  }

  @Test
  void aRequestThatIsAnsweredBeforeItsBodyEndsDelaysTheNextUntilThen() {
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    connection.answer();
    send("c\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    Assertions.assertEquals(2, takeHeads());
    Assertions.assertTrue(channel.isOpen());
  }

  /** Guards against trailers without end, of which the decoder makes objects like of a head. */
  @Test
  void trailersAreCountedLikeAHead() {
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n");
    long head = heads.heldBytes();
    send("X1:1\r\n".repeat(100));
    Assertions.assertTrue(heads.heldBytes() >= head + 100 * 256, "held " + heads.heldBytes());
    for (int i = 0; i < 10 && channel.isOpen(); i++) send("X1:1\r\n".repeat(100));
    Assertions.assertFalse(channel.isOpen());
    Assertions.assertEquals(0, heads.heldBytes());
  }

  @Test
  void aChunkSizeLineWithoutEndIsCounted() {
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    long head = heads.heldBytes();
    send("1;" + "x".repeat(3000));
    Assertions.assertTrue(heads.heldBytes() >= head + 3000);
    send("\r\nz\r\n");
    Assertions.assertEquals(head, heads.heldBytes());
  }

  /** Guards against a crowd of large heads that shuts out the small head of anybody else. */
  @Test
  void theLargestHeadGivesWayToASmallerOne() {
    TestConnection large = new TestConnection(heads), small = new TestConnection(heads);
    large.send("GET / HTTP/1.1\r\na:" + "b".repeat(BUDGET_BYTES - 80));
    send("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(2));
    small.send("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(8));
    Assertions.assertFalse(large.channel.isOpen());
    Assertions.assertTrue(channel.isOpen());
    Assertions.assertTrue(small.channel.isOpen());
  }

  /** Guards against idle connections that shut out anybody else. */
  @Test
  void theConnectionThatIsLongestWithoutACompleteRequestGivesWay() {
    long[] nowMs = {0};
    InboundConnections connections = new InboundConnections(3, () -> nowMs[0]);
    List<EmbeddedChannel> channels = new ArrayList<>();
    List<InboundConnection> accepted = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      channels.add(new EmbeddedChannel());
      accepted.add(connections.add(channels.get(i)));
      nowMs[0]++;
    }
    accepted.get(0).onRequestComplete();
    Assertions.assertNotNull(connections.add(new EmbeddedChannel()));
    Assertions.assertTrue(channels.get(0).isOpen(), "has a request in progress");
    Assertions.assertFalse(channels.get(1).isOpen(), "is longest without one");
    Assertions.assertTrue(channels.get(2).isOpen());
    accepted.get(0).onAnswered();
    accepted.get(2).onRequestComplete();
    for (int i = 0; i < 2; i++) {
      nowMs[0]++;
      connections.add(new EmbeddedChannel()).onRequestComplete();
    }
    EmbeddedChannel refused = new EmbeddedChannel();
    Assertions.assertNull(connections.add(refused), "all have a request in progress");
    Assertions.assertFalse(refused.isOpen());
  }

  /** Guards against answers that nobody reads. */
  @Test
  void theClientThatHasTakenLeastOfItsAnswersGivesWay() {
    YieldingBudget answers = new YieldingBudget(1000);
    List<String> ended = new ArrayList<>();
    YieldingBudget.Holder one = () -> ended.add("one"), two = () -> ended.add("two");
    Assertions.assertTrue(answers.hold(one, 600));
    Assertions.assertTrue(answers.hold(two, 400));
    Assertions.assertFalse(answers.hold(two, 1001), "more than all");
    Assertions.assertEquals(List.of(), ended);
    Assertions.assertEquals(600, answers.heldBytes());
    Assertions.assertTrue(answers.hold(two, 500));
    Assertions.assertEquals(List.of("one"), ended);
    Assertions.assertTrue(answers.hold(two, 1000));
    Assertions.assertFalse(answers.hold(one, 1000), "nobody holds more");
    Assertions.assertEquals(1000, answers.heldBytes());
  }

  /** Guards against bodies in chunks of a byte that keep a process from all other work. */
  @Test
  void smallChunksThatAreReadAtOnceArriveAsOneContent() {
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(100));
    Assertions.assertEquals(List.of(100), takeContentLengths());
    send("1\r\ny\r\n" + "800\r\n" + "z".repeat(2048) + "\r\n1\r\nx\r\n0\r\n\r\n");
    Assertions.assertEquals(List.of(1, 2048, 1, 0), takeContentLengths());
  }

  @Test
  void aCollectedBodyIsWhatWasAddedWhateverItsParts() {
    for (int declared : new int[] {-1, 30_000}) {
      BodyCollector collector = new BodyCollector(declared);
      StringBuilder expected = new StringBuilder();
      for (int i = 0; expected.length() < 30_000; i++) {
        String part = "p".repeat(Math.min(30_000 - expected.length(), i % 7 == 0 ? 5000 : 1 + i));
        expected.append(part);
        collector.add(Buffer.buffer(part));
      }
      Assertions.assertEquals(30_000, collector.length());
      Assertions.assertEquals(expected.toString(), collector.body().toString());
    }
  }
}

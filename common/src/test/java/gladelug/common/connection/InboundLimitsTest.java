package gladelug.common.connection;

import gladelug.common.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
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

  private final MemoryBudget heads = new MemoryBudget(BUDGET_BYTES);
  private final RequestPhase phase = new RequestPhase();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new RequestHeadLimiter(heads, phase), new HttpRequestDecoder(), new ChunkMerger(phase));

  private void send(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    channel.writeInbound(bytes);
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
  void anIncompleteHeadIsCountedWithItsLinesUntilItIsComplete() {
    send("GET / HTTP/1.1\r\na:b\r\n");
    Assertions.assertTrue(heads.reservedBytes() > 2 * 256, "reserved " + heads.reservedBytes());
    send("\r\n");
    Assertions.assertEquals(0, heads.reservedBytes());
    Assertions.assertTrue(channel.isOpen());
  }

  /** Guards against heads of small headers that take many times their bytes. */
  @Test
  void aHeadForWhichThereIsNoMemoryClosesItsConnection() {
    send("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(BUDGET_BYTES / 256));
    Assertions.assertFalse(channel.isOpen());
    Assertions.assertEquals(0, heads.reservedBytes(), "released");
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
    for (int i = 0; i < 20; i++) send("\n".repeat(10_000));
    Assertions.assertTrue(channel.isOpen());
    Assertions.assertEquals(0, heads.reservedBytes());
  }

  @Test
  void theHeadsOfPipelinedRequestsAreCountedToo() {
    send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
    send("GET / HTTP/1.1\r\na:");
    Assertions.assertTrue(heads.reservedBytes() > 0);
    channel.close();
    Assertions.assertEquals(0, heads.reservedBytes());
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

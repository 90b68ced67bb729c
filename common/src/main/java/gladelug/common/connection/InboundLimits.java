package gladelug.common.connection;

import gladelug.common.Log;
import gladelug.common.MemoryBudget;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The one owner of what clients and peers may make this process hold before it has accepted
 * anything from them: connections, request heads in progress, and bytes that wait for the rest of a
 * record. Every listener of the process hands its new connections to it. A connection beyond the
 * limits is closed, which promises a client nothing. Bodies are counted by {@link BodyReader}.
 * Thread-safe.
 */
public final class InboundLimits {
  /** Memory of one open connection with its handlers, in bytes. */
  private static final int CONNECTION_BYTES = 14 << 10;

  /** Connections may use one fourth of the heap, and incomplete heads one sixteenth. */
  private static final int CONNECTIONS_HEAP_DIVISOR = 4, HEADS_HEAP_DIVISOR = 16;

  /** Incomplete records may use one fourth: several members may send a large value at once. */
  private static final int RECORDS_HEAP_DIVISOR = 4;

  /** Clients' bodies may use one fourth of the heap, operators' one tenth. */
  private static final int CLIENT_BODIES_HEAP_DIVISOR = 4, OPERATOR_BODIES_HEAP_DIVISOR = 10;

  /** How many bytes are read from a connection before the others have their turn. */
  private static final int READ_BYTES = 16 << 10;

  /** Received bytes that the kernel holds for a connection that is not read. */
  private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

  private static final InboundLimits PROCESS = new InboundLimits(Runtime.getRuntime().maxMemory());

  private final int maxConnections;
  private final MemoryBudget heads;
  private final MemoryBudget records;
  private final MemoryBudget clientBodies;
  private final MemoryBudget operatorBodies;
  private final AtomicInteger connections = new AtomicInteger();

  /**
   * Creates limits.
   *
   * @param heapBytes size of the heap that they are a share of
   */
  InboundLimits(long heapBytes) {
    maxConnections = (int) (heapBytes / CONNECTIONS_HEAP_DIVISOR / CONNECTION_BYTES);
    heads = new MemoryBudget(heapBytes / HEADS_HEAP_DIVISOR);
    records = new MemoryBudget(heapBytes / RECORDS_HEAP_DIVISOR);
    clientBodies = new MemoryBudget(heapBytes / CLIENT_BODIES_HEAP_DIVISOR);
    operatorBodies = new MemoryBudget(heapBytes / OPERATOR_BODIES_HEAP_DIVISOR);
  }

  /** Returns the limits of this process. */
  public static InboundLimits ofProcess() {
    return PROCESS;
  }

  /** Sets the options of a server whose connections are handed to these limits. */
  public static HttpServerOptions configure(HttpServerOptions options) {
    // with HTTP/2 enabled a connection would be handed over only with its first complete head
    return options.setReceiveBufferSize(RECEIVE_BUFFER_BYTES).setHttp2ClearTextEnabled(false);
  }

  /** Returns the budget for the bodies of clients' requests. */
  public MemoryBudget clientBodies() {
    return clientBodies;
  }

  /** Returns the budget for the bodies of operators' calls. */
  public MemoryBudget operatorBodies() {
    return operatorBodies;
  }

  /** Returns the budget for records that peers have sent in part. */
  MemoryBudget records() {
    return records;
  }

  /** Applies the limits to a new connection of an HTTP server, which may close it. */
  public void protect(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) protect(base.channelHandlerContext().channel());
  }

  private void protect(Channel channel) {
    if (!accept(channel)) return;
    ChannelPipeline pipeline = channel.pipeline();
    ChannelHandlerContext decoder = pipeline.context(HttpObjectDecoder.class);
    if (decoder == null) return;
    RequestPhase phase = new RequestPhase();
    pipeline.addBefore(decoder.name(), "head-limiter", new RequestHeadLimiter(heads, phase));
    pipeline.addAfter(decoder.name(), "chunk-merger", new ChunkMerger(phase));
  }

  /**
   * Counts a connection until it is closed. Returns false, and closes it, if there are too many.
   */
  boolean accept(Channel channel) {
    if (connections.incrementAndGet() > maxConnections) {
      connections.decrementAndGet();
      Log.fine("connection-refused", "open", maxConnections);
      channel.close();
      return false;
    }
    channel.closeFuture().addListener(closed -> connections.decrementAndGet());
    channel
        .config()
        .setRecvByteBufAllocator(new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1));
    return true;
  }
}

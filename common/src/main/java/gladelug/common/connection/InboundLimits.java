package gladelug.common.connection;

import gladelug.common.Clock;
import gladelug.common.MemoryBudget;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * The one owner of what clients and peers may make this process hold before it has accepted
 * anything from them: connections, heads and trailers of requests, bytes that wait for the rest of
 * a record, and answers that nobody takes. Every listener of the process hands its new connections
 * to it. When one of the limits is reached, whoever holds most, or has gone longest without a
 * complete request, loses its connection, which promises a client nothing. Bodies are counted by
 * {@link BodyReader}. Thread-safe.
 */
public final class InboundLimits {
  /** Memory of one open connection with its handlers, in bytes. */
  private static final int CONNECTION_BYTES = 14 << 10;

  /** Connections may use this part of the heap. */
  private static final double CONNECTIONS_HEAP_SHARE = 0.4;

  /** Connections that others opened may use this part of the descriptors of a process. */
  private static final double CONNECTIONS_DESCRIPTOR_SHARE = 0.875;

  /** Heads, and answers that are not taken, may use one sixteenth of the heap each. */
  private static final int HEADS_HEAP_DIVISOR = 16, ANSWERS_HEAP_DIVISOR = 16;

  /** Incomplete records may use one fourth: several members may send a large value at once. */
  private static final int RECORDS_HEAP_DIVISOR = 4;

  /** Clients' bodies may use one fourth of the heap, operators' one tenth. */
  private static final int CLIENT_BODIES_HEAP_DIVISOR = 4, OPERATOR_BODIES_HEAP_DIVISOR = 10;

  /** How many connections may have a large receive buffer at a time. */
  private static final int LARGE_RECEIVE_BUFFERS = 128;

  /** How many bytes are read from a connection before the others have their turn. */
  private static final int READ_BYTES = 16 << 10;

  private static final InboundLimits PROCESS = new InboundLimits(Runtime.getRuntime().maxMemory());

  private final InboundConnections connections;
  private final YieldingBudget heads;
  private final YieldingBudget answers;
  private final YieldingBudget records;
  private final MemoryBudget clientBodies;
  private final MemoryBudget operatorBodies;
  private final ReceiveBuffers receiveBuffers = new ReceiveBuffers(LARGE_RECEIVE_BUFFERS);

  /**
   * Creates limits.
   *
   * @param heapBytes size of the heap that they are a share of
   */
  InboundLimits(long heapBytes) {
    int maxConnections = (int) (heapBytes * CONNECTIONS_HEAP_SHARE / CONNECTION_BYTES);
    connections = new InboundConnections(maxConnections, Clock.monotonic());
    heads = new YieldingBudget(heapBytes / HEADS_HEAP_DIVISOR);
    answers = new YieldingBudget(heapBytes / ANSWERS_HEAP_DIVISOR);
    records = new YieldingBudget(heapBytes / RECORDS_HEAP_DIVISOR);
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
    return options.setHttp2ClearTextEnabled(false);
  }

  /**
   * Leaves enough of the descriptors that the process may open for its own connections and files.
   */
  public void limitDescriptors(int maxOpenFiles) {
    connections.lowerMaxOpen((int) (maxOpenFiles * CONNECTIONS_DESCRIPTOR_SHARE));
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
  YieldingBudget records() {
    return records;
  }

  /** Applies the limits to a new connection of an HTTP server, which may close it. */
  public void protect(HttpConnection connection) {
    if (connection instanceof ConnectionBase base) protect(base.channelHandlerContext());
  }

  private void protect(ChannelHandlerContext listener) {
    InboundConnection connection = accept(listener.channel());
    if (connection == null) return;
    ChannelPipeline pipeline = listener.pipeline();
    ChannelHandlerContext decoder = pipeline.context(HttpObjectDecoder.class);
    if (decoder == null) return;
    RequestPhase phase = new RequestPhase(connection);
    pipeline.addBefore(decoder.name(), "unsent-answers", new UnsentAnswers(answers));
    pipeline.addBefore(
        decoder.name(), "request-gate", new RequestGate(heads, receiveBuffers, phase));
    pipeline.addAfter(decoder.name(), "chunk-merger", new ChunkMerger(phase));
    pipeline.addBefore(listener.name(), "answer-end", new AnswerEndDetector(phase));
  }

  /** Counts a connection until it is closed. Returns null, and closes it, if it may not be kept. */
  InboundConnection accept(Channel channel) {
    InboundConnection connection = connections.add(channel);
    if (connection != null)
      channel
          .config()
          .setRecvByteBufAllocator(new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1));
    return connection;
  }
}

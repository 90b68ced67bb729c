package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.PersistentConnection;
import gladelug.common.disk.RecordRing;
import gladelug.common.message.Hello;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.common.view.PartialViewService;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.DiskWriter;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs the core's protocol in a process and is the entry point to it for the rest of the process.
 *
 * <p>Threads: one worker thread, {@code core}, runs the protocol and calls all methods of {@link
 * CoreHost}. The disk's thread writes and queues each completion on the worker. Connections deliver
 * messages on event loops, which also queue them on the worker. {@link #ask}, {@link #change} and
 * {@link #readNewest} may be called on any thread; their results arrive on the worker or a timer's
 * thread.
 */
public final class CoreService implements ServiceRegistry.Service, CoreHost {
  /** A disk write that takes longer than this makes the disk unhealthy. */
  private static final long DISK_STALL_MS = 400;

  /** Interval between two writes that check whether the disk responds. */
  private static final long DISK_PROBE_INTERVAL_MS = 1000;

  /** How often a process that was asked to stop checks whether it may stop. */
  private static final long DRAIN_CHECK_INTERVAL_MS = 50;

  /**
   * How long a change or read is retried while a key has no owner. It is below one second because
   * callers close a connection that is silent for a second.
   */
  private static final long MAX_OWNER_RETRY_MS = 800;

  /** How long a read may take, retries included. */
  private static final long READ_TIMEOUT_MS = 900;

  private static final Duration OWNER_RETRY_INTERVAL = Duration.ofMillis(100);

  /** How many tasks may wait for the core's thread. */
  private static final int QUEUE_CAPACITY = 16384;

  private final Vertx vertx;
  private final Clock clock = Clock.monotonic();
  private final SingleThreadWorker worker = new SingleThreadWorker("core", QUEUE_CAPACITY, clock);
  private final RecordRing ring;
  private final QuorumConfig config;
  private final MemberSet.Member self;
  private final List<Address> seeds;
  private final int weightsAgeCutoffMs;
  private final BootstrapMembers bootstrapMembers;
  private final OwnerTasks ownerTasks;
  private final Consumer<String> onDiskFailure;

  /** Connections to the other members, by name; used on the worker only. */
  private final Map<String, PersistentConnection> peers = new HashMap<>();

  /** Connections from data-plane processes, by name; used on any thread. */
  private final Map<String, Connection> subscribers = new ConcurrentHashMap<>();

  private NodeConnections connections;
  private PartialViewService views;
  private DiskWriter disk;
  private CoreMember member;

  /**
   * Creates the service; nothing runs before {@link #start}.
   *
   * @param ring the durable state, opened
   * @param self this member's name, disk id and addresses
   * @param seeds addresses at which other processes accept records
   * @param weightsAgeCutoffMs how long after a change of the weights requests may still start with
   *     the old ones, ms
   * @param bootstrapMembers the first members of a new fleet, or null for a member that joins or
   *     already knows its members
   * @param ownerTasks tasks that the owner of a key runs besides the protocol
   * @param onDiskFailure called with the cause when the disk fails, on the disk's thread
   */
  public CoreService(
      Vertx vertx,
      RecordRing ring,
      QuorumConfig config,
      MemberSet.Member self,
      List<Address> seeds,
      int weightsAgeCutoffMs,
      BootstrapMembers bootstrapMembers,
      OwnerTasks ownerTasks,
      Consumer<String> onDiskFailure) {
    this.vertx = vertx;
    this.ring = ring;
    this.config = config;
    this.self = self;
    this.seeds = seeds;
    this.weightsAgeCutoffMs = weightsAgeCutoffMs;
    this.bootstrapMembers = bootstrapMembers;
    this.ownerTasks = ownerTasks;
    this.onDiskFailure = onDiskFailure;
  }

  @Override
  public void start(ServiceRegistry registry) {
    ConnectionAcceptor acceptor = registry.find("doors", ConnectionAcceptor.class);
    connections = new NodeConnections(vertx, acceptor, config);
    views = registry.find("views", PartialViewService.class);
    disk = new DiskWriter(ring, clock, completion -> worker.offer(completion), onDiskFailure);
    member =
        new CoreMember(
            this, config, self, weightsAgeCutoffMs, ring.live(), bootstrapMembers, ownerTasks);
    connections.receive(message -> worker.offer(() -> member.onMessage(message)));
    acceptor.register(
        Hello.STATE_UPDATES, (hello, connection) -> new SubscriberReceiver(connection));
    worker.scheduleEvery(config.heartbeatMs() / 4, this::tick);
    worker.scheduleEvery(DISK_PROBE_INTERVAL_MS, this::probeDisk);
  }

  private void tick() {
    member.updateDiskHealth(disk.stalledMs() < DISK_STALL_MS);
    member.tick();
    peers.values().forEach(PersistentConnection::closeIfSilent);
  }

  /** Writes an empty record, which shows whether the disk still responds while nothing changes. */
  private void probeDisk() {
    disk.enqueue("", new byte[0], () -> {});
    connections.closeIdle(nowMs());
  }

  /** Receives the messages of one data-plane process, on the event loop of its connection. */
  private final class SubscriberReceiver implements Connection.Receiver {
    private final Connection connection;
    private String name;

    SubscriberReceiver(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void record(byte[] bytes) throws IOException {
      StateUpdate message = WireRecord.decode(bytes, StateUpdate::read);
      if (message instanceof StateUpdate.SubscriptionRequest request) {
        name = request.name();
        subscribers.put(name, connection);
        worker.offer(() -> member.onSubscriptionRequest(request));
      } else if (message instanceof StateUpdate.FullValueRequest request && name != null) {
        worker.offer(() -> member.onFullValueRequested(name, request.key()));
      } else throw new IOException("a subscriber must not send this kind of state update");
    }

    @Override
    public void closed() {
      if (name != null) subscribers.remove(name, connection);
    }
  }

  /** Runs a query against the protocol on its own thread. The result fails if the queue is full. */
  public <T> Uni<T> ask(Function<CoreMember, T> question) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              boolean queued =
                  worker.offer(
                      () -> {
                        try {
                          emitter.complete(question.apply(member));
                        } catch (RuntimeException e) {
                          // a failure of the query concerns its caller and must not stop the worker
                          emitter.fail(e);
                        }
                      });
              if (!queued) emitter.fail(new IllegalStateException("the core's task queue is full"));
            });
  }

  /** Applies a change whose sender will not repeat it; see {@link #change(ChangeRequest)}. */
  public Uni<ChangeResult> change(String key, long match, byte[] body) {
    return change(ChangeRequest.withoutBase(key, match, body));
  }

  /**
   * Applies a change at the owner of its key, at this or another member. While the key has no owner
   * nothing is applied, so the change is retried for a short time, unless this member has no
   * contact with a majority: then the result says so at once. The returned Uni never fails; errors
   * are results.
   */
  public Uni<ChangeResult> change(ChangeRequest request) {
    return retryWhileOwnerless(changeOnce(request), new ChangeResult.NoOwner())
        .ifNoItem()
        .after(Duration.ofMillis(config.changeResponseTimeoutMs()))
        .recoverWithItem(new ChangeResult.Unknown(request.resultingNumber()));
  }

  /**
   * Reads the newest committed value from the owner of the key, at this or another member. Like a
   * change it is retried while the key has no owner. The returned Uni never fails; without an owner
   * the result says so.
   */
  public Uni<ReadResult> readNewest(String key) {
    return retryWhileOwnerless(readOnce(key), ReadResult.NO_OWNER)
        .ifNoItem()
        .after(Duration.ofMillis(READ_TIMEOUT_MS))
        .recoverWithItem(ReadResult.NO_OWNER);
  }

  /**
   * Retries an attempt while the key has no owner; a remaining failure becomes the result {@code
   * noOwner}.
   */
  private <T> Uni<T> retryWhileOwnerless(Uni<T> attempt, T noOwner) {
    return attempt
        .onFailure(NoOwnerException.class)
        .retry()
        .withBackOff(OWNER_RETRY_INTERVAL, OWNER_RETRY_INTERVAL)
        .withJitter(0)
        .expireIn(ownerRetryMs())
        .onFailure()
        .recoverWithItem(failure -> noOwner);
  }

  /**
   * Returns for how many ms an attempt is retried, such that a retried change can still be answered
   * in time.
   */
  private long ownerRetryMs() {
    return Math.min(MAX_OWNER_RETRY_MS, config.changeTimeoutMs() / 2);
  }

  private Uni<ReadResult> readOnce(String key) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Consumer<ReadResult> answer =
                  result -> {
                    if (result.hasOwner() || member.isUnavailable()) emitter.complete(result);
                    else emitter.fail(new NoOwnerException());
                  };
              if (!worker.offer(() -> member.readNewest(key, answer)))
                emitter.complete(ReadResult.NO_OWNER);
            });
  }

  private Uni<ChangeResult> changeOnce(ChangeRequest request) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              Consumer<ChangeResult> answer =
                  result -> {
                    if (result instanceof ChangeResult.NoOwner && !member.isUnavailable())
                      emitter.fail(new NoOwnerException());
                    else emitter.complete(result);
                  };
              if (!worker.offer(() -> member.change(request, answer)))
                emitter.complete(new ChangeResult.QueueFull());
            });
  }

  /**
   * Thrown when a key has no owner and a retry may succeed. It has no stack trace, as it is thrown
   * often.
   */
  private static final class NoOwnerException extends RuntimeException {
    NoOwnerException() {
      super("no owner", null, false, false);
    }
  }

  /**
   * Stops the service, after other members took over its keys and a standby machine, if there is
   * one, its place.
   */
  @Override
  public void stop() {
    if (member != null) drain();
    worker.close();
    if (disk != null) disk.close();
  }

  private void drain() {
    CountDownLatch drained = new CountDownLatch(1);
    boolean requested = worker.offer(member::startDraining);
    worker.scheduleEvery(
        DRAIN_CHECK_INTERVAL_MS,
        () -> {
          if (member.isSafeToStop()) drained.countDown();
        });
    try {
      if (requested && !drained.await(config.drainTimeoutMs(), TimeUnit.MILLISECONDS))
        Log.warn("left-too-early", "after", config.drainTimeoutMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- the protocol's host

  @Override
  public long nowMs() {
    return clock.now();
  }

  @Override
  public long random(long below) {
    return ThreadLocalRandom.current().nextLong(below);
  }

  @Override
  public void send(String name, Envelope message) {
    if (name.equals(self.name())) {
      worker.offer(() -> member.onMessage(message));
      return;
    }
    PersistentConnection connection = peers.get(name);
    if (connection != null) connection.send(message);
  }

  @Override
  public void sendTo(Address address, Envelope message) {
    connections.sendToUnknown(address, message, nowMs());
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public List<Address> contactAddresses() {
    Set<Address> contacts = new LinkedHashSet<>(seeds);
    for (Shuffle.Descriptor process : views.all()) {
      if (process.role().equals("control")) contacts.add(Address.of(process.recordsAddress()));
      // before there are members, a seed without a disk may be a witness of the bootstrap
      else if (member.isInitialized()) contacts.remove(Address.of(process.recordsAddress()));
    }
    return new ArrayList<>(contacts);
  }

  @Override
  public void sync(String key, byte[] state, Runnable done) {
    disk.enqueue(key, state, done);
  }

  /**
   * Returns the space for registers in bytes: an eighth of a ring file is left for record framing
   * and the member's own records.
   */
  @Override
  public long maxStateBytes() {
    return ring.fileBytes() / 8 * 7L;
  }

  @Override
  public void pushUpdate(String subscriber, StateUpdate update) {
    Connection connection = subscribers.get(subscriber);
    if (connection != null) connection.send(update);
  }

  @Override
  public void onMembersChanged(MemberSet members) {
    views.advanceGeneration(members.generation());
    peers
        .entrySet()
        .removeIf(
            peer -> {
              MemberSet.Member current = members.find(peer.getKey());
              if (current != null && current.recordsAddress().equals(peer.getValue().remoteAddress))
                return false;
              peer.getValue().close();
              return true;
            });
    for (MemberSet.Member other : members.all())
      if (!other.name().equals(self.name()))
        peers.computeIfAbsent(
            other.name(),
            name ->
                connections.connect(
                    other.recordsAddress(),
                    connection -> worker.offer(() -> member.onPeerConnected(name))));
  }

  @Override
  public void logEvent(String name, Object... pairs) {
    Log.event(name, pairs);
  }
}

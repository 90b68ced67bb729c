package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.Liveness;
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
 * Hosts the core's protocol in a process and is what the rest of the process asks of it.
 *
 * <p>Threads: one worker, `core`, runs the protocol, and all of {@link CoreHost} is called on it.
 * The disk's thread writes, and hands each completion to the worker. Connections deliver on event
 * loops and hand over to the worker, too. {@link #ask}, {@link #change} and {@link #readNewest} may
 * be called on any thread; their results arrive on the worker or a timer's thread.
 */
public final class CoreService implements ServiceRegistry.Service, CoreHost {
  /** A write that takes longer makes the disk count as unhealthy. */
  private static final long DISK_STALL_MS = 400;

  private static final long DISK_PROBE_INTERVAL_MS = 1000;

  /** How often a process that was asked to stop looks whether it may end. */
  private static final long DRAIN_CHECK_INTERVAL_MS = 50;

  /**
   * How long a change or read is offered again while a key is between two owners: callers give a
   * connection up after a second of silence.
   */
  private static final long MAX_OWNER_RETRY_MS = 800;

  /** How long a read may take in all. */
  private static final long READ_TIMEOUT_MS = 900;

  private static final Duration OWNER_RETRY_INTERVAL = Duration.ofMillis(100);
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

  /** To the other members, by name; used on the worker only. */
  private final Map<String, PersistentConnection> peers = new HashMap<>();

  /** To who is no member of this generation, by address; used on the worker only. */
  private final Map<Address, UnknownNodeConnection> unknownNodes = new HashMap<>();

  /** From data-plane processes, by name; used on any thread. */
  private final Map<String, Connection> subscribers = new ConcurrentHashMap<>();

  private ConnectionAcceptor acceptor;
  private PartialViewService views;
  private DiskWriter disk;
  private CoreMember member;

  /**
   * Runs nothing before {@link #start}.
   *
   * @param ring what is durable, opened
   * @param self this member: name, id of its disk, addresses
   * @param seeds records addresses of other processes
   * @param weightsAgeCutoffMs after new weights, for how long requests may begin on the old ones
   * @param bootstrapMembers first members of a new fleet, or null for a member that joins or knows
   *     its members
   * @param ownerTasks what the owner of a key does beside the protocol
   * @param onDiskFailure gets the cause when the disk failed; on the disk's thread
   */
  public CoreService(
      Vertx vertx,
      RecordRing ring,
      QuorumConfig config,
      MemberSet.Member self,
      List<Address> seeds,
      int cutoffMs,
      BootstrapMembers bootstrapMembers,
      OwnerTasks ownerTasks,
      Consumer<String> onDiskFailure) {
    this.vertx = vertx;
    this.ring = ring;
    this.config = config;
    this.self = self;
    this.seeds = seeds;
    this.weightsAgeCutoffMs = cutoffMs;
    this.bootstrapMembers = bootstrapMembers;
    this.ownerTasks = ownerTasks;
    this.onDiskFailure = onDiskFailure;
  }

  @Override
  public void start(ServiceRegistry registry) {
    acceptor = registry.find("doors", ConnectionAcceptor.class);
    views = registry.find("views", PartialViewService.class);
    disk = new DiskWriter(ring, clock, completion -> worker.offer(completion), onDiskFailure);
    member =
        new CoreMember(
            this, config, self, weightsAgeCutoffMs, ring.live(), bootstrapMembers, ownerTasks);
    acceptor.register(
        Hello.CORE,
        (hello, connection) ->
            bytes -> {
              Envelope message = WireRecord.decode(bytes, Envelope::read);
              worker.offer(() -> member.onMessage(message));
            });
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

  /** An empty write shows whether the disk still answers while nothing changes. */
  private void probeDisk() {
    disk.enqueue("", new byte[0], () -> {});
    unknownNodes.values().removeIf(connection -> connection.closeIfIdle(nowMs()));
  }

  /** What one data-plane process sends on its connection; runs on that connection's event loop. */
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
      } else throw new IOException("only control tells this");
    }

    @Override
    public void closed() {
      if (name != null) subscribers.remove(name, connection);
    }
  }

  /** Asks the protocol something on its own thread; fails where its queue is full. */
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
                          // any fault of the question is its asker's, not the worker's
                          emitter.fail(e);
                        }
                      });
              if (!queued) emitter.fail(new IllegalStateException("the core's ring is full"));
            });
  }

  /** A change that isn't remembered; see {@link #change(ChangeRequest)}. */
  public Uni<ChangeResult> change(String key, long match, byte[] body) {
    return change(ChangeRequest.withoutBase(key, match, body));
  }

  /**
   * Changes a key at its owner, wherever that is. While the key is between two owners nothing was
   * applied, so the change is offered again for a moment; not where this member has no contact with
   * a majority, and then it says so at once. Never fails: what went wrong is a result.
   */
  public Uni<ChangeResult> change(ChangeRequest request) {
    return retryWhileOwnerless(changeOnce(request), new ChangeResult.NoOwner())
        .ifNoItem()
        .after(Duration.ofMillis(config.changeResponseTimeoutMs()))
        .recoverWithItem(new ChangeResult.Unknown(request.resultingNumber()));
  }

  /**
   * The newest committed value from its owner, wherever that is; offered again while a key changes
   * hands, as a change is. Never fails: without an owner the result says so.
   */
  public Uni<ReadResult> readNewest(String key) {
    return retryWhileOwnerless(readOnce(key), ReadResult.NO_OWNER)
        .ifNoItem()
        .after(Duration.ofMillis(READ_TIMEOUT_MS))
        .recoverWithItem(ReadResult.NO_OWNER);
  }

  /** Tries again while a key is between two owners; any failure then is that there is none. */
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

  /** So that a change offered again for this long can still be answered in time, ms. */
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

  /** The key is between two owners: worth another try. Without a stack, as it is thrown often. */
  private static final class NoOwnerException extends RuntimeException {
    NoOwnerException() {
      super("no owner", null, false, false);
    }
  }

  /** A member first hands its keys and, where a machine stands by, its place to others. */
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
    unknownNodes
        .computeIfAbsent(
            address, remote -> new UnknownNodeConnection(connect(remote, connection -> {})))
        .send(message, nowMs());
  }

  private PersistentConnection connect(Address remote, Consumer<PersistentConnection> onOpened) {
    return new PersistentConnection(
        vertx,
        acceptor,
        remote,
        Hello.CORE,
        Liveness.forMembers(config.heartbeatMs(), config.peerTimeoutMs()),
        (connection, bytes) -> {
          throw new IOException("core connections carry one way");
        },
        onOpened);
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
      else contacts.remove(Address.of(process.recordsAddress()));
    }
    return new ArrayList<>(contacts);
  }

  @Override
  public void sync(String key, byte[] state, Runnable done) {
    disk.enqueue(key, state, done);
  }

  /** Some of a ring file is left for frames and the members' own records. */
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
              MemberSet.Member still = members.find(peer.getKey());
              if (still != null && still.recordsAddress().equals(peer.getValue().remoteAddress))
                return false;
              peer.getValue().close();
              return true;
            });
    for (MemberSet.Member other : members.all())
      if (!other.name().equals(self.name()))
        peers.computeIfAbsent(
            other.name(),
            name ->
                connect(
                    other.recordsAddress(),
                    connection -> worker.offer(() -> member.onPeerConnected(name))));
  }

  @Override
  public void logEvent(String name, Object... pairs) {
    Log.event(name, pairs);
  }
}

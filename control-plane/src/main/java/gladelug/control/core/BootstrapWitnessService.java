package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.Log;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage.Envelope;
import io.vertx.mutiny.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Runs a voter of the bootstrap in a process without a disk, for the life of that process: its vote
 * is in memory only. Once the fleet exists it does nothing but tell its members to whoever asks.
 *
 * <p>All methods of {@link CoreHost} are called on the worker's thread, {@code witness}.
 */
public final class BootstrapWitnessService implements ServiceRegistry.Service, CoreHost {
  private static final long TICK_INTERVAL_MS = 50;
  private static final int QUEUE_CAPACITY = 4096;
  private static final long IDLE_CHECK_INTERVAL_MS = 10_000;

  private final Vertx vertx;
  private final Clock clock = Clock.monotonic();
  private final SingleThreadWorker worker =
      new SingleThreadWorker("witness", QUEUE_CAPACITY, clock);
  private final QuorumConfig config;
  private final MemberSet.Member self;
  private final BootstrapMembers voters;
  private NodeConnections connections;
  private CoreMember member;

  /**
   * Creates the service.
   *
   * @param name the name under which the other voters know this process
   * @param records the address at which it accepts records
   * @param operator the address at which it answers operators
   * @param voters all voters, this one included
   */
  public BootstrapWitnessService(
      Vertx vertx,
      QuorumConfig config,
      String name,
      Address records,
      Address operator,
      List<MemberSet.Member> voters) {
    this.vertx = vertx;
    this.config = config;
    this.self =
        new MemberSet.Member(
            name,
            "witness-" + Long.toHexString(ThreadLocalRandom.current().nextLong()),
            records,
            operator);
    this.voters = BootstrapMembers.ofWitness(voters);
  }

  @Override
  public void start(ServiceRegistry registry) {
    ConnectionAcceptor acceptor = registry.find("doors", ConnectionAcceptor.class);
    connections = new NodeConnections(vertx, acceptor, config);
    member = new CoreMember(this, config, self, 0, Map.of(), voters, new OwnerTasks() {});
    connections.receive(message -> worker.offer(() -> member.onMessage(message)));
    worker.offer(this::tick);
    worker.scheduleEvery(IDLE_CHECK_INTERVAL_MS, () -> connections.closeIdle(nowMs()));
  }

  private void tick() {
    member.tick();
    if (member.isBootstrapping()) worker.scheduleAfter(TICK_INTERVAL_MS, this::tick);
  }

  @Override
  public void stop() {
    worker.close();
  }

  // ---- the protocol's host

  @Override
  public long nowMs() {
    return clock.now();
  }

  @Override
  public long random(long bound) {
    return ThreadLocalRandom.current().nextLong(bound);
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  /** A witness knows no members by name. */
  @Override
  public void send(String name, Envelope message) {}

  @Override
  public void sendTo(Address address, Envelope message) {
    connections.sendToUnknown(address, message, nowMs());
  }

  /** The other voters suffice: every machine that bootstraps or joins asks them. */
  @Override
  public List<Address> contactAddresses() {
    return List.of();
  }

  /** There is no disk: what is to be stored lasts as long as the process, from now on. */
  @Override
  public void sync(String key, byte[] state, Runnable done) {
    worker.offer(done);
  }

  @Override
  public long maxStateBytes() {
    return 0;
  }

  @Override
  public void pushUpdate(String subscriber, StateUpdate update) {}

  @Override
  public void onMembersChanged(MemberSet members) {}

  @Override
  public void logEvent(String name, Object... pairs) {
    Log.event(name, pairs);
  }
}

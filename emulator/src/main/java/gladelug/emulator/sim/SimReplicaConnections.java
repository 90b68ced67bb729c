package gladelug.emulator.sim;

import com.eclipsesource.json.Json;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.data.relay.ReplicaConnections;
import gladelug.emulator.StandInContent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Simulated connections from one relay to replicas, behind the interface of the hand-over and
 * pooled for reuse. Bytes keep their order in each direction. While a pair is cut they wait and the
 * connection stays open; a crash of the replica breaks it, and a vanished machine stays silent.
 */
final class SimReplicaConnections implements ReplicaConnections {
  private static final long CONNECT_TIMEOUT_MS = 500, IDENTIFY_TIMEOUT_MS = 1000;
  private final RequestSimulation sim;
  private final RequestRelay relay;
  private final int ownProcess;
  private final Map<String, List<PooledConnection>> idleByAddress = new HashMap<>();
  private final List<PooledConnection> openConnections = new ArrayList<>();

  SimReplicaConnections(RequestSimulation sim, RequestRelay relay) {
    this.sim = sim;
    this.relay = relay;
    this.ownProcess = relay.processNumber;
  }

  private final class PooledConnection {
    final String address;
    final SimReplica replica;
    final int replicaProcess;
    String identity = "";
    boolean closed;

    /**
     * Whether the replica has reset the connection. It reads nothing more, whether the relay knows
     * of the reset or not.
     */
    boolean resetByPeer;

    ConnectionUse currentUse;
    final ArrayDeque<Runnable> toReplica = new ArrayDeque<>();
    final ArrayDeque<Runnable> toRelay = new ArrayDeque<>();

    PooledConnection(String address, SimReplica replica) {
      this.address = address;
      this.replica = replica;
      this.replicaProcess = replica.processNumber;
    }

    boolean isDead() {
      return closed
          || resetByPeer
          || replica.processNumber != replicaProcess
          || sim.replicaAt(address) != replica;
    }

    /**
     * Resets the connection at the replica; the relay learns of it after everything already on its
     * way back.
     */
    void reset() {
      if (closed || resetByPeer) return;
      resetByPeer = true;
      if (currentUse != null) currentUse.onResetByPeer();
      transmit(
          toRelay,
          () -> {
            closed = true;
            openConnections.remove(this);
            if (currentUse == null) sim.countEvent(ConnectionEvent.RESET_WHILE_IDLE);
            else currentUse.endWith("the connection was reset");
          });
    }

    /** Receives lines that answer no request open on this connection. */
    void onSurplusLines(List<String> lines) {
      if (closed) return;
      if (currentUse == null || currentUse.answer == null) {
        sim.countEvent(ConnectionEvent.SURPLUS_WHILE_IDLE);
        closed = true;
        openConnections.remove(this);
        return;
      }
      sim.countEvent(ConnectionEvent.SURPLUS_AT_NEXT_REQUEST);
      currentUse.onSurplusLines(lines);
    }

    void transmit(ArrayDeque<Runnable> direction, Runnable task) {
      direction.add(task);
      sim.after(
          1 + sim.random.nextInt(sim.random.nextInt(30) == 0 ? 40 : 3),
          () -> deliverNext(direction));
    }

    private void deliverNext(ArrayDeque<Runnable> direction) {
      boolean cut =
          direction == toReplica
              ? sim.isCut(relay.name, replica.instance)
              : sim.isCut(replica.instance, relay.name);
      if (cut || replica.vanished) {
        if (!closed) sim.after(50, () -> deliverNext(direction));
        return;
      }
      Runnable task = direction.poll();
      if (task != null) task.run();
    }
  }

  /** Called when a replica's process ends: everything on its way to it is lost. */
  void onReplicaCrashed(SimReplica replica) {
    for (PooledConnection connection : new ArrayList<>(openConnections)) {
      if (connection.replica != replica || connection.replicaProcess != replica.processNumber - 1)
        continue;
      openConnections.remove(connection);
      ConnectionUse use = connection.currentUse;
      connection.transmit(
          connection.toRelay,
          () -> {
            connection.closed = true;
            if (use != null) use.endWith("the connection broke");
          });
    }
  }

  /** Resets all connections between a replica and this relay. */
  void resetAllTo(SimReplica replica) {
    for (PooledConnection connection : new ArrayList<>(openConnections))
      if (connection.replica == replica) connection.reset();
  }

  @Override
  public void open(Replica replica, Consumer<Connection> opened, Consumer<String> failure) {
    String address = replica.address().toString();
    List<PooledConnection> idleConnections =
        idleByAddress.computeIfAbsent(address, x -> new ArrayList<>());
    idleConnections.removeIf(PooledConnection::isDead);
    SimReplica simReplica = sim.replicaAt(address);
    if (!idleConnections.isEmpty()) {
      PooledConnection connection = idleConnections.remove(idleConnections.size() - 1);
      sim.passPoint(
          RequestSimulation.RequestPoint.OPEN,
          relay.name,
          () -> runLater(0, () -> opened.accept(new ConnectionUse(connection))));
    } else if (simReplica == null
        || simReplica.vanished
        || sim.isCut(relay.name, simReplica.instance)
        || sim.isCut(simReplica.instance, relay.name))
      runLater(CONNECT_TIMEOUT_MS, () -> failure.accept("no answer"));
    else if (!simReplica.up) runLater(2, () -> failure.accept("refused"));
    else
      sim.passPoint(
          RequestSimulation.RequestPoint.OPEN,
          relay.name,
          () ->
              runLater(
                  1 + sim.random.nextInt(3),
                  () -> {
                    PooledConnection connection = new PooledConnection(address, simReplica);
                    openConnections.add(connection);
                    opened.accept(new ConnectionUse(connection));
                  }));
  }

  private void runLater(long delayMs, Runnable task) {
    sim.after(delayMs, () -> relay.run(ownProcess, task));
  }

  /** One use of a pooled connection. */
  final class ConnectionUse implements Connection {
    private final PooledConnection pooled;
    private Answer answer;
    private SimReplica.Job job;
    private boolean ended;
    private boolean reset;
    private boolean used;

    ConnectionUse(PooledConnection pooled) {
      this.pooled = pooled;
      pooled.currentUse = this;
    }

    @Override
    public String verifiedIdentity() {
      return sim.identityUnchecked && pooled.replica != null
          ? relay.listedIdentity(pooled.address)
          : pooled.identity;
    }

    @Override
    public void identify(Consumer<String> onIdentity) {
      boolean[] answeredOnce = {false};
      Consumer<String> tellOnce =
          identity ->
              relay.run(
                  ownProcess,
                  () -> {
                    if (answeredOnce[0]) return;
                    answeredOnce[0] = true;
                    if (!identity.isEmpty()) {
                      pooled.identity = identity;
                      returnToPool();
                    }
                    onIdentity.accept(identity);
                  });
      sim.after(IDENTIFY_TIMEOUT_MS, () -> tellOnce.accept(""));
      pooled.transmit(
          pooled.toReplica,
          () -> {
            if (!pooled.isDead() && pooled.replica.isAnswering()) {
              String identity = pooled.replica.service + "/" + pooled.replica.instance;
              pooled.transmit(pooled.toRelay, () -> tellOnce.accept(identity));
            }
          });
    }

    @Override
    public void send(String json, Answer receiver) {
      answer = receiver;
      used = true;
      long handedAtMs = sim.nowMs();
      String tag = StandInContent.tagOf(Json.parse(json).asObject().getString("prompt", ""));
      sim.onHandedOver(relay, json);
      sim.observer.sentText(handedAtMs, relay.name, pooled.replica.instance, json);
      if (pooled.closed) {
        sim.countEvent(ConnectionEvent.CLOSED_BEFORE_SENDING);
        sim.after(0, () -> endWith("the connection is closed"));
        return;
      }
      sim.passPoint(
          RequestSimulation.RequestPoint.HANDED,
          tag,
          () -> pooled.transmit(pooled.toReplica, () -> onRequestArrived(json, handedAtMs)));
    }

    /**
     * Delivers the request to the replica. A hanging process reads it when it resumes, possibly
     * even if the connection was reset meanwhile.
     */
    private void onRequestArrived(String json, long handedAtMs) {
      if (pooled.resetByPeer) sim.countEvent(ConnectionEvent.RESET_BEFORE_IT_WAS_READ);
      if (pooled.isDead() || reset && sim.random.nextBoolean()) return;
      if (pooled.replica.hung) {
        sim.after(50, () -> onRequestArrived(json, handedAtMs));
        return;
      }
      job = pooled.replica.onRequest(this, Json.parse(json).asObject(), handedAtMs);
      if (reset && job != null) pooled.replica.cancel(job);
    }

    void sendToRelay(Consumer<Answer> action) {
      pooled.transmit(
          pooled.toRelay,
          () ->
              relay.run(
                  ownProcess,
                  () -> {
                    if (reset) sim.countEvent(ConnectionEvent.ANSWER_AFTER_IT_WAS_GIVEN_UP);
                    if (!ended && !reset && answer != null) action.accept(answer);
                  }));
    }

    /** Receives lines of another answer where this request's answer is due. */
    private void onSurplusLines(List<String> lines) {
      relay.run(
          ownProcess,
          () -> {
            for (String line : lines) if (!ended && !reset) answer.line(line);
          });
    }

    /** Sends bytes that belong to no request, after an answer and possibly much later. */
    void sendSurplus(List<String> lines, long afterMs) {
      sim.after(afterMs, () -> pooled.transmit(pooled.toRelay, () -> pooled.onSurplusLines(lines)));
    }

    /**
     * Called when the connection is reset at the replica's end: most replicas drop the request
     * then.
     */
    private void onResetByPeer() {
      if (job == null) return;
      sim.countEvent(ConnectionEvent.RESET_WHILE_RUNNING);
      if (sim.random.nextInt(4) > 0) pooled.replica.cancel(job);
    }

    /** Called when the replica has sent its whole answer: the connection may be used again. */
    void onAnswerSent() {
      pooled.transmit(pooled.toRelay, this::returnToPool);
    }

    void onStreamBroken() {
      pooled.closed = true;
      openConnections.remove(pooled);
    }

    private void returnToPool() {
      if (pooled.currentUse == this && !pooled.isDead() && !reset) {
        pooled.currentUse = null;
        idleByAddress.computeIfAbsent(pooled.address, x -> new ArrayList<>()).add(pooled);
      }
    }

    void endWith(String reason) {
      relay.run(
          ownProcess,
          () -> {
            if (ended || reset || answer == null) return;
            ended = true;
            answer.closed(reason);
          });
    }

    /** Gives up the connection together with the request that it carries. */
    @Override
    public void reset() {
      if (reset) return;
      reset = true;
      if (!used) {
        reset = false;
        returnToPool();
        return;
      }
      pooled.transmit(
          pooled.toReplica,
          () -> {
            if (job != null) pooled.replica.cancel(job);
            pooled.closed = true;
            openConnections.remove(pooled);
          });
    }

    @Override
    public void close() {
      pooled.closed = true;
      openConnections.remove(pooled);
    }

    @Override
    public void pause() {}

    @Override
    public void resume() {}
  }

  /** Closes all connections when the relay's process ends. */
  void closeAll() {
    for (PooledConnection connection : openConnections) {
      ConnectionUse idleConnections = connection.currentUse;
      connection.transmit(
          connection.toReplica,
          () -> {
            connection.closed = true;
            if (idleConnections != null && idleConnections.job != null)
              connection.replica.cancel(idleConnections.job);
          });
    }
    openConnections.clear();
  }
}

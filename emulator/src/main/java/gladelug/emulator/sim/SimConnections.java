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
 * The simulated side of the hand-over's seam: connections from one relay to replicas, kept and used
 * again as a pool does. Bytes keep their order each way; while a pair is cut they wait and the
 * connection stays open; a crash breaks it, a machine that vanished says nothing.
 */
final class SimConnections implements ReplicaConnections {
  private static final long CONNECT = 500, ASKED = 1000;
  private final RequestSim sim;
  private final RequestRelay relay;
  private final int life;
  private final Map<String, List<Pooled>> idle = new HashMap<>();
  private final List<Pooled> all = new ArrayList<>();

  SimConnections(RequestSim sim, RequestRelay relay) {
    this.sim = sim;
    this.relay = relay;
    this.life = relay.life;
  }

  private final class Pooled {
    final String address;
    final SimReplica end;
    final int endLife;
    String who = "";
    boolean closed;

    /**
     * The other end reset it: nothing more is read there, whether the relay knows it yet or not.
     */
    boolean resetThere;

    Line used;
    final ArrayDeque<Runnable> there = new ArrayDeque<>();
    final ArrayDeque<Runnable> back = new ArrayDeque<>();

    Pooled(String address, SimReplica end) {
      this.address = address;
      this.end = end;
      this.endLife = end.life;
    }

    boolean dead() {
      return closed || resetThere || end.life != endLife || sim.at(address) != end;
    }

    /** The other end resets it; the relay hears of it after what is on its way back already. */
    void reset() {
      if (closed || resetThere) return;
      resetThere = true;
      if (used != null) used.lost();
      carry(
          back,
          () -> {
            closed = true;
            all.remove(this);
            if (used == null) sim.count(Met.RESET_WHILE_IDLE);
            else used.over("the connection was reset");
          });
    }

    /** Lines that answer no request that is open here. */
    void surplus(List<String> lines) {
      if (closed) return;
      if (used == null || used.to == null) {
        sim.count(Met.SURPLUS_WHILE_IDLE);
        closed = true;
        all.remove(this);
        return;
      }
      sim.count(Met.SURPLUS_AT_NEXT_REQUEST);
      used.surplus(lines);
    }

    void carry(ArrayDeque<Runnable> way, Runnable task) {
      way.add(task);
      sim.after(1 + sim.random.nextInt(sim.random.nextInt(30) == 0 ? 40 : 3), () -> arrive(way));
    }

    private void arrive(ArrayDeque<Runnable> way) {
      boolean cut =
          way == there ? sim.isCut(relay.name, end.instance) : sim.isCut(end.instance, relay.name);
      if (cut || end.vanished) {
        if (!closed) sim.after(50, () -> arrive(way));
        return;
      }
      Runnable task = way.poll();
      if (task != null) task.run();
    }
  }

  /** The other end's process died or the stream broke: all that was on its way to it is lost. */
  void broke(SimReplica end) {
    for (Pooled c : new ArrayList<>(all)) {
      if (c.end != end || c.endLife != end.life - 1) continue;
      all.remove(c);
      Line l = c.used;
      c.carry(
          c.back,
          () -> {
            c.closed = true;
            if (l != null) l.over("the circuit broke");
          });
    }
  }

  /** The replica's machine resets whatever connections it has with this relay. */
  void resetAll(SimReplica end) {
    for (Pooled c : new ArrayList<>(all)) if (c.end == end) c.reset();
  }

  @Override
  public void open(Replica to, Consumer<Connection> opened, Consumer<String> failure) {
    String a = to.address().toString();
    List<Pooled> l = idle.computeIfAbsent(a, x -> new ArrayList<>());
    l.removeIf(Pooled::dead);
    SimReplica replica = sim.at(a);
    if (!l.isEmpty()) {
      Pooled c = l.remove(l.size() - 1);
      sim.passes(
          RequestSim.Point.OPEN, relay.name, () -> later(0, () -> opened.accept(new Line(c))));
    } else if (replica == null
        || replica.vanished
        || sim.isCut(relay.name, replica.instance)
        || sim.isCut(replica.instance, relay.name))
      later(CONNECT, () -> failure.accept("no answer"));
    else if (!replica.up) later(2, () -> failure.accept("refused"));
    else
      sim.passes(
          RequestSim.Point.OPEN,
          relay.name,
          () ->
              later(
                  1 + sim.random.nextInt(3),
                  () -> {
                    Pooled c = new Pooled(a, replica);
                    all.add(c);
                    opened.accept(new Line(c));
                  }));
  }

  private void later(long ms, Runnable task) {
    sim.after(ms, () -> relay.run(life, task));
  }

  /** One use of a connection. */
  final class Line implements Connection {
    private final Pooled c;
    private Answer to;
    private SimReplica.Job job;
    private boolean over;
    private boolean reset;
    private boolean used;

    Line(Pooled c) {
      this.c = c;
      c.used = this;
    }

    @Override
    public String verifiedIdentity() {
      return sim.unchecked && c.end != null ? relay.wanted(c.address) : c.who;
    }

    @Override
    public void identify(Consumer<String> who) {
      boolean[] once = {false};
      Consumer<String> tell =
          w ->
              relay.run(
                  life,
                  () -> {
                    if (once[0]) return;
                    once[0] = true;
                    if (!w.isEmpty()) {
                      c.who = w;
                      free();
                    }
                    who.accept(w);
                  });
      sim.after(ASKED, () -> tell.accept(""));
      c.carry(
          c.there,
          () -> {
            if (!c.dead() && c.end.answers()) {
              String w = c.end.service + "/" + c.end.instance;
              c.carry(c.back, () -> tell.accept(w));
            }
          });
    }

    @Override
    public void send(String json, Answer a) {
      to = a;
      used = true;
      long handed = sim.now();
      String tag = StandInContent.tagOf(Json.parse(json).asObject().getString("prompt", ""));
      sim.handed(relay, json);
      sim.observer.sentText(handed, relay.name, c.end.instance, json);
      if (c.closed) {
        sim.count(Met.CLOSED_BEFORE_SENDING);
        sim.after(0, () -> over("the connection is closed"));
        return;
      }
      sim.passes(RequestSim.Point.HANDED, tag, () -> c.carry(c.there, () -> taken(json, handed)));
    }

    /**
     * A process that hangs reads it when it wakes, and may do so even if it was reset meanwhile.
     */
    private void taken(String json, long handed) {
      if (c.resetThere) sim.count(Met.RESET_BEFORE_IT_WAS_READ);
      if (c.dead() || reset && sim.random.nextBoolean()) return;
      if (c.end.hung) {
        sim.after(50, () -> taken(json, handed));
        return;
      }
      job = c.end.order(this, Json.parse(json).asObject(), handed);
      if (reset && job != null) c.end.left(job);
    }

    void toRelay(Consumer<Answer> what) {
      c.carry(
          c.back,
          () ->
              relay.run(
                  life,
                  () -> {
                    if (reset) sim.count(Met.ANSWER_AFTER_IT_WAS_GIVEN_UP);
                    if (!over && !reset && to != null) what.accept(to);
                  }));
    }

    /** Lines of another answer come where this request's answer is due. */
    private void surplus(List<String> lines) {
      relay.run(
          life,
          () -> {
            for (String line : lines) if (!over && !reset) to.line(line);
          });
    }

    /** Bytes that belong to no request, after an answer and perhaps much later. */
    void sendSurplus(List<String> lines, long afterMs) {
      sim.after(afterMs, () -> c.carry(c.back, () -> c.surplus(lines)));
    }

    /** The connection was reset at the replica's end: most drop the request then. */
    private void lost() {
      if (job == null) return;
      sim.count(Met.RESET_WHILE_RUNNING);
      if (sim.random.nextInt(4) > 0) c.end.left(job);
    }

    /** The replica is through with it: the connection may be used again. */
    void done() {
      c.carry(c.back, this::free);
    }

    void broken() {
      c.closed = true;
      all.remove(c);
    }

    private void free() {
      if (c.used == this && !c.dead() && !reset) {
        c.used = null;
        idle.computeIfAbsent(c.address, x -> new ArrayList<>()).add(c);
      }
    }

    void over(String why) {
      relay.run(
          life,
          () -> {
            if (over || reset || to == null) return;
            over = true;
            to.closed(why);
          });
    }

    /** A connection that carries a request of ours is given up with it. */
    @Override
    public void reset() {
      if (reset) return;
      reset = true;
      if (!used) {
        reset = false;
        free();
        return;
      }
      c.carry(
          c.there,
          () -> {
            if (job != null) c.end.left(job);
            c.closed = true;
            all.remove(c);
          });
    }

    @Override
    public void close() {
      c.closed = true;
      all.remove(c);
    }

    @Override
    public void pause() {}

    @Override
    public void resume() {}
  }

  /** The relay's process died: its connections close. */
  void die() {
    for (Pooled c : all) {
      Line l = c.used;
      c.carry(
          c.there,
          () -> {
            c.closed = true;
            if (l != null && l.job != null) c.end.left(l.job);
          });
    }
    all.clear();
  }
}

/*
 * The duty of the owner of the key replicas: asks the platform for its list and, where it differs
 * from what is kept, proposes the new one. A platform that is silent or makes no sense changes
 * nothing. Other members keep still.
 */
package gladelug.control.duty;

import gladelug.control.core.ChangeAnswer;
import gladelug.control.core.CoreService;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.Result;
import gladelug.kernel.configuration.Replicas;
import gladelug.kernel.connection.Doors;
import gladelug.kernel.connection.Local;
import gladelug.kernel.message.Keys;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

public final class PlatformWatch implements Kernel.Service {
  private final Vertx vertx;
  private final Function<Local, ReplicaSource> sources;
  private ReplicaSource source;
  private CoreService core;
  private final Learned learned = new Learned();
  private boolean busy;
  private boolean silent;
  private long timer;

  /** sources: makes the source for where this process calls from. */
  public PlatformWatch(Vertx vertx, Function<Local, ReplicaSource> sources) {
    this.vertx = vertx;
    this.sources = sources;
  }

  @Override
  public void start(Kernel k) {
    core = k.find("core", CoreService.class);
    source = sources.apply(k.find("doors", Doors.class).local);
    vertx
        .getOrCreateContext()
        .runOnContext(() -> timer = vertx.setPeriodic(source.periodMs(), i -> look()));
  }

  /**
   * What is kept less what the platform took away: the part of a list that may still be offered
   * when the owner may have heard a newer one, because it can send a request to nobody that the
   * newer one would not.
   */
  static byte[] narrowed(byte[] kept, Replicas heard) {
    List<Replicas.Replica> l = new ArrayList<>();
    if (Replicas.parse(new String(kept, StandardCharsets.UTF_8)) instanceof Result.Good<Replicas> k)
      for (Replicas.Replica r : k.value().all) {
        Replicas.Replica h = heard.find(r.instance());
        if (h == null || !h.address().equals(r.address()) || !h.service().equals(r.service()))
          continue;
        l.add(
            new Replicas.Replica(
                r.service(), r.instance(), r.address(), r.zone(), r.ready() && h.ready()));
      }
    return new Replicas(l).json().getBytes(StandardCharsets.UTF_8);
  }

  /** Who isn't the owner, or no more: what it learned and nobody took is offered to the owner. */
  private Uni<?> again() {
    List<Uni<?>> one = new ArrayList<>();
    learned.offer(
        core.now(), (n, v) -> one.add(core.change(Keys.REPLICAS, n, v).invoke(learned::answered)));
    return one.isEmpty() ? Uni.createFrom().nullItem() : one.get(0);
  }

  private void look() {
    if (busy) return;
    busy = true;
    core.ask(n -> n.owns(Keys.REPLICAS))
        .flatMap(
            owns ->
                owns ? source.list().flatMap(this::took).onFailure().call(t -> again()) : again())
        .ifNoItem()
        .after(Duration.ofSeconds(12))
        .fail()
        .subscribe()
        .with(
            x -> busy = false,
            t -> {
              busy = false;
              if (!silent) Log.warn("platform-silent", "what", t.toString());
              silent = true;
            });
  }

  private Uni<?> took(Result<Replicas> r) {
    if (!(r instanceof Result.Good<Replicas> g)) {
      if (!silent) Log.warn("platform-list-refused", "findings", r.toString());
      silent = true;
      return Uni.createFrom().nullItem();
    }
    if (silent) Log.event("platform-back");
    silent = false;
    byte[] now = g.value().json().getBytes(StandardCharsets.UTF_8);
    return core.ask(n -> n.kept(Keys.REPLICAS))
        .flatMap(
            kept -> {
              if (kept.getKey() > 0 && Arrays.equals(kept.getValue(), now))
                return Uni.createFrom().nullItem();
              if (kept.getKey() > 0)
                learned.learn(kept.getKey(), narrowed(kept.getValue(), g.value()), core.now());
              return core.change(Keys.REPLICAS, kept.getKey(), now)
                  .invoke(
                      a -> {
                        learned.answered(a);
                        if (a instanceof ChangeAnswer.Done d)
                          Log.event(
                              "replicas-listed",
                              "number",
                              d.number(),
                              "count",
                              g.value().all.size(),
                              "acks",
                              d.acks(),
                              "lapsed",
                              d.lapsed(),
                              "waited",
                              d.waited());
                        else Log.event("replicas-not-listed", "answer", a);
                      });
            });
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timer);
  }
}

package gladelug.common.view;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.ServiceRegistry;
import gladelug.common.SingleThreadWorker;
import gladelug.common.connection.Connection;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.Hello;
import gladelug.common.message.Shuffle;
import gladelug.common.message.WireRecord;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Runs the shuffling of views on one duty: a round a second over short connections, begun from the
 * seed addresses while the view is small.
 */
public final class PartialViewService implements ServiceRegistry.Service {
  /** Rounds are quick while a process is new, then slower; ms. */
  private static final long FAST_INTERVAL_MS = 1000,
      SLOW_INTERVAL_MS = 3000,
      RESPONSE_TIMEOUT_MS = 900;

  private static final int FAST_ROUNDS = 15;
  private final Vertx vertx;
  private final Address self;
  private final List<Address> seeds;
  private final PartialView view;
  private final SingleThreadWorker worker;
  private volatile List<Shuffle.Descriptor> snapshot = List.of();
  private ConnectionAcceptor acceptor;
  private int nextSeed;
  private int roundCount;

  public PartialViewService(Vertx vertx, Shuffle.Descriptor self, List<Address> seeds) {
    this.vertx = vertx;
    this.self = Address.of(self.recordsAddress());
    this.seeds = seeds;
    this.view = new PartialView(self, b -> ThreadLocalRandom.current().nextLong(b));
    this.worker = new SingleThreadWorker("views", 1024, Clock.monotonic());
  }

  public List<Shuffle.Descriptor> all() {
    return snapshot;
  }

  public void advanceGeneration(long g) {
    worker.offer(() -> view.advanceGeneration(g));
  }

  @Override
  public void start(ServiceRegistry registry) {
    acceptor = registry.find("doors", ConnectionAcceptor.class);
    acceptor.register(
        Hello.SHUFFLE,
        (hello, connection) ->
            record -> {
              if (!(WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Request q))
                throw new IOException("an answer nobody asked for");
              worker.offer(
                  () -> {
                    connection.send(view.onRequest(q));
                    snapshot = view.all();
                  });
            });
    worker.offer(this::runAndReschedule);
  }

  private void runAndReschedule() {
    runRound();
    worker.scheduleAfter(
        roundCount++ < FAST_ROUNDS ? FAST_INTERVAL_MS : SLOW_INTERVAL_MS, this::runAndReschedule);
  }

  private void runRound() {
    Map.Entry<Shuffle.Descriptor, Shuffle.Request> r = view.nextShuffle();
    snapshot = view.all();
    if (r != null) shuffle(Address.of(r.getKey().recordsAddress()), r.getValue());
    if (r == null || snapshot.size() < 3) {
      if (seeds.isEmpty()) return;
      Address address = seeds.get(nextSeed++ % seeds.size());
      if (!address.equals(self)) shuffle(address, view.createRequest());
    }
  }

  private void shuffle(Address address, Shuffle.Request q) {
    acceptor
        .connect(
            address,
            Hello.SHUFFLE,
            connection ->
                new Connection.Receiver() {
                  @Override
                  public void record(byte[] record) throws IOException {
                    if (!(WireRecord.decode(record, Shuffle::read) instanceof Shuffle.Response a))
                      throw new IOException("a request where an answer was due");
                    worker.offer(
                        () -> {
                          view.onResponse(a);
                          snapshot = view.all();
                        });
                    connection.close();
                  }
                })
        .subscribe()
        .with(
            connection -> {
              connection.send(q);
              vertx.setTimer(RESPONSE_TIMEOUT_MS, i -> connection.close());
            },
            failure -> {});
  }

  @Override
  public void stop() {
    worker.close();
  }
}

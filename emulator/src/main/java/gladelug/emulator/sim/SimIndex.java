package gladelug.emulator.sim;

import gladelug.common.message.Lookup;
import gladelug.common.message.Shuffle;
import gladelug.common.message.StateUpdate;
import gladelug.data.index.BlockList;
import gladelug.data.index.CacheEvent;
import gladelug.data.index.FleetSummary;
import gladelug.data.index.Holder;
import gladelug.data.state.ReplicatedStateView;
import gladelug.data.state.StateSubscription;

/**
 * The index in the simulated world, a data-plane process of its own: it hears of replicas from the
 * core and follows their cache events, of which some are lost, repeated or late.
 */
final class SimIndex {
  static final String NAME = "index";

  private final RequestSim sim;
  private final FleetSummary summary = new FleetSummary(16);
  private final StateSubscription news;

  /** The parts of cache events that are lost or come twice, and that come late. */
  double loseEvents;

  double delayEvents;

  SimIndex(RequestSim sim) {
    this.sim = sim;
    news =
        new StateSubscription(
            sim::now,
            new Shuffle.Descriptor(NAME, "index", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            1,
            snapshot -> summary.updateHolders(snapshot, sim.now()));
  }

  /** Who keeps these blocks, as far as the index knows. */
  Lookup.Response answer(long[] blocks) {
    return summary.answer(new Lookup.Query(1, blocks));
  }

  void told(StateUpdate update) {
    if (news.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      sim.whole(NAME, ((StateUpdate.ValuePush) update).key());
  }

  /** Asks the core for news and its holders for what they keep, and comes again. */
  void round() {
    StateUpdate.SubscriptionRequest a = news.subscriptionRequest();
    for (String c : sim.controlNames()) sim.ask(NAME, c, a);
    summary.tick(sim.now());
    for (Holder holder : summary.allHolders()) {
      SimReplica replica = sim.at(holder.replica.address().toString());
      if (replica == null
          || !replica.answers()
          || !replica.instance.equals(holder.replica.instance())) continue;
      holder.setListRequester(nr -> list(holder, replica, nr));
      if (!holder.contacted) {
        holder.contacted = true;
        summary.setCapacity(holder, replica.capacity(), sim.now());
        holder.feed.resync(sim.now());
      }
      holder.lastHeardMs = sim.now();
      String inc = replica.incarnation;
      long seq = replica.seq;
      sim.after(1 + sim.random.nextInt(20), () -> holder.feed.onPulse(inc, seq, sim.now()));
    }
    sim.after(400, this::round);
  }

  private void list(Holder holder, SimReplica replica, long nr) {
    sim.after(
        1 + sim.random.nextInt(30),
        () -> {
          if (!replica.answers() || sim.random.nextInt(10) == 0) {
            sim.after(300, () -> holder.feed.resync(sim.now()));
            return;
          }
          String inc = replica.incarnation;
          long seq = replica.seq;
          long[] blocks = replica.list();
          sim.after(
              1 + sim.random.nextInt(30),
              () -> holder.feed.onList(nr, BlockList.whole(inc, seq, blocks)));
        });
  }

  /** A replica tells a change of what it keeps; some are lost, come twice or late. */
  void cacheEvent(SimReplica replica, String inc, long seq, boolean store, long block) {
    CacheEvent event =
        store ? CacheEvent.store(inc, seq, block, 1) : CacheEvent.evict(inc, seq, block, 0);
    for (Holder holder : summary.allHolders()) {
      if (!holder.replica.instance().equals(replica.instance)
          || sim.random.nextDouble() < loseEvents) continue;
      int n = sim.random.nextDouble() < loseEvents ? 2 : 1;
      for (int i = 0; i < n; i++)
        sim.after(
            1
                + (sim.random.nextDouble() < delayEvents
                    ? sim.random.nextInt(400)
                    : sim.random.nextInt(2)),
            () -> holder.feed.onEvent(event, sim.now()));
    }
  }

  /** Once quiet, whatever a holder keeps is found, and next to nothing else. */
  void judge() {
    if (!summary.isWarm()) {
      sim.violation("the index is not warm");
      return;
    }
    int kept = 0, entries = summary.toJson(sim.now()).getInt("entries", -1);
    for (SimReplica replica : sim.replicas.values()) {
      boolean known =
          summary.allHolders().stream()
              .anyMatch(holder -> holder.replica.instance().equals(replica.instance));
      if (replica.model && !known && !replica.instance.equals("m9"))
        sim.violation("the index doesn't know " + replica.instance);
      if (!known) continue;
      for (long b : replica.list()) {
        kept++;
        boolean found =
            summary.answer(new Lookup.Query(1, new long[] {b})).matches().stream()
                .anyMatch(m -> m.holder().equals(replica.instance));
        if (!found) sim.violation("the index doesn't know a block of " + replica.instance);
      }
    }
    if (entries != kept)
      sim.violation("the index holds " + entries + " entries where holders keep " + kept);
  }
}

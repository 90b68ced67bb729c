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
 * The index as a data-plane process of the simulation: it learns of replicas from the core and
 * follows their cache events, some of which are lost, duplicated or late.
 */
final class SimIndex {
  static final String NAME = "index";

  private final RequestSimulation sim;
  private final FleetSummary summary = new FleetSummary(16);
  private final StateSubscription subscription;

  /**
   * Probability that a cache event is lost, and that one is duplicated; the next field is the
   * probability that one is late.
   */
  double eventLossRate;

  double eventDelayRate;

  SimIndex(RequestSimulation sim) {
    this.sim = sim;
    subscription =
        new StateSubscription(
            sim::nowMs,
            new Shuffle.Descriptor(NAME, "index", "1.1.1.1:1", "1.1.1.1:2", "z", 0, 0),
            1,
            snapshot -> summary.updateHolders(snapshot, sim.nowMs()));
  }

  /** Answers which replicas keep these blocks, as far as the index knows. */
  Lookup.Response answer(long[] blocks) {
    return summary.answer(new Lookup.Query(1, blocks));
  }

  void onUpdate(StateUpdate update) {
    if (subscription.apply(update) == ReplicatedStateView.UpdateResult.NEEDS_FULL_VALUE)
      sim.requestFullValue(NAME, ((StateUpdate.ValuePush) update).key());
  }

  /** Renews the subscription, polls the block holders, and schedules the next round. */
  void poll() {
    StateUpdate.SubscriptionRequest subscriptionRequest = subscription.subscriptionRequest();
    for (String control : sim.controlNames())
      sim.sendSubscriptionRequest(NAME, control, subscriptionRequest);
    summary.tick(sim.nowMs());
    for (Holder holder : summary.allHolders()) {
      SimReplica replica = sim.replicaAt(holder.replica.address().toString());
      if (replica == null
          || !replica.isAnswering()
          || !replica.instance.equals(holder.replica.instance())) continue;
      holder.setListRequester(requestNumber -> requestList(holder, replica, requestNumber));
      if (!holder.contacted) {
        holder.contacted = true;
        summary.setCapacity(holder, replica.capacity(), sim.nowMs());
        holder.feed.resync(sim.nowMs());
      }
      holder.lastHeardMs = sim.nowMs();
      String incarnation = replica.incarnation;
      long sequence = replica.sequence;
      sim.after(
          1 + sim.random.nextInt(20),
          () -> holder.feed.onPulse(incarnation, sequence, sim.nowMs()));
    }
    sim.after(400, this::poll);
  }

  private void requestList(Holder holder, SimReplica replica, long requestNumber) {
    sim.after(
        1 + sim.random.nextInt(30),
        () -> {
          if (!replica.isAnswering() || sim.random.nextInt(10) == 0) {
            sim.after(300, () -> holder.feed.resync(sim.nowMs()));
            return;
          }
          String incarnation = replica.incarnation;
          long sequence = replica.sequence;
          long[] blocks = replica.keptBlockIds();
          sim.after(
              1 + sim.random.nextInt(30),
              () ->
                  holder.feed.onList(
                      requestNumber, BlockList.whole(incarnation, sequence, blocks)));
        });
  }

  /** Receives a change of a replica's blocks; events may be lost, duplicated or late. */
  void cacheEvent(
      SimReplica replica, String incarnation, long sequence, boolean isStore, long block) {
    CacheEvent event =
        isStore
            ? CacheEvent.store(incarnation, sequence, block, 1)
            : CacheEvent.evict(incarnation, sequence, block, 0);
    for (Holder holder : summary.allHolders()) {
      if (!holder.replica.instance().equals(replica.instance)
          || sim.random.nextDouble() < eventLossRate) continue;
      int copies = sim.random.nextDouble() < eventLossRate ? 2 : 1;
      for (int i = 0; i < copies; i++)
        sim.after(
            1
                + (sim.random.nextDouble() < eventDelayRate
                    ? sim.random.nextInt(400)
                    : sim.random.nextInt(2)),
            () -> holder.feed.onEvent(event, sim.nowMs()));
    }
  }

  /**
   * Checks, once no more events are in flight, that the index has exactly the entries that holders
   * keep.
   */
  void checkEntries() {
    if (!summary.isWarm()) {
      sim.violation("the index is not warm");
      return;
    }
    int keptCount = 0, entryCount = summary.toJson(sim.nowMs()).getInt("entries", -1);
    for (SimReplica replica : sim.replicas.values()) {
      boolean known =
          summary.allHolders().stream()
              .anyMatch(holder -> holder.replica.instance().equals(replica.instance));
      if (replica.isModel && !known && !replica.instance.equals("m9"))
        sim.violation("the index doesn't know " + replica.instance);
      if (!known) continue;
      for (long block : replica.keptBlockIds()) {
        keptCount++;
        boolean found =
            summary.answer(new Lookup.Query(1, new long[] {block})).matches().stream()
                .anyMatch(match -> match.holder().equals(replica.instance));
        if (!found) sim.violation("the index doesn't know a block of " + replica.instance);
      }
    }
    if (entryCount != keptCount)
      sim.violation("the index holds " + entryCount + " entries where holders keep " + keptCount);
  }
}

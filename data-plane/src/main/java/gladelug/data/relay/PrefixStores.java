package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;
import gladelug.data.state.ControlStateSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The configured stores of cached prefixes, and the decision what is saved to them. A store is a
 * holder like a replica; what it is reported to hold is only a hint. Confined to the request
 * thread.
 */
final class PrefixStores {
  private final IntSupplier relayCount;
  private Map<String, PrefixStore> stores = Map.of();

  PrefixStores(IntSupplier relayCount) {
    this.relayCount = relayCount;
  }

  /**
   * Applies the stores of a new configuration; stores that remain keep the state of their links.
   */
  void applySnapshot(ControlStateSnapshot snapshot, long nowMs) {
    Map<String, PrefixStore> next = new HashMap<>();
    for (Configuration.Service service : snapshot.configuration().services) {
      if (service.storeAddress() == null) continue;
      PrefixStore previous = stores.get(service.name());
      StoreLink link = previous == null ? new StoreLink(relayCount, nowMs) : previous.link();
      next.put(service.name(), new PrefixStore(service, link));
    }
    stores = next;
  }

  /** Returns the store of this name, or null. */
  PrefixStore find(String holder) {
    return stores.get(holder);
  }

  /**
   * Returns the store to which the chosen replica should save the prompt, or null: one that holds
   * less than the shared blocks of the request, from which pulling is faster than computing, with
   * the shortest transfer time.
   */
  PrefixStore chooseSaveTarget(Request request, ReplicaOption chosen, long nowMs) {
    int sharedUnits = ReplicaCosts.sharedUnits(request);
    if (stores.isEmpty() || chosen.computeUnits() < sharedUnits) return null;
    PrefixStore best = null;
    for (PrefixStore store : stores.values())
      if (keptUnits(request, store) < sharedUnits
          && store.isWorthSaving(chosen.backend(), sharedUnits, request.promptUnits(), nowMs)
          && (best == null
              || store.transferMsPerUnit(chosen.backend())
                  < best.transferMsPerUnit(chosen.backend()))) best = store;
    return best;
  }

  private static int keptUnits(Request request, PrefixStore store) {
    int kept = 0;
    for (Lookup.Match match : request.matches)
      if (match.holder().equals(store.name()))
        kept = Math.max(kept, ReplicaCosts.keptUnits(request, match));
    return kept;
  }
}

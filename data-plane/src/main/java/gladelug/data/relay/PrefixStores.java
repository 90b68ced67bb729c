package gladelug.data.relay;

import gladelug.common.configuration.Configuration;
import gladelug.common.message.Lookup;
import gladelug.data.request.Request;
import gladelug.data.state.ControlStateSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The stores of kept prompts that the configuration names, and the one decision of what is saved to
 * them. A store is a holder like a replica; what it is said to keep is a hint. Confined to the
 * request thread.
 */
final class PrefixStores {
  private final IntSupplier relayCount;
  private Map<String, PrefixStore> stores = Map.of();

  PrefixStores(IntSupplier relays) {
    this.relayCount = relays;
  }

  /** Those of a new configuration; the share of a link that stays goes on as it was. */
  void applySnapshot(ControlStateSnapshot snapshot, long now) {
    Map<String, PrefixStore> next = new HashMap<>();
    for (Configuration.Service service : snapshot.configuration().services) {
      if (service.storeAddress() == null) continue;
      PrefixStore old = stores.get(service.name());
      StoreLink link = old == null ? new StoreLink(relayCount, now) : old.link();
      next.put(service.name(), new PrefixStore(service, link));
    }
    stores = next;
  }

  /** The store of this name, or null. */
  PrefixStore find(String holder) {
    return stores.get(holder);
  }

  /**
   * To which store the chosen replica is to save the prompt, or null: one that keeps less of its
   * shared blocks than the request has, from which the next caller pulls sooner than it computes,
   * with the least time on its link.
   */
  PrefixStore chooseSaveTarget(Request request, ReplicaOption chosen, long now) {
    int shared = ReplicaCosts.sharedUnits(request);
    if (stores.isEmpty() || chosen.computeUnits() < shared) return null;
    PrefixStore best = null;
    for (PrefixStore store : stores.values())
      if (keptUnits(request, store) < shared
          && store.isWorthSaving(chosen.backend(), shared, request.promptUnits(), now)
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

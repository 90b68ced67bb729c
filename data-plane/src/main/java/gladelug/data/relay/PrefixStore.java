package gladelug.data.relay;

import gladelug.common.configuration.Configuration;

/**
 * A store of cached prefixes as seen by a relay: its address, the transfer time per unit, and this
 * relay's share of its link. Confined to the request thread.
 */
final class PrefixStore {
  /** Factor of the transfer time to another zone. */
  private static final double OTHER_ZONE_FACTOR = 2;

  /** Minimum time that a save has to save the next request for the same prefix, in ms. */
  private static final double MIN_SAVED_MS = 10;

  private final Configuration.Service service;
  private final StoreLink link;

  PrefixStore(Configuration.Service service, StoreLink link) {
    this.service = service;
    this.link = link;
  }

  String name() {
    return service.name();
  }

  String zone() {
    return service.zone();
  }

  StoreLink link() {
    return link;
  }

  /**
   * Returns the link time to move one unit between the store and a replica, in ms; negative if
   * unknown.
   */
  double transferMsPerUnit(Backend backend) {
    double mbps = service.engine().linkMbps();
    if (mbps <= 0 || backend.tokenBytes() <= 0) return -1;
    double ms = backend.tokenBytes() * 8.0 / (mbps * 1000);
    return service.zone().equals(backend.replica.zone()) ? ms : ms * OTHER_ZONE_FACTOR;
  }

  /**
   * Returns whether a replica should save the prefix it is about to compute: the next request gains
   * enough time by pulling it, and the link has time left.
   *
   * @param sharedUnits units of the prompt that other requests may have in common
   * @param totalUnits units that a save transfers
   */
  boolean isWorthSaving(Backend backend, int sharedUnits, int totalUnits, long nowMs) {
    double msPerUnit = transferMsPerUnit(backend);
    if (msPerUnit < 0 || sharedUnits * (backend.computeMsPerUnit - msPerUnit) < MIN_SAVED_MS)
      return false;
    return link.maySave(totalUnits * msPerUnit, nowMs);
  }
}

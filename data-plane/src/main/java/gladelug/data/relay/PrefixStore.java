package gladelug.data.relay;

import gladelug.common.configuration.Configuration;

/**
 * A store of kept prompts as a relay sees it: where it stands, how long its link takes a unit, and
 * this relay's share of that link. Confined to the request thread.
 */
final class PrefixStore {
  /** Another zone's link takes twice as long. */
  private static final double OTHER_ZONE_FACTOR = 2;

  /** What a save has to spare the next caller who asks for the same, in ms. */
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

  /** Ms that moving a unit between it and a replica takes its link; negative where not known. */
  double transferMsPerUnit(Backend backend) {
    double mbps = service.engine().linkMbps();
    if (mbps <= 0 || backend.tokenBytes() <= 0) return -1;
    double ms = backend.tokenBytes() * 8.0 / (mbps * 1000);
    return service.zone().equals(backend.replica.zone()) ? ms : ms * OTHER_ZONE_FACTOR;
  }

  /**
   * Whether a replica should save what it is about to compute: the next caller is spared some time
   * by pulling it, and there is time left on the link.
   *
   * @param shared units of the prompt that other requests may ask for
   * @param all units that a save moves
   */
  boolean isWorthSaving(Backend backend, int shared, int all, long now) {
    double unit = transferMsPerUnit(backend);
    if (unit < 0 || shared * (backend.computeMsPerUnit - unit) < MIN_SAVED_MS) return false;
    return link.maySave(all * unit, now);
  }
}

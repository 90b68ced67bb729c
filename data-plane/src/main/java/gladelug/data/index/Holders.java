package gladelug.data.index;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.data.state.ControlStateSnapshot;
import java.util.ArrayList;
import java.util.List;

/** Selects the holders that the index follows; performs no I/O. */
public final class Holders {
  /**
   * A holder to be followed.
   *
   * @param replica its instance, service and address
   * @param capacityBlocks maximum number of blocks it can keep, from the configuration; 0 = the
   *     holder is asked
   */
  public record Listed(Replica replica, long capacityBlocks) {}

  private Holders() {}

  /**
   * Returns the replicas on the platform's list whose service keeps blocks and allows their
   * address, in the list's order, followed by the stores of the configuration.
   */
  public static List<Listed> of(ControlStateSnapshot snapshot) {
    List<Listed> holders = new ArrayList<>();
    for (Replica replica : snapshot.replicas().all) {
      Configuration.Service service = snapshot.configuration().service(replica.service());
      if (service == null
          || service.kind() == Configuration.Kind.APPLICATION
          || !service.allows(replica.address())) continue;
      holders.add(new Listed(replica, 0));
    }
    for (Configuration.Service service : snapshot.configuration().services)
      if (service.storeAddress() != null) holders.add(new Listed(storeAsHolder(service), 0));
    return holders;
  }

  /** Returns a store as a holder: it is on no list, and its instance is the name of its service. */
  public static Replica storeAsHolder(Configuration.Service service) {
    return new Replica(
        service.name(), service.name(), service.storeAddress(), service.zone(), true);
  }

  /** Returns whether a holder is a store. */
  public static boolean isStore(Replica holder) {
    return holder.instance().equals(holder.service());
  }
}

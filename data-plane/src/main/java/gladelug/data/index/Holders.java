package gladelug.data.index;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.data.state.ControlStateSnapshot;
import java.util.ArrayList;
import java.util.List;

/** Who is a holder: the one decision of whom the index follows, pure. */
public final class Holders {
  /**
   * One that is to be followed.
   *
   * @param replica its instance, service and address
   * @param capacityBlocks the most blocks it can keep, from the configuration; 0 = the holder is
   *     asked
   */
  public record Listed(Replica replica, long capacityBlocks) {}

  private Holders() {}

  /**
   * Those of the platform's list whose service keeps blocks and allows their address, in the list's
   * order, then the stores of the configuration.
   */
  public static List<Listed> of(ControlStateSnapshot snapshot) {
    List<Listed> out = new ArrayList<>();
    for (Replica r : snapshot.replicas().all) {
      Configuration.Service s = snapshot.configuration().service(r.service());
      if (s == null || s.kind() == Configuration.Kind.APPLICATION || !s.allows(r.address()))
        continue;
      out.add(new Listed(r, 0));
    }
    for (Configuration.Service s : snapshot.configuration().services)
      if (s.storeAddress() != null) out.add(new Listed(storeAsHolder(s), 0));
    return out;
  }

  /** A store as a holder: it stands on no list, and its instance is its service's name. */
  public static Replica storeAsHolder(Configuration.Service service) {
    return new Replica(
        service.name(), service.name(), service.storeAddress(), service.zone(), true);
  }

  /** Whether a holder is a store. */
  public static boolean isStore(Replica holder) {
    return holder.instance().equals(holder.service());
  }
}

package gladelug.control.instances;

import gladelug.common.Finding;
import gladelug.common.Result;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.control.core.message.ChangeResult;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * One poll of the platform's list. The stored list is read before the platform is queried, and a
 * changed list is proposed on that stored number. A list that arrives late, perhaps at a former
 * owner of the key, therefore never replaces a newer one. Stateless.
 */
final class InstanceListPoll {
  /**
   * A stored list.
   *
   * @param number the number of the stored value; 0 if no list is stored
   * @param list the list as JSON, as stored
   */
  record StoredList(long number, byte[] list) {
    boolean exists() {
      return number > 0;
    }
  }

  /** The store of lists. */
  interface Store {
    /** Proposes a list, JSON, to replace the one stored under this number. */
    Uni<ChangeResult> propose(long baseNumber, byte[] list);

    /** Called before a list that differs from the stored one is proposed. */
    void onListChanged(StoredList base, Replicas list);
  }

  private InstanceListPoll() {}

  /**
   * Queries the source and proposes its list if it has changed.
   *
   * @param base the list that was stored before the source is queried
   * @return the result of the proposal; empty if there was nothing to propose, findings if the list
   *     is invalid
   */
  static Uni<Result<Optional<ChangeResult>>> poll(
      StoredList base, Store store, Supplier<Uni<Result<Replicas>>> source) {
    return source.get().flatMap(answer -> onPolled(store, base, answer));
  }

  private static Uni<Result<Optional<ChangeResult>>> onPolled(
      Store store, StoredList base, Result<Replicas> answer) {
    if (answer instanceof Result.Good<Replicas> good)
      return proposeIfChanged(store, base, good.value()).map(Result::good);
    List<Finding> findings = ((Result.Bad<Replicas>) answer).findings();
    return Uni.createFrom().item(new Result.Bad<>(findings));
  }

  private static Uni<Optional<ChangeResult>> proposeIfChanged(
      Store store, StoredList base, Replicas list) {
    byte[] json = list.toJson().getBytes(StandardCharsets.UTF_8);
    if (base.exists() && Arrays.equals(base.list, json))
      return Uni.createFrom().item(Optional.empty());
    if (base.exists()) store.onListChanged(base, list);
    return store.propose(base.number, json).map(Optional::of);
  }

  /**
   * Returns the stored list without the replicas that the polled list no longer contains, and with
   * those unready that it shows as unready. Such a list may still be proposed after another owner
   * may have stored a newer one, because it only removes targets (rule DRAIN: replicas that the
   * platform drains get no new requests).
   *
   * @return the list as JSON, as it would be stored
   */
  static byte[] retainListed(byte[] stored, Replicas polled) {
    List<Replica> retained = new ArrayList<>();
    for (Replica replica : parseStored(stored)) {
      Replica polledReplica = polled.find(replica.instance());
      if (polledReplica != null && isSameEndpoint(replica, polledReplica))
        retained.add(withReadiness(replica, replica.ready() && polledReplica.ready()));
    }
    return new Replicas(retained).toJson().getBytes(StandardCharsets.UTF_8);
  }

  private static List<Replica> parseStored(byte[] stored) {
    Result<Replicas> parsed = Replicas.parse(new String(stored, StandardCharsets.UTF_8));
    return parsed instanceof Result.Good<Replicas> good ? good.value().all : List.of();
  }

  private static boolean isSameEndpoint(Replica one, Replica other) {
    return one.address().equals(other.address()) && one.service().equals(other.service());
  }

  private static Replica withReadiness(Replica replica, boolean ready) {
    return new Replica(
        replica.service(), replica.instance(), replica.address(), replica.zone(), ready);
  }
}

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
 * One poll of the platform's list: the stored list is read before the platform is asked, and what
 * its answer leads to is proposed on that number. A list that comes late, perhaps to a former owner
 * of the key, can then never be put on top of a newer one. Without state.
 */
final class InstanceListPoll {
  /**
   * A list as it is stored.
   *
   * @param number its version; 0 where no list is stored
   * @param list JSON, as stored
   */
  record StoredList(long number, byte[] list) {
    boolean exists() {
      return number > 0;
    }
  }

  /** Where lists are stored. */
  interface Store {
    /** Proposes a list on top of that number. */
    Uni<ChangeResult> propose(long number, byte[] list);

    /** A list that differs from the one stored under this number is about to be proposed. */
    void onListChanged(StoredList base, Replicas list);
  }

  private InstanceListPoll() {}

  /**
   * Asks the source and proposes what is new.
   *
   * @param base what was stored before the source is asked
   * @return what became of the proposal; empty where there was nothing to propose, findings where
   *     the list makes no sense
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
   * The stored list less what the platform took away: the part of a list that may still be offered
   * when the owner may have polled a newer one, because it can send a request to nobody that the
   * newer one would not (rule DRAIN).
   *
   * @return JSON, as it would be stored
   */
  static byte[] retainListed(byte[] stored, Replicas polled) {
    List<Replica> remaining = new ArrayList<>();
    for (Replica replica : parse(stored)) {
      Replica latest = polled.find(replica.instance());
      if (latest != null && isSameEndpoint(replica, latest))
        remaining.add(withReadiness(replica, replica.ready() && latest.ready()));
    }
    return new Replicas(remaining).toJson().getBytes(StandardCharsets.UTF_8);
  }

  private static List<Replica> parse(byte[] stored) {
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

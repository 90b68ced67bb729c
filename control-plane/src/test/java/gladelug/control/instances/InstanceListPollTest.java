package gladelug.control.instances;

import static gladelug.control.instances.InstanceListPoll.retainListed;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.configuration.Replicas;
import gladelug.control.core.message.ChangeResult;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of InstanceListPoll. */
final class InstanceListPollTest {
  private static Replicas list(String... states) {
    List<Replicas.Replica> replicas = new ArrayList<>();
    for (String state : states)
      replicas.add(
          new Replicas.Replica(
              "m",
              state.substring(0, 1),
              Address.of("1.1.1.1:" + (int) state.charAt(0)),
              "z",
              state.endsWith("+")));
    return new Replicas(replicas);
  }

  @Test
  void whatIsOfferedAgainOnlyTakesAway() {
    byte[] kept = list("a+", "b+", "c-", "d+").toJson().getBytes(StandardCharsets.UTF_8);
    Assertions.assertEquals(
        list("a+", "b-", "c-").toJson(),
        new String(retainListed(kept, list("a+", "b-", "c+", "e+")), StandardCharsets.UTF_8));
  }

  /** What is kept of lists, and the number it has. */
  private static final class Store implements InstanceListPoll.Store {
    private long number;
    private String storedJson;

    Store(long number, Replicas list) {
      this.number = number;
      this.storedJson = list.toJson();
    }

    InstanceListPoll.StoredList storedList() {
      return new InstanceListPoll.StoredList(number, storedJson.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public Uni<ChangeResult> propose(long base, byte[] list) {
      if (base != number) return Uni.createFrom().item(new ChangeResult.Conflict(number));
      storedJson = new String(list, StandardCharsets.UTF_8);
      return Uni.createFrom().item(new ChangeResult.Acknowledged(++number, false, 0, 0, 0));
    }

    @Override
    public void onListChanged(InstanceListPoll.StoredList base, Replicas list) {}
  }

  @Test
  void aListThatComesLateIsNotPutOnTopOfANewerOne() {
    Store store = new Store(3, list("a+", "b+"));
    CompletableFuture<Result<Replicas>> late = new CompletableFuture<>();
    AtomicReference<Result<Optional<ChangeResult>>> outcome = new AtomicReference<>();
    InstanceListPoll.poll(store.storedList(), store, () -> Uni.createFrom().completionStage(late))
        .subscribe()
        .with(outcome::set);
    // meanwhile another owner heard that b drains
    InstanceListPoll.poll(
            store.storedList(), store, () -> Uni.createFrom().item(Result.good(list("a+", "b-"))))
        .subscribe()
        .with(ignored -> {});
    late.complete(Result.good(list("a+", "b+", "c+")));
    Assertions.assertEquals(Result.good(Optional.of(new ChangeResult.Conflict(4))), outcome.get());
    Assertions.assertEquals(list("a+", "b-").toJson(), store.storedJson);
  }

  @Test
  void aListAsKeptAndOneThatMakesNoSenseProposeNothing() {
    Store store = new Store(3, list("a+"));
    List<Result<Optional<ChangeResult>>> outcomes = new ArrayList<>();
    Result<Replicas> senseless = Result.bad("Instances", "is not a list");
    for (Result<Replicas> answer : List.of(Result.good(list("a+")), senseless))
      InstanceListPoll.poll(store.storedList(), store, () -> Uni.createFrom().item(answer))
          .subscribe()
          .with(outcomes::add);
    Assertions.assertEquals(Result.good(Optional.empty()), outcomes.get(0));
    Assertions.assertInstanceOf(Result.Bad.class, outcomes.get(1));
    Assertions.assertEquals(3, store.number);
  }
}

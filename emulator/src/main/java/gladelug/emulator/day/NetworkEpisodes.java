package gladelug.emulator.day;

import gladelug.emulator.Fleet;
import gladelug.emulator.LinkProxy;
import gladelug.emulator.StandInPlatform;
import gladelug.emulator.StandInReplica;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Faults of the network, of addresses and of the platform's replica list: partitions of machines
 * and groups in one or both directions, slow links, broken connections, a platform that answers
 * malformed lists or nothing, and addresses reassigned to other services.
 */
final class NetworkEpisodes {
  private static final String LAST_REPLICA = "replica-8";
  private static final long SLOW_LINK_MS = 40;
  private static final int EXTRA_ROUTES = 2000;
  private static final int FLAP_COUNT = 6;

  private final DayFleet machines;
  private final DayOperator operator;
  private final Fleet fleet;
  private final LinkProxy links;
  private String killedMember;
  private StandInReplica otherServiceReplica;

  NetworkEpisodes(DayFleet machines, DayOperator operator) {
    this.machines = machines;
    this.operator = operator;
    this.fleet = machines.fleet;
    this.links = fleet.links;
  }

  List<Episode> episodes() {
    List<Episode> episodes = new ArrayList<>(partitionEpisodes());
    episodes.addAll(platformAndAddressEpisodes());
    episodes.addAll(deploymentSpecificEpisodes());
    return episodes;
  }

  private void healAndSend() {
    links.heal();
    operator.sendUntilConfirmed();
  }

  private List<Episode> partitionEpisodes() {
    return List.of(
        Episode.of(
            "the owner of the configuration and two relays are partitioned from the rest of the fleet",
            this::cutOffOwnerWithTwoRelays,
            this::healAndSend),
        Episode.of(
            "a relay's machine is cut off from the core while a key is revoked",
            this::cutOffRelayAndRevoke,
            () -> {
              links.heal();
              operator.revokedTenants = List.of();
              operator.sendUntilConfirmed();
            }),
        Episode.of(
            "a relay receives nothing from the core, while the core receives from it",
            () -> {
              for (String member : machines.coreMachines())
                links.cutOneWay(member, Fleet.edgeMachine(4));
              operator.send();
            },
            this::healAndSend),
        Episode.of(
            "a relay is cut off from a replica, and another relay receives nothing from a replica",
            () -> {
              links.cut(Fleet.edgeMachine(1), "replica-2");
              links.cutOneWay("replica-3", Fleet.edgeMachine(2));
            },
            links::heal),
        Episode.of(
            "the platform is cut off from the core",
            () -> links.cutBetween(Set.of("platform"), machines.coreMachines()),
            this::healAndSend),
        Episode.of(
            "links between core machines are slow, and connections between two of them break",
            this::slowCore,
            this::healAndSend),
        Episode.of("a whole zone is killed at once", this::killZone, this::restartZone));
  }

  private List<Episode> platformAndAddressEpisodes() {
    return List.of(
        Episode.of(
            "the platform sends a malformed list, flaps a replica and stops answering",
            this::disturbPlatform,
            () -> fleet.platform.silent = false),
        Episode.of(
            "a running replica is removed from the list",
            () -> fleet.platform.unlist(LAST_REPLICA),
            () -> list(fleet.replicas.get(LAST_REPLICA), true)),
        Episode.of(
            "an address is reassigned to a replica of another service",
            this::reassignAddress,
            () -> {
              otherServiceReplica.kill();
              fleet.replicas.get(LAST_REPLICA).start();
            }),
        Episode.of(
            "a path is removed, a tenant is isolated, an address is no longer allowed",
            () -> {
              operator.lastPathRemoved = true;
              operator.firstReplicaForbidden = true;
              operator.isolatedTenants = List.of(fleet.deployment.tenants().get(2).name());
              operator.send();
            },
            () -> {
              operator.lastPathRemoved = false;
              operator.firstReplicaForbidden = false;
              operator.isolatedTenants = List.of();
              operator.sendUntilConfirmed();
            }));
  }

  private List<Episode> deploymentSpecificEpisodes() {
    if (!fleet.deployment.name().equals("moka-ridge")) {
      return List.of(
          Episode.of(
              "the configuration grows by 2000 routes during a partition",
              this::growWhilePartitioned,
              this::healAndSend));
    }
    return List.of(
        Episode.of(
            "a single core machine is isolated from the network",
            this::cutOffMember,
            this::healAndSend),
        Episode.of(
            "a single edge machine is isolated from the network",
            this::cutOffEdge,
            this::healAndSend));
  }

  private void cutOffOwnerWithTwoRelays() {
    String owner = machines.ownerOf(DayFleet.CONFIGURATION_KEY);
    Set<String> side =
        new LinkedHashSet<>(List.of(owner, Fleet.edgeMachine(1), Fleet.edgeMachine(2)));
    Set<String> others = machines.membersAndEdges();
    others.removeAll(side);
    links.cutBetween(side, others);
  }

  private void cutOffRelayAndRevoke() {
    links.cutBetween(Set.of(Fleet.edgeMachine(3)), machines.coreMachines());
    operator.revokedTenants = List.of(fleet.deployment.tenants().get(0).name());
    operator.moveApplication();
    operator.send();
  }

  private void slowCore() {
    List<String> members = machines.members();
    for (String from : members) {
      for (String to : members) {
        if (!from.equals(to)) links.addDelay(from, to, SLOW_LINK_MS);
      }
    }
    links.breakConnections(members.get(0), members.get(1));
    links.breakConnections(members.get(1), members.get(0));
    operator.send();
  }

  private void killZone() {
    killedMember = machines.members().get(1);
    machines.kill(killedMember, "relay-1", "index-1");
    fleet.replicas.get("replica-1").kill();
  }

  private void restartZone() throws Exception {
    fleet.replicas.get("replica-1").start();
    machines.restart(killedMember, "relay-1", "index-1");
  }

  private void list(StandInReplica replica, boolean ready) {
    fleet.platform.list(replica.service, replica.instance, replica.address(), "zone-a", ready);
  }

  private void disturbPlatform() {
    StandInPlatform platform = fleet.platform;
    platform.malformed = true;
    Fleet.pause(500);
    platform.malformed = false;
    StandInReplica replica = fleet.replicas.get(LAST_REPLICA);
    for (int i = 0; i < FLAP_COUNT; i++) {
      list(replica, i % 2 == 1);
      Fleet.pause(300);
    }
    platform.silent = true;
  }

  private void reassignAddress() {
    StandInReplica former = fleet.replicas.get(LAST_REPLICA);
    former.kill();
    StandInReplica.Model model =
        new StandInReplica.Model(
            StandInReplica.Kind.MODEL, "another-service", "another-1", 6, 1500, 4, 6, 0.3);
    otherServiceReplica =
        new StandInReplica(
            fleet.vertx,
            fleet.ledger,
            model,
            former.host,
            operator.currentWeights(),
            1,
            fleet.replicas::get);
    otherServiceReplica.port = former.port;
    otherServiceReplica.start();
  }

  private void growWhilePartitioned() {
    links.cutBetween(Set.of(Fleet.edgeMachine(2)), machines.coreMachines());
    operator.extraRoutes += EXTRA_ROUTES;
    operator.send();
  }

  private void cutOffMember() {
    String member = machines.randomMember();
    Set<String> others = machines.membersAndEdges();
    others.add("platform");
    links.cutBetween(Set.of(member), others);
    operator.send();
  }

  private void cutOffEdge() {
    Set<String> others = machines.membersAndEdges();
    others.addAll(fleet.replicas.keySet());
    links.cutBetween(Set.of(Fleet.edgeMachine(2)), others);
    operator.send();
  }
}

package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.common.message.WireRecord;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.QuorumConfig.AcknowledgementMode;
import gladelug.control.core.message.ChangeResult;
import gladelug.emulator.Ledger;
import gladelug.emulator.TraceDigest;
import gladelug.emulator.sim.RequestSimulation.InjectedEvent;
import gladelug.emulator.sim.RequestSimulation.RequestPoint;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that behaviour is unchanged: a different digest means that behaviour changed. A commit that
 * changes behaviour on purpose says so and gives the new digest. The digests cover the bytes of
 * every record sent with its time, sender and receiver, disk writes, requests and commands to
 * replicas, and the outcome of changes and requests, but no names of the code.
 */
final class TraceDigestTest {
  private static final int STEPS = 40;
  private static final int REQUEST_STEPS = 6;

  /** Adds all that is sent and written to a digest. */
  private record Recorder(TraceDigest trace) implements TrafficObserver {
    @Override
    public void sent(long atMs, String from, String to, WireRecord message) {
      trace.add(atMs).add(from).add(to).add(WireRecord.encode(message));
    }

    @Override
    public void sentText(long atMs, String from, String to, String text) {
      trace.add(atMs).add(from).add(to).add(text);
    }

    @Override
    public void written(long atMs, String machine, String entry, byte[] state) {
      trace.add(atMs).add(machine).add(entry).add(state);
    }
  }

  private static byte[] bytes(ChangeResult answer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      if (answer != null) answer.write(new DataOutputStream(bytes));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  // ---- control plane

  private static QuorumConfig fiveVoters() {
    return QuorumConfig.builder()
        .acknowledgementMode(AcknowledgementMode.CONTACT)
        .targetMembers(5)
        .replaceDeadAfterMs(2500)
        .changeTimeoutMs(3000)
        .commandLeaseMs(1000)
        .commandHandoverGapMs(2500)
        .build();
  }

  /** Returns the digest of a simulation under seeded faults, changes, reads and new machines. */
  private static String runFaults(Simulation sim, long seed) {
    TraceDigest trace = new TraceDigest();
    sim.observer = new Recorder(trace);
    Random random = new Random(seed * 15_485_863);
    sim.lossRate = random.nextInt(3) * 0.03;
    sim.duplicateRate = random.nextInt(2) * 0.05;
    for (SimControlMachine control : sim.controls.values())
      control.setClockRate(1 + (random.nextDouble() - 0.5) * 0.01);
    for (SimRelay relay : sim.relays.values())
      relay.clockRate = 1 + (random.nextDouble() - 0.5) * 0.01;
    sim.run(4000);
    for (int i = 0; i < STEPS; i++) {
      injectFault(sim, random, "disk-" + seed + "-" + i);
      List<String> names = names(sim);
      sim.send(names.get(random.nextInt(names.size())), StateKeys.CONFIGURATION, -1);
      sim.read(names.get(random.nextInt(names.size())), StateKeys.CONFIGURATION);
      sim.run(random.nextInt(1500));
      if (random.nextBoolean()) repairAll(sim);
      sim.run(random.nextInt(4) == 0 ? 4000 : random.nextInt(800));
    }
    repairAll(sim);
    sim.lossRate = 0;
    sim.settle(12_000);
    addOutcome(sim, trace);
    return String.format(
        "%d changes done, generation %d, %d violations, %s",
        sim.acknowledgedCount(), sim.newestGeneration(), sim.violations.size(), trace.result());
  }

  private static List<String> names(Simulation sim) {
    return sim.controlNames().stream().filter(name -> !sim.departed.contains(name)).toList();
  }

  private static void injectFault(Simulation sim, Random random, String newDisk) {
    List<String> names = names(sim);
    String name = names.get(random.nextInt(names.size()));
    String other = names.get(random.nextInt(names.size()));
    String relay = "r" + (1 + random.nextInt(sim.relays.size()));
    SimControlMachine control = sim.controls.get(name);
    switch (random.nextInt(16)) {
      case 0 -> control.kill();
      case 1 -> control.cutPower();
      case 2 -> sim.cutOff(name);
      case 3 -> sim.cutLink(name, other);
      case 4 -> control.pause();
      case 5 -> control.storage.stalled = true;
      case 6 -> sim.cutOff(relay);
      case 7 -> {
        sim.relays.get(relay).kill();
        sim.relays.get(relay).start();
      }
      case 8 -> sim.controls.values().forEach(SimControlMachine::cutPower);
      case 9 -> sim.split(Set.of(name, relay));
      case 10, 11 -> {
        if (sim.allMembersActive() && sim.mayLose(name)) {
          sim.onDiskLost(name);
          control.replaceDisk(newDisk);
          control.start();
        }
      }
      case 12 -> {
        if (sim.allMembersActive()) sim.replaceMember(name, "c" + (sim.controls.size() + 1));
      }
      case 13 -> {
        if (sim.allMembersActive() && names.size() > 3 && sim.mayLose(name))
          sim.removeForGood(name);
      }
      case 14 -> {
        if (control.up) control.terminate();
      }
      default -> sim.send(other, StateKeys.REPLICAS, -1);
    }
  }

  private static void repairAll(Simulation sim) {
    sim.healAll();
    for (SimControlMachine control : sim.controls.values()) {
      if (sim.departed.contains(control.name)) continue;
      control.storage.stalled = false;
      if (!control.up) control.start();
      else {
        control.storage.startWrite(sim, control);
        if (control.paused) control.resume();
      }
    }
  }

  private static void addOutcome(Simulation sim, TraceDigest trace) {
    for (Simulation.SentChange sent : sim.sentChanges)
      trace
          .add(sent.valueNumber())
          .add(sent.key())
          .add(sent.sentAtMs())
          .add(bytes(sent.answer()[0]));
    trace.add(sim.readCount);
    for (SimRelay relay : sim.relays.values()) trace.add(relay.startCount).add(relay.refusedCount);
  }

  @Test
  void threeMachinesUnderFaultsSendAndWriteTheSameAsBefore() {
    Assertions.assertEquals(
        "22 changes done, generation 5, 0 violations, 108683 "
            + "81cc12dada70cc9189e62ad5ef77c521a61fbff5c1c5836c54aa2e4e64c2057b",
        runFaults(new Simulation(1, 3), 1));
  }

  @Test
  void threeMachinesOnHeldConnectionsSendAndWriteTheSameAsBefore() {
    Simulation sim = new Simulation(2, 3);
    sim.usesConnections = true;
    Assertions.assertEquals(
        "22 changes done, generation 2, 0 violations, 79271 "
            + "43e2672592c2261c056ec647e1f482b1230ae0011a4139dc7342542c634f716e",
        runFaults(sim, 2));
  }

  @Test
  void aFleetThatGrowsToFiveVotersSendsAndWritesTheSameAsBefore() {
    Assertions.assertEquals(
        "30 changes done, generation 10, 0 violations, 410667 "
            + "8d88c4d1c2cdaf0f87e65eed7d060d877d211616ab72eda177f310e596afabdb",
        runFaults(new Simulation(3, 3, 7, 3, fiveVoters()), 3));
  }

  @Test
  void aFleetThatGrowsFromOneMachineSendsAndWritesTheSameAsBefore() {
    Assertions.assertEquals(
        "30 changes done, generation 16, 0 violations, 281081 "
            + "2bfcbc6d0c61323a35361f228b3308cef109edb5e5212feeabeb4ddc8467f0ca",
        runFaults(new Simulation(4, 2, 6, 1, fiveVoters()), 4));
  }

  // ---- requests

  /** Returns the digest of a simulation with a held request and seeded faults. */
  private static String runRequests(long seed, InjectedEvent happening, RequestPoint point) {
    Logger.getLogger("").setLevel(Level.OFF);
    TraceDigest trace = new TraceDigest();
    RequestSimulation sim = new RequestSimulation(seed);
    sim.observer = new Recorder(trace);
    sim.arm(happening, point);
    for (SimControlMachine control : sim.controls.values())
      control.setClockRate(1 + (sim.random.nextDouble() - 0.5) * 0.01);
    for (RequestRelay relay : sim.requestRelays.values())
      relay.setClockRate(1 + (sim.random.nextDouble() - 0.5) * 0.01);
    sim.run(3500);
    sim.repairAll();
    for (int i = 0; i < REQUEST_STEPS; i++) {
      sim.injectRandomFault();
      sim.run(300 + sim.random.nextInt(1500));
      if (sim.random.nextBoolean()) sim.repairAll();
      sim.run(sim.random.nextInt(700));
    }
    sim.repairAll();
    sim.run(12_000);
    sim.requestsPerSecond = 0.001;
    sim.run(6000);
    sim.checkRules();
    new TreeMap<>(sim.ledger.calls).values().forEach(call -> add(trace, call));
    new TreeMap<>(sim.ledger.runs).values().forEach(runs -> runs.forEach(run -> add(trace, run)));
    trace.add(sim.heldAtMs);
    return String.format(
        "%d of %d requests complete, %d violations, %s",
        sim.completeCount(), sim.ledger.calls.size(), sim.violations.size(), trace.result());
  }

  private static void add(TraceDigest trace, Ledger.Call call) {
    trace.add(call.tag).add(call.tenant).add(call.relay).add(call.sentMs).add(call.order);
    trace.add(call.status).add(call.pieces).add(call.foreign).add(call.misordered);
    trace.add(call.explicitEnd).add(call.firstPieceMs).add(call.doneMs);
  }

  private static void add(TraceDigest trace, Ledger.Run run) {
    trace.add(run.tag).add(run.order).add(run.service).add(run.instance).add(run.weights);
    trace.add(run.wall).add(run.attempt).add(run.atMs).add(run.ran).add(run.pieces).add(run.ended);
    trace.add(run.closedEarly).add(run.blocks).add(run.reused);
  }

  @Test
  void requestsWhileTheConfigurationMovesAreSentAndAnsweredTheSameAsBefore() {
    Assertions.assertEquals(
        "969 of 1010 requests complete, 0 violations, 73019 "
            + "f21ad12fa9cd784d0dc6e326e5367d284e8df66262097de10ce1746853e92c6e",
        runRequests(11, InjectedEvent.CONFIGURATION_MOVES, RequestPoint.LOOKUP));
  }

  @Test
  void requestsWhileWeightsAreNamedAreSentAndAnsweredTheSameAsBefore() {
    Assertions.assertEquals(
        "863 of 882 requests complete, 0 violations, 63831 "
            + "2ab6c8359b39bcbe48a142efb83e47f235dbc6478ac47bea74522f0add5d8b50",
        runRequests(12, InjectedEvent.WEIGHTS_NAMED, RequestPoint.HANDED));
  }

  @Test
  void requestsWhileTheOwnerDiesAreSentAndAnsweredTheSameAsBefore() {
    Assertions.assertEquals(
        "930 of 986 requests complete, 0 violations, 64963 "
            + "c525d8d8d25f15aecf83ec62f2e124b4f3a9a090ff088c18f5c42f147fad7b85",
        runRequests(13, InjectedEvent.OWNER_DIES, RequestPoint.STREAM));
  }
}

package gladelug.emulator.soak;

import gladelug.emulator.soak.SoakLedger.Disturbance;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Plays one plan with real processes and judges the run, even if it is interrupted. All started
 * processes are killed at the end, also after a failure.
 */
public final class Soak implements AutoCloseable {
  /** The result of a run. */
  record Result(SoakPlan plan, SoakLedger ledger, List<Violation> violations, Path folder) {
    boolean clean() {
      return violations.isEmpty();
    }
  }

  /**
   * RecoveryS, the time to recover after the last event, and the following period in which recovery
   * is measured.
   */
  private static final int RECOVERY_MS = 12_000, RECOVERY_MEASUREMENT_MS = 6000;

  private static final int FIRST_CONFIGURATION_TIMEOUT_MS = 60_000;
  private static final int READ_BACK_TIMEOUT_MS = 12_000;
  private static final int MAX_CHANGE_DELAY_AFTER_END_MS = 10_000;
  private static final int SECOND_TERM_AFTER_MS = 1000;
  private static final int PROGRESS_INTERVAL_MS = 10_000;
  private static final int CLIENTS_PER_MACHINE = 4;
  private static final int BURST_REQUESTS = 120, LARGE_BODY_REQUESTS = 120;

  /** How long the platform goes on listing a crashed replica, at most. */
  private static final int LISTED_AFTER_CRASH_MAX_MS = 1500;

  private static final int PLATFORM_HOST_NUMBER = 100,
      STORE_HOST_NUMBER = 101,
      FIRST_REPLICA_HOST_NUMBER = 110;
  private static final int NETWORKS_PER_OCTET = 200;

  private final SoakPlan plan;
  private final Path folder;
  private final Consumer<String> printLine;
  private final SoakLedger ledger = new SoakLedger();
  private final List<SoakReplica> replicas = new ArrayList<>();
  private final SoakStore store;
  private final ReplicaListServer replicaList;
  private final SoakMachines machines;
  private final SoakOperator operator;
  private final ClientLoadBalancer loadBalancer;
  private final SoakClients clients;
  private final ExecutorService operatorExecutor =
      Executors.newSingleThreadExecutor(
          runnable -> {
            Thread thread = new Thread(runnable, "operator");
            thread.setDaemon(true);
            return thread;
          });
  private final ExecutorService faultExecutor = DaemonThreads.pool("fault");

  /** Has one party for this run and one for each background task. */
  private final Phaser pendingTasks = new Phaser(1);

  /**
   * The first failure of the soak test itself, as opposed to a broken rule; null if there is none.
   */
  private final AtomicReference<RuntimeException> failure = new AtomicReference<>();

  private Soak(SoakPlan plan, DeployCommands commands, Path folder, Consumer<String> printLine)
      throws IOException {
    this.plan = plan;
    this.folder = folder;
    this.printLine = printLine;
    String addressPrefix = ownNetwork();
    for (int number = 1; number <= plan.replicas(); number++)
      replicas.add(
          new SoakReplica(
              number, addressPrefix + (FIRST_REPLICA_HOST_NUMBER + number), ledger, this::cacheAt));
    store = new SoakStore(addressPrefix + STORE_HOST_NUMBER);
    replicaList = new ReplicaListServer(addressPrefix + PLATFORM_HOST_NUMBER, replicas);
    machines =
        new SoakMachines(
            commands, folder, plan.machines(), addressPrefix, replicaList.address(), ledger);
    operator =
        new SoakOperator(
            ledger, machines, ConfigurationModel.initial(store.address()), plan.seed());
    loadBalancer = new ClientLoadBalancer(ledger, machines);
    clients = new SoakClients(ledger, machines, loadBalancer, operator::configuration);
  }

  /**
   * Returns a loopback network derived from the process id, so that several soak tests can run in
   * parallel.
   */
  private static String ownNetwork() {
    long pid = ProcessHandle.current().pid();
    return "127."
        + (30 + pid % NETWORKS_PER_OCTET)
        + "."
        + (1 + pid / NETWORKS_PER_OCTET % NETWORKS_PER_OCTET)
        + ".";
  }

  /**
   * Plays a plan and judges it.
   *
   * @param folder receives logs, settings and data of the processes
   * @param printLine receives progress lines
   * @throws IOException if the stand-ins can't listen or a process can't be started
   */
  static Result play(
      SoakPlan plan, DeployCommands commands, Path folder, Consumer<String> printLine)
      throws IOException {
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("plan.json"), plan.toJson());
    try (Soak soak = new Soak(plan, commands, folder, printLine)) {
      Thread end = new Thread(soak::handleInterrupt, "end all processes");
      Runtime.getRuntime().addShutdownHook(end);
      soak.play();
      Runtime.getRuntime().removeShutdownHook(end);
      return soak.result();
    }
  }

  /**
   * Kills all processes and judges what was played so far; recovery after the events is not judged.
   */
  private void handleInterrupt() {
    ledger.recordInterruption(ledger.nowMs());
    close();
    try {
      printLine.accept(
          "interrupted; report on the run so far:\n" + SoakReport.write(result()).trim());
    } catch (IOException e) {
      printLine.accept("interrupted; the report cannot be written: " + e.getMessage());
    }
  }

  private Result result() {
    return new Result(plan, ledger, SoakJudge.judge(ledger, Set.of()), folder);
  }

  private PrefixCache cacheAt(String address) {
    if (address.equals(store.address())) return store.cache;
    for (SoakReplica replica : replicas)
      if (replica.address().equals(address)) return replica.cache;
    return null;
  }

  private void play() throws IOException {
    machines.startAll();
    loadBalancer.start();
    runInBackground(operatorExecutor, this::sendFirstConfiguration);
    clients.start(CLIENTS_PER_MACHINE * plan.machines(), plan.seed());
    long endMs = plan.seconds() * 1000L;
    for (SoakEvent event : plan.events()) {
      waitUntil(event.atMs());
      startEvent(event);
      endMs = Math.max(endMs, event.endMs());
    }
    waitUntil(endMs);
    pendingTasks.arriveAndAwaitAdvance();
    ledger.recordEndOfEvents(ledger.nowMs());
    waitUntil(ledger.nowMs() + RECOVERY_MS + RECOVERY_MEASUREMENT_MS);
    ledger.recordFinalConfiguration(operator.readBack(READ_BACK_TIMEOUT_MS));
    clients.stop();
    loadBalancer.stop();
    if (failure.get() != null) throw failure.get();
  }

  /** Runs a task in the background; the run waits for its end before it measures recovery. */
  private void runInBackground(ExecutorService executor, Runnable task) {
    pendingTasks.register();
    executor.execute(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            failure.compareAndSet(null, e);
          } finally {
            pendingTasks.arriveAndDeregister();
          }
        });
  }

  private void sendFirstConfiguration() {
    if (!operator.sendFirst(FIRST_CONFIGURATION_TIMEOUT_MS))
      printLine.accept("the first configuration was not acknowledged");
    machines.markFirstStartOver();
  }

  private void waitUntil(long atMs) {
    while (ledger.nowMs() < atMs) {
      long pauseMs =
          Math.min(
              atMs - ledger.nowMs(), PROGRESS_INTERVAL_MS - ledger.nowMs() % PROGRESS_INTERVAL_MS);
      DaemonThreads.pause(Math.max(1, pauseMs));
      if (ledger.nowMs() % PROGRESS_INTERVAL_MS < 50) printLine.accept(SoakReport.progress(ledger));
    }
  }

  private void startEvent(SoakEvent event) {
    EventKind kind = event.kind();
    switch (kind) {
      case ROUTES, ISOLATE, SWAP, TENANT, REVOKE, LIMITS, LARGE, INVALID, RACE, RESEND, WEIGHTS ->
          runInBackground(operatorExecutor, () -> performUnlessTooLate(event));
      case BURST -> clients.sendBurst(BURST_REQUESTS, RequestKind.ASK, plan.seed() + event.atMs());
      case LARGE_BODIES ->
          clients.sendBurst(LARGE_BODY_REQUESTS, RequestKind.UPLOAD, plan.seed() + event.atMs());
      case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_BUSY ->
          replicaList.faults.activate(kind, event.durationMs());
      case STORE_DOWN -> runInBackground(faultExecutor, () -> takeStoreDown(event));
      default -> runInBackground(faultExecutor, () -> disturb(event));
    }
  }

  /**
   * Performs a change unless it is overdue: changes queue up, and those due long after the planned
   * end are skipped.
   */
  private void performUnlessTooLate(SoakEvent event) {
    if (ledger.nowMs() < plan.seconds() * 1000L + MAX_CHANGE_DELAY_AFTER_END_MS)
      operator.perform(event);
  }

  private void takeStoreDown(SoakEvent event) {
    store.stop();
    DaemonThreads.pause(event.durationMs());
    try {
      store.start();
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen at the address of the store", e);
    }
  }

  private void disturb(SoakEvent event) {
    switch (event.kind().target) {
      case REPLICA -> disturbReplica(event, replicas.get(event.target() - 1));
      case RELAY -> disturbProcess(event, machines.relays.get(event.target() - 1));
      case MEMBER -> {
        if (event.kind() == EventKind.MACHINE_TERM)
          runInBackground(
              faultExecutor, () -> disturbProcess(event, machines.relays.get(event.target() - 1)));
        disturbProcess(event, machines.members.get(event.target() - 1));
      }
      default -> {
        for (SoakProcess member : machines.members)
          runInBackground(faultExecutor, () -> disturbProcess(event, member));
      }
    }
  }

  private void disturbReplica(SoakEvent event, SoakReplica replica) {
    long fromMs = ledger.nowMs();
    recordDisturbance(event, "replica-" + replica.number, fromMs, fromMs + event.durationMs());
    if (event.kind() != EventKind.REPLICA_CRASH) {
      replica.faults.activate(event.kind(), event.durationMs());
      return;
    }
    replica.crash();
    DaemonThreads.pause(Math.min(event.durationMs(), LISTED_AFTER_CRASH_MAX_MS));
    replica.unlist();
    DaemonThreads.pause(Math.max(0, event.durationMs() - LISTED_AFTER_CRASH_MAX_MS));
    try {
      replica.restart(operator.weightsRevision());
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen at the address of the replica", e);
    }
  }

  private void recordDisturbance(SoakEvent event, String process, long fromMs, long toMs) {
    ledger.recordDisturbance(new Disturbance(fromMs, toMs, event.kind(), process));
  }

  private void disturbProcess(SoakEvent event, SoakProcess process) {
    long fromMs = ledger.nowMs();
    try {
      switch (event.kind()) {
        case RELAY_HUP -> process.signal("HUP");
        case RELAY_FREEZE, MEMBER_FREEZE -> freezeForEvent(event, process);
        case RELAY_TERM, RELAY_TERMS, MEMBER_TERM, MACHINE_TERM -> {
          boolean twice = event.kind() == EventKind.RELAY_TERMS;
          process.terminate(SoakMachines.TERMINATION_GRACE_MS, twice ? SECOND_TERM_AFTER_MS : 0);
          machines.restart(process, false);
        }
        default -> killForEvent(event, process);
      }
    } catch (IOException e) {
      throw new IllegalStateException(event + " could not be performed", e);
    }
    recordDisturbance(event, process.name, fromMs, ledger.nowMs());
  }

  private static void freezeForEvent(SoakEvent event, SoakProcess process) throws IOException {
    process.signal("STOP");
    DaemonThreads.pause(event.durationMs());
    process.signal("CONT");
  }

  private void killForEvent(SoakEvent event, SoakProcess process) throws IOException {
    process.kill();
    boolean wipe = event.kind() == EventKind.MEMBER_WIPE;
    if (wipe) process.deleteData();
    DaemonThreads.pause(
        event.kind() == EventKind.CORE_KILL
            ? Math.min(900, event.durationMs())
            : event.durationMs());
    machines.restart(process, wipe);
  }

  @Override
  public void close() {
    clients.stop();
    loadBalancer.stop();
    machines.close();
    replicas.forEach(SoakReplica::close);
    replicaList.close();
    store.close();
  }
}

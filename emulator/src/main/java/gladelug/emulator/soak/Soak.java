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
 * Plays one plan with real processes and judges what was played, even if it is interrupted. All
 * processes are ended, by their ids, whatever happens.
 */
public final class Soak implements AutoCloseable {
  /** What a run found. */
  record Result(SoakPlan plan, SoakLedger ledger, List<Violation> violations, Path folder) {
    boolean clean() {
      return violations.isEmpty();
    }
  }

  /** RecoveryS after the last event, and the time in which recovery is judged. */
  private static final int RECOVERY_MS = 12_000, RECOVERY_MEASUREMENT_MS = 6000;

  private static final int FIRST_CONFIGURATION_TIMEOUT_MS = 60_000;
  private static final int READ_BACK_TIMEOUT_MS = 12_000;
  private static final int MAX_CHANGE_DELAY_AFTER_END_MS = 10_000;
  private static final int SECOND_TERM_AFTER_MS = 1000;
  private static final int PROGRESS_INTERVAL_MS = 10_000;
  private static final int CLIENTS_PER_MACHINE = 4;
  private static final int BURST_REQUESTS = 120, LARGE_BODY_REQUESTS = 120;

  /** The platform's list shows a replica that crashed for a while. */
  private static final int LISTED_AFTER_CRASH_MAX_MS = 1500;

  private static final int PLATFORM_HOST = 100, STORE_HOST = 101, REPLICA_HOST = 110;
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

  /** One party for this run, and one for each fault under way. */
  private final Phaser pendingTasks = new Phaser(1);

  /** What went wrong with the soak itself, not with what it judges. */
  private final AtomicReference<RuntimeException> failure = new AtomicReference<>();

  private Soak(SoakPlan plan, DeployCommands commands, Path folder, Consumer<String> printLine)
      throws IOException {
    this.plan = plan;
    this.folder = folder;
    this.printLine = printLine;
    String net = ownNetwork();
    for (int number = 1; number <= plan.replicas(); number++)
      replicas.add(new SoakReplica(number, net + (REPLICA_HOST + number), ledger, this::cacheAt));
    store = new SoakStore(net + STORE_HOST);
    replicaList = new ReplicaListServer(net + PLATFORM_HOST, replicas);
    machines =
        new SoakMachines(commands, folder, plan.machines(), net, replicaList.address(), ledger);
    operator =
        new SoakOperator(
            ledger, machines, ConfigurationModel.initial(store.address()), plan.seed());
    loadBalancer = new ClientLoadBalancer(ledger, machines);
    clients = new SoakClients(ledger, machines, loadBalancer, operator::configuration);
  }

  /** Loopback addresses of this process's own, so that several soaks can run beside each other. */
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
   * @param folder for logs, settings and data of the processes
   * @param printLine gets a progress line now and then
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

  /** Ends all processes and judges what was played; what comes after the events is not judged. */
  private void handleInterrupt() {
    ledger.recordInterruption(ledger.nowMs());
    close();
    try {
      printLine.accept(
          "interrupted; judged is what was played\n" + SoakReport.write(result()).trim());
    } catch (IOException e) {
      printLine.accept("interrupted; the report can't be written: " + e.getMessage());
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
      progressUntil(event.atMs());
      perform(event);
      endMs = Math.max(endMs, event.endMs());
    }
    progressUntil(endMs);
    pendingTasks.arriveAndAwaitAdvance();
    ledger.recordEndOfEvents(ledger.nowMs());
    progressUntil(ledger.nowMs() + RECOVERY_MS + RECOVERY_MEASUREMENT_MS);
    ledger.recordFinalConfiguration(operator.readBack(READ_BACK_TIMEOUT_MS));
    clients.stop();
    loadBalancer.stop();
    if (failure.get() != null) throw failure.get();
  }

  /** Does it beside the run, which waits for its end. */
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
      printLine.accept("the first configuration was not taken");
    machines.markFirstStartOver();
  }

  private void progressUntil(long atMs) {
    while (ledger.nowMs() < atMs) {
      long partMs =
          Math.min(
              atMs - ledger.nowMs(), PROGRESS_INTERVAL_MS - ledger.nowMs() % PROGRESS_INTERVAL_MS);
      DaemonThreads.pause(Math.max(1, partMs));
      if (ledger.nowMs() % PROGRESS_INTERVAL_MS < 50) printLine.accept(SoakReport.progress(ledger));
    }
  }

  private void perform(SoakEvent event) {
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

  /** Changes wait for each other; what would come long after the last event is left out. */
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
      throw new IllegalStateException("the store's address is taken", e);
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
      throw new IllegalStateException("the replica's address is taken", e);
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
        case RELAY_FREEZE, MEMBER_FREEZE -> freeze(event, process);
        case RELAY_TERM, RELAY_TERMS, MEMBER_TERM, MACHINE_TERM -> {
          boolean twice = event.kind() == EventKind.RELAY_TERMS;
          process.terminate(SoakMachines.TERMINATION_GRACE_MS, twice ? SECOND_TERM_AFTER_MS : 0);
          machines.restart(process, false);
        }
        default -> kill(event, process);
      }
    } catch (IOException e) {
      throw new IllegalStateException(event + " failed", e);
    }
    recordDisturbance(event, process.name, fromMs, ledger.nowMs());
  }

  private static void freeze(SoakEvent event, SoakProcess process) throws IOException {
    process.signal("STOP");
    DaemonThreads.pause(event.durationMs());
    process.signal("CONT");
  }

  private void kill(SoakEvent event, SoakProcess process) throws IOException {
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

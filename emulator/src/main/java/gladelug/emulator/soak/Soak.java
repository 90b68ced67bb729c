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
  private static final int TAIL_MS = 12_000, MEASURED_MS = 6000;

  private static final int FIRST_CONFIGURATION_MS = 60_000;
  private static final int READ_BACK_MS = 12_000;
  private static final int CHANGES_AFTER_END_MS = 10_000;
  private static final int SECOND_TERM_MS = 1000;
  private static final int PROGRESS_MS = 10_000;
  private static final int CLIENTS_A_MACHINE = 4;
  private static final int BURST = 120, LARGE_BODIES = 120;

  /** The platform's list shows a replica that crashed for a while. */
  private static final int LISTED_AFTER_CRASH_MS = 1500;

  private static final int PLATFORM_HOST = 100, STORE_HOST = 101, REPLICA_HOST = 110;
  private static final int NETWORKS = 200;

  private final SoakPlan plan;
  private final Path folder;
  private final Consumer<String> say;
  private final SoakLedger ledger = new SoakLedger();
  private final List<SoakReplica> replicas = new ArrayList<>();
  private final SoakStore store;
  private final PlatformList platform;
  private final SoakMachines machines;
  private final SoakOperator operator;
  private final FrontDoor frontDoor;
  private final SoakClients clients;
  private final ExecutorService operators =
      Executors.newSingleThreadExecutor(
          runnable -> {
            Thread thread = new Thread(runnable, "operator");
            thread.setDaemon(true);
            return thread;
          });
  private final ExecutorService faults = Threads.pool("fault");

  /** One party for this run, and one for each fault under way. */
  private final Phaser underWay = new Phaser(1);

  /** What went wrong with the soak itself, not with what it judges. */
  private final AtomicReference<RuntimeException> failure = new AtomicReference<>();

  private Soak(SoakPlan plan, DeployCommands commands, Path folder, Consumer<String> say)
      throws IOException {
    this.plan = plan;
    this.folder = folder;
    this.say = say;
    String net = network();
    for (int number = 1; number <= plan.replicas(); number++)
      replicas.add(new SoakReplica(number, net + (REPLICA_HOST + number), ledger, this::holder));
    store = new SoakStore(net + STORE_HOST);
    platform = new PlatformList(net + PLATFORM_HOST, replicas);
    machines = new SoakMachines(commands, folder, plan.machines(), net, platform.address(), ledger);
    operator =
        new SoakOperator(ledger, machines, ConfigurationModel.first(store.address()), plan.seed());
    frontDoor = new FrontDoor(ledger, machines);
    clients = new SoakClients(ledger, machines, frontDoor, operator::meaning);
  }

  /** Loopback addresses of this process's own, so that several soaks can run beside each other. */
  private static String network() {
    long pid = ProcessHandle.current().pid();
    return "127." + (30 + pid % NETWORKS) + "." + (1 + pid / NETWORKS % NETWORKS) + ".";
  }

  /**
   * Plays a plan and judges it.
   *
   * @param folder for logs, settings and data of the processes
   * @param say gets a progress line now and then
   * @throws IOException if the stand-ins can't listen or a process can't be started
   */
  static Result play(SoakPlan plan, DeployCommands commands, Path folder, Consumer<String> say)
      throws IOException {
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("plan.json"), plan.json());
    try (Soak soak = new Soak(plan, commands, folder, say)) {
      Thread end = new Thread(soak::interrupted, "end all processes");
      Runtime.getRuntime().addShutdownHook(end);
      soak.play();
      Runtime.getRuntime().removeShutdownHook(end);
      return soak.result();
    }
  }

  /** Ends all processes and judges what was played; what comes after the events is not judged. */
  private void interrupted() {
    ledger.interrupted(ledger.nowMs());
    close();
    try {
      say.accept("interrupted; judged is what was played\n" + SoakReport.write(result()).trim());
    } catch (IOException e) {
      say.accept("interrupted; the report can't be written: " + e.getMessage());
    }
  }

  private Result result() {
    return new Result(plan, ledger, SoakJudge.judge(ledger, Set.of()), folder);
  }

  private PrefixCache holder(String address) {
    if (address.equals(store.address())) return store.cache;
    for (SoakReplica replica : replicas)
      if (replica.address().equals(address)) return replica.cache;
    return null;
  }

  private void play() throws IOException {
    machines.startAll();
    frontDoor.start();
    background(operators, this::begin);
    clients.start(CLIENTS_A_MACHINE * plan.machines(), plan.seed());
    long endMs = plan.seconds() * 1000L;
    for (SoakEvent event : plan.events()) {
      progressUntil(event.atMs());
      perform(event);
      endMs = Math.max(endMs, event.endMs());
    }
    progressUntil(endMs);
    underWay.arriveAndAwaitAdvance();
    ledger.eventsEnded(ledger.nowMs());
    progressUntil(ledger.nowMs() + TAIL_MS + MEASURED_MS);
    ledger.readBack(operator.readBack(READ_BACK_MS));
    clients.stop();
    frontDoor.stop();
    if (failure.get() != null) throw failure.get();
  }

  /** Does it beside the run, which waits for its end. */
  private void background(ExecutorService where, Runnable task) {
    underWay.register();
    where.execute(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            failure.compareAndSet(null, e);
          } finally {
            underWay.arriveAndDeregister();
          }
        });
  }

  private void begin() {
    if (!operator.begin(FIRST_CONFIGURATION_MS))
      say.accept("the first configuration was not taken");
    machines.firstStartIsOver();
  }

  private void progressUntil(long atMs) {
    while (ledger.nowMs() < atMs) {
      long partMs = Math.min(atMs - ledger.nowMs(), PROGRESS_MS - ledger.nowMs() % PROGRESS_MS);
      Threads.pause(Math.max(1, partMs));
      if (ledger.nowMs() % PROGRESS_MS < 50) say.accept(SoakReport.progress(ledger));
    }
  }

  private void perform(SoakEvent event) {
    EventKind kind = event.kind();
    switch (kind) {
      case ROUTES, ISOLATE, SWAP, TENANT, REVOKE, LIMITS, LARGE, INVALID, RACE, RESEND, WEIGHTS ->
          background(operators, () -> performInTime(event));
      case BURST -> clients.burst(BURST, RequestKind.ASK, plan.seed() + event.atMs());
      case LARGE_BODIES ->
          clients.burst(LARGE_BODIES, RequestKind.UPLOAD, plan.seed() + event.atMs());
      case PLATFORM_DOWN, PLATFORM_SLOW, PLATFORM_BUSY ->
          platform.faults.begin(kind, event.forMs());
      case STORE_DOWN -> background(faults, () -> storeDown(event));
      default -> background(faults, () -> disturb(event));
    }
  }

  /** Changes wait for each other; what would come long after the last event is left out. */
  private void performInTime(SoakEvent event) {
    if (ledger.nowMs() < plan.seconds() * 1000L + CHANGES_AFTER_END_MS) operator.perform(event);
  }

  private void storeDown(SoakEvent event) {
    store.down();
    Threads.pause(event.forMs());
    try {
      store.up();
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
          background(faults, () -> disturbProcess(event, machines.relays.get(event.target() - 1)));
        disturbProcess(event, machines.members.get(event.target() - 1));
      }
      default -> {
        for (SoakProcess member : machines.members)
          background(faults, () -> disturbProcess(event, member));
      }
    }
  }

  private void disturbReplica(SoakEvent event, SoakReplica replica) {
    long fromMs = ledger.nowMs();
    noteDisturbance(event, "replica-" + replica.number, fromMs, fromMs + event.forMs());
    if (event.kind() != EventKind.REPLICA_CRASH) {
      replica.faults.begin(event.kind(), event.forMs());
      return;
    }
    replica.crash();
    Threads.pause(Math.min(event.forMs(), LISTED_AFTER_CRASH_MS));
    replica.unlist();
    Threads.pause(Math.max(0, event.forMs() - LISTED_AFTER_CRASH_MS));
    try {
      replica.comeBack(operator.weights());
    } catch (IOException e) {
      throw new IllegalStateException("the replica's address is taken", e);
    }
  }

  private void noteDisturbance(SoakEvent event, String process, long fromMs, long toMs) {
    ledger.disturbed(new Disturbance(fromMs, toMs, event.kind(), process));
  }

  private void disturbProcess(SoakEvent event, SoakProcess process) {
    long fromMs = ledger.nowMs();
    try {
      switch (event.kind()) {
        case RELAY_HUP -> process.signal("HUP");
        case RELAY_FREEZE, MEMBER_FREEZE -> freeze(event, process);
        case RELAY_TERM, RELAY_TERMS, MEMBER_TERM, MACHINE_TERM -> {
          boolean twice = event.kind() == EventKind.RELAY_TERMS;
          process.terminate(SoakMachines.GRACE_MS, twice ? SECOND_TERM_MS : 0);
          machines.startAgain(process, false);
        }
        default -> kill(event, process);
      }
    } catch (IOException e) {
      throw new IllegalStateException(event + " failed", e);
    }
    noteDisturbance(event, process.name, fromMs, ledger.nowMs());
  }

  private static void freeze(SoakEvent event, SoakProcess process) throws IOException {
    process.signal("STOP");
    Threads.pause(event.forMs());
    process.signal("CONT");
  }

  private void kill(SoakEvent event, SoakProcess process) throws IOException {
    process.kill();
    boolean wipe = event.kind() == EventKind.MEMBER_WIPE;
    if (wipe) process.loseDisk();
    Threads.pause(
        event.kind() == EventKind.CORE_KILL ? Math.min(900, event.forMs()) : event.forMs());
    machines.startAgain(process, wipe);
  }

  @Override
  public void close() {
    clients.stop();
    frontDoor.stop();
    machines.close();
    replicas.forEach(SoakReplica::close);
    platform.close();
    store.close();
  }
}

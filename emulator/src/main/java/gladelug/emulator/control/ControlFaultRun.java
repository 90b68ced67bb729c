package gladelug.emulator.control;

import gladelug.emulator.Deployment;
import gladelug.emulator.Fleet;
import gladelug.emulator.LedgerChecker;
import gladelug.emulator.LedgerChecker.Finding;
import gladelug.emulator.StandInCallers;
import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import gladelug.emulator.control.ChangeLedger.Reading;
import gladelug.emulator.control.StandInOperator.Member;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * A test of the control plane: plays one fault scenario on a fleet of real processes under load,
 * while operators change and read the configuration. The result is judged by what the stand-ins
 * recorded, and by nothing else. Scenarios use this class to run operators and to kill and restart
 * machines.
 */
public final class ControlFaultRun {
  /** A fault scenario; it starts when the fleet serves requests and is over when play returns. */
  public interface FaultScenario {
    /** Causes the faults and repairs them. */
    void play(ControlFaultRun run) throws Exception;

    /** Returns the longest time without a confirmed change that is allowed, in milliseconds. */
    long maxGapMs();
  }

  /** How long the fleet may take to recover after a start or a repair. */
  static final long RECOVERY_TIMEOUT_MS = 40_000;

  private static final int NETWORK_NUMBER = 18;
  private static final int RELAY_COUNT = 2;
  private static final long CHANGE_TIMEOUT_MS = 30_000;
  private static final long CHANGE_PAUSE_MS = 150;
  private static final long READING_PAUSE_MS = 100;
  private static final long SETTLING_MS = 2000;
  private static final int MAX_OFFENDERS_SHOWN = 5;

  final Fleet fleet;
  final ChangeLedger changes = new ChangeLedger();
  final Random random;
  private final Consumer<String> printLine;
  private final List<StandInOperator> operators = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean operatorsRunning = true;
  private volatile List<Member> members = List.of();

  /** Creates a run on a fleet that is not started yet; printLine receives progress lines. */
  public ControlFaultRun(Fleet fleet, long seed, Consumer<String> printLine) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.printLine = printLine;
  }

  /**
   * Returns a deployment of two replicas, two relays, an index and the three members of the core.
   */
  public static Deployment deployment() {
    Deployment small = Deployment.small(NETWORK_NUMBER);
    return new Deployment(
        small.name(),
        small.subnet(),
        small.service(),
        small.replicas(),
        RELAY_COUNT,
        small.indexes(),
        small.kinds(),
        small.tenants(),
        small.isolated());
  }

  /** Plays a scenario; returns whether no rule was broken. */
  public boolean play(FaultScenario scenario) throws Exception {
    fleet.start();
    refreshMembers();
    StandInCallers callers =
        new StandInCallers(
            fleet.vertx,
            fleet.ledger,
            fleet.callerAddresses,
            fleet.deployment.tenants(),
            fleet.deployment.kinds(),
            random.nextLong());
    callers.start();
    newOperator("setup").change(CHANGE_TIMEOUT_MS);
    scenario.play(this);
    Fleet.pause(SETTLING_MS);
    stopOperators();
    newOperator("closing").change(CHANGE_TIMEOUT_MS);
    for (Member member : members) newOperator("closing").read(member);
    callers.stop();
    Fleet.waitUntil(
        "all open requests have ended", RECOVERY_TIMEOUT_MS, () -> callers.openRequests() == 0);
    return report(scenario);
  }

  /** Prints a progress line. */
  void print(String text) {
    printLine.accept("  " + text);
  }

  /** Creates an operator who knows the current members and is updated when they change. */
  StandInOperator newOperator(String name) {
    StandInOperator operator =
        new StandInOperator(name, fleet.deployment, changes, members, random.nextLong());
    operators.add(operator);
    return operator;
  }

  /**
   * Starts operators who change the configuration until the scenario ends, each based on what it
   * has just read.
   */
  void keepChanging(int operatorCount) {
    for (int i = 1; i <= operatorCount; i++) {
      StandInOperator operator = newOperator("operator-" + i);
      repeatInThread(
          () -> {
            operator.change(CHANGE_TIMEOUT_MS);
            Fleet.pause(CHANGE_PAUSE_MS);
          });
    }
  }

  /**
   * Starts an operator for each member who reads the configuration there until the scenario ends.
   */
  void keepReading() {
    for (Member member : members) {
      StandInOperator operator = newOperator("reader-of-" + member.name());
      repeatInThread(
          () -> {
            operator.read(member);
            Fleet.pause(READING_PAUSE_MS);
          });
    }
  }

  private void repeatInThread(Runnable task) {
    Thread thread =
        new Thread(
            () -> {
              while (operatorsRunning) task.run();
            });
    threads.add(thread);
    thread.start();
  }

  private void stopOperators() throws InterruptedException {
    operatorsRunning = false;
    for (Thread thread : threads) thread.join(RECOVERY_TIMEOUT_MS);
  }

  /**
   * Returns the names of the members that the core reports now, and makes operators use these
   * members.
   */
  List<String> refreshMembers() {
    List<String> names = fleet.members();
    if (!names.isEmpty()) {
      members =
          names.stream().map(name -> new Member(name, fleet.operatorAddresses.get(name))).toList();
      operators.forEach(operator -> operator.useMembers(members));
    }
    return names;
  }

  /**
   * Returns the owner of the configuration that the core reports, or any member if there is none.
   */
  String ownerOfConfiguration() {
    return fleet.ownerOf("policy");
  }

  /** Kills the process of a machine, as a loss of power does. */
  void kill(String name) {
    print("kill " + name);
    fleet.children.get(name).kill();
  }

  /** Starts a killed machine again with its disk and waits until it is ready. */
  void restart(String name) throws IOException {
    fleet.children.get(name).start();
    long startedAtNs = System.nanoTime();
    Fleet.waitUntil(name + " ready again", RECOVERY_TIMEOUT_MS, () -> fleet.isReady(name));
    print(name + " ready " + (System.nanoTime() - startedAtNs) / 1_000_000 + " ms after its start");
  }

  /** Waits until a change is confirmed to an operator, and prints how long that took. */
  void awaitConfirmedChange(String when) {
    long startedAtNs = System.nanoTime();
    StandInOperator operator = newOperator("after");
    Fleet.waitUntil(
        "a change is confirmed " + when,
        RECOVERY_TIMEOUT_MS,
        () -> operator.change(CHANGE_TIMEOUT_MS).outcome() == Outcome.CONFIRMED);
    print(
        "a change was confirmed " + (System.nanoTime() - startedAtNs) / 1_000_000 + " ms " + when);
  }

  /**
   * Returns the names of all members, relays and replicas and of the platform, except for the given
   * name.
   */
  Set<String> allNodesExcept(String name) {
    Set<String> others = new LinkedHashSet<>(refreshMembers());
    for (int i = 1; i <= fleet.deployment.relays(); i++) others.add(Fleet.edgeMachine(i));
    others.addAll(fleet.replicas.keySet());
    others.add("platform");
    others.remove(name);
    return others;
  }

  private boolean report(FaultScenario scenario) {
    Map<Outcome, Integer> outcomes = new LinkedHashMap<>();
    for (Attempt attempt : changes.attempts()) outcomes.merge(attempt.outcome(), 1, Integer::sum);
    print("attempts to change by outcome: " + outcomes);
    print("calls by outcome: " + callsByOutcome());
    printTimes();
    List<Finding> findings = new ArrayList<>(ControlJudge.judge(changes, scenario.maxGapMs()));
    findings.addAll(LedgerChecker.checkAll(fleet.ledger));
    boolean clean = true;
    for (Finding finding : findings) {
      clean &= finding.passed();
      printLine.accept("must never: " + finding.rule() + ": " + describe(finding.offenders()));
    }
    return clean;
  }

  private Map<String, Integer> callsByOutcome() {
    Map<String, Integer> outcomes = new LinkedHashMap<>();
    fleet.ledger.calls.values().forEach(call -> outcomes.merge(call.outcome, 1, Integer::sum));
    return outcomes;
  }

  private void printTimes() {
    List<Long> confirmed =
        changes.attempts().stream()
            .filter(attempt -> attempt.outcome() == Outcome.CONFIRMED)
            .map(attempt -> attempt.answeredAtMs() - attempt.sentAtMs())
            .sorted()
            .toList();
    List<Long> unanswered =
        changes.readings().stream()
            .filter(reading -> reading.status() != 200)
            .map(Reading::durationMs)
            .sorted()
            .toList();
    print("time until a change was confirmed, in ms: " + quantiles(confirmed));
    print("time until a read failed or timed out, in ms: " + quantiles(unanswered));
    Map<String, Integer> readings = new LinkedHashMap<>();
    for (Reading reading : changes.readings()) {
      readings.merge(reading.member() + " " + reading.status(), 1, Integer::sum);
    }
    print("reads by member and status: " + readings);
  }

  private static String quantiles(List<Long> sorted) {
    if (sorted.isEmpty()) return "none";
    return String.format(
        Locale.ROOT,
        "count %d, median %d, p99 %d, maximum %d",
        sorted.size(),
        sorted.get(sorted.size() / 2),
        sorted.get((int) (sorted.size() * 0.99)),
        sorted.get(sorted.size() - 1));
  }

  private static String describe(List<String> offenders) {
    if (offenders.isEmpty()) return "clean";
    int shown = Math.min(MAX_OFFENDERS_SHOWN, offenders.size());
    return offenders.size() + " offenders " + offenders.subList(0, shown);
  }
}

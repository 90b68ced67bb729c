package gladelug.emulator.control;

import gladelug.emulator.Deployment;
import gladelug.emulator.Fleet;
import gladelug.emulator.Judge;
import gladelug.emulator.Judge.Finding;
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
 * A day of the control side: a fleet of real processes under load, operators who change and read
 * the configuration meanwhile, and one kind of trouble. Judged from the stand-ins' ledgers alone.
 *
 * <p>What the troubles of a day have at hand, and the play around them.
 */
public final class ControlFaultRun {
  /** One kind of trouble, begun when the fleet serves and over when play returns. */
  public interface FaultScenario {
    /** Brings the trouble about and mends it. */
    void play(ControlFaultRun day) throws Exception;

    /** The longest time without a confirmed change that is borne, in milliseconds. */
    long maxGapMs();
  }

  /** What a machine that was started or mended may take until it is needed, in milliseconds. */
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

  /** Plays on a fleet that was not started yet; lines for people go to out. */
  public ControlFaultRun(Fleet fleet, long seed, Consumer<String> printLine) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.printLine = printLine;
  }

  /** Two replicas, two relays and an index beside the three members of the core. */
  public static Deployment deployment() {
    Deployment small = Deployment.small(NETWORK_NUMBER);
    return new Deployment(
        small.name(),
        small.net(),
        small.service(),
        small.replicas(),
        RELAY_COUNT,
        small.indexes(),
        small.kinds(),
        small.tenants(),
        small.isolated());
  }

  /** Plays the day; true if no rule was broken. */
  public boolean play(FaultScenario scenario) throws Exception {
    fleet.start();
    refreshMembers();
    StandInCallers callers =
        new StandInCallers(
            fleet.vertx,
            fleet.ledger,
            fleet.callers,
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
    Fleet.until("the last requests ended", RECOVERY_TIMEOUT_MS, () -> callers.open() == 0);
    return report(scenario);
  }

  /** Says something to people. */
  void print(String what) {
    printLine.accept("  " + what);
  }

  /** An operator who knows the present members and is told of later ones. */
  StandInOperator newOperator(String name) {
    StandInOperator operator =
        new StandInOperator(name, fleet.deployment, changes, members, random.nextLong());
    operators.add(operator);
    return operator;
  }

  /** Operators who change the configuration all the time, each on what it read just before. */
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

  /** An operator for each member who reads there all the time. */
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

  /** The core's members by name, as the core tells them now; operators call these from now on. */
  List<String> refreshMembers() {
    List<String> names = fleet.members();
    if (!names.isEmpty()) {
      members = names.stream().map(n -> new Member(n, fleet.operator.get(n))).toList();
      operators.forEach(operator -> operator.useMembers(members));
    }
    return names;
  }

  /** Who owns the configuration, as the core tells it; any member where nobody does. */
  String ownerOfConfiguration() {
    return fleet.ownerOf("policy");
  }

  /** A machine loses power. */
  void kill(String name) {
    print("kill " + name);
    fleet.children.get(name).kill();
  }

  /** A machine that was killed is started again with its disk. */
  void restart(String name) throws IOException {
    fleet.children.get(name).start();
    long startedAtNs = System.nanoTime();
    Fleet.until(name + " ready again", RECOVERY_TIMEOUT_MS, () -> fleet.ready(name));
    print(name + " ready " + (System.nanoTime() - startedAtNs) / 1_000_000 + " ms after its start");
  }

  /** Waits until an operator has a change confirmed, and says how long that took. */
  void awaitConfirmedChange(String when) {
    long startedAtNs = System.nanoTime();
    StandInOperator operator = newOperator("after");
    Fleet.until(
        "a change is confirmed " + when,
        RECOVERY_TIMEOUT_MS,
        () -> operator.change(CHANGE_TIMEOUT_MS).outcome() == Outcome.CONFIRMED);
    print(
        "a change was confirmed " + (System.nanoTime() - startedAtNs) / 1_000_000 + " ms " + when);
  }

  /** The names of all machines and replicas but the one. */
  Set<String> allNodesExcept(String name) {
    Set<String> others = new LinkedHashSet<>(refreshMembers());
    for (int i = 1; i <= fleet.deployment.relays(); i++) others.add(Fleet.edge(i));
    others.addAll(fleet.replicas.keySet());
    others.add("platform");
    others.remove(name);
    return others;
  }

  private boolean report(FaultScenario scenario) {
    Map<Outcome, Integer> outcomes = new LinkedHashMap<>();
    for (Attempt attempt : changes.attempts()) outcomes.merge(attempt.outcome(), 1, Integer::sum);
    print("attempts " + outcomes);
    print("calls by outcome " + callsByOutcome());
    printTimes();
    List<Finding> findings = new ArrayList<>(ControlJudge.judge(changes, scenario.maxGapMs()));
    findings.addAll(Judge.all(fleet.ledger));
    boolean clean = true;
    for (Finding finding : findings) {
      clean &= finding.clean();
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
            .filter(a -> a.outcome() == Outcome.CONFIRMED)
            .map(a -> a.answeredAtMs() - a.sentAtMs())
            .sorted()
            .toList();
    List<Long> unanswered =
        changes.readings().stream()
            .filter(r -> r.status() != 200)
            .map(Reading::durationMs)
            .sorted()
            .toList();
    print("ms until a change was confirmed: " + quantiles(confirmed));
    print("ms until a reading was refused or given up: " + quantiles(unanswered));
    Map<String, Integer> readings = new LinkedHashMap<>();
    for (Reading reading : changes.readings()) {
      readings.merge(reading.member() + " " + reading.status(), 1, Integer::sum);
    }
    print("readings by member and status " + readings);
  }

  private static String quantiles(List<Long> sorted) {
    if (sorted.isEmpty()) return "none";
    return String.format(
        Locale.ROOT,
        "%d times, median %d, p99 %d, longest %d",
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

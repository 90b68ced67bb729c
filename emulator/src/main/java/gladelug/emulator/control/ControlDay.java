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
 * A day of the control side: a fleet of real processes under load, operators who change and read
 * the configuration meanwhile, and one kind of trouble. Judged from the stand-ins' ledgers alone.
 *
 * <p>What the troubles of a day have at hand, and the play around them.
 */
public final class ControlDay {
  /** One kind of trouble, begun when the fleet serves and over when play returns. */
  public interface Trouble {
    /** Brings the trouble about and mends it. */
    void play(ControlDay day) throws Exception;

    /** The longest time without a confirmed change that is borne, in milliseconds. */
    long longestGapMs();
  }

  /** What a machine that was started or mended may take until it is needed, in milliseconds. */
  static final long RETURN_MS = 40_000;

  private static final int NETWORK = 18;
  private static final int RELAYS = 2;
  private static final long CHANGE_MS = 30_000;
  private static final long BETWEEN_CHANGES_MS = 150;
  private static final long BETWEEN_READINGS_MS = 100;
  private static final long QUIET_MS = 2000;
  private static final int MOST_OFFENDERS_SHOWN = 5;

  final Fleet fleet;
  final ChangeLedger changes = new ChangeLedger();
  final Random random;
  private final Consumer<String> out;
  private final List<StandInOperator> operators = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean busy = true;
  private volatile List<Member> members = List.of();

  /** Plays on a fleet that was not started yet; lines for people go to out. */
  public ControlDay(Fleet fleet, long seed, Consumer<String> out) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.out = out;
  }

  /** Two replicas, two relays and an index beside the three members of the core. */
  public static Deployment deployment() {
    Deployment small = Deployment.small(NETWORK);
    return new Deployment(
        small.name(),
        small.subnet(),
        small.service(),
        small.replicas(),
        RELAYS,
        small.indexes(),
        small.kinds(),
        small.tenants(),
        small.isolated());
  }

  /** Plays the day; true if no rule was broken. */
  public boolean play(Trouble trouble) throws Exception {
    fleet.start();
    namesOfMembers();
    StandInCallers callers =
        new StandInCallers(
            fleet.vertx,
            fleet.ledger,
            fleet.callerAddresses,
            fleet.deployment.tenants(),
            fleet.deployment.kinds(),
            random.nextLong());
    callers.start();
    operator("setup").change(CHANGE_MS);
    trouble.play(this);
    Fleet.pause(QUIET_MS);
    stopOperators();
    operator("closing").change(CHANGE_MS);
    for (Member member : members) operator("closing").read(member);
    callers.stop();
    Fleet.waitUntil("the last requests ended", RETURN_MS, () -> callers.openRequests() == 0);
    return report(trouble);
  }

  /** Says something to people. */
  void say(String what) {
    out.accept("  " + what);
  }

  /** An operator who knows the present members and is told of later ones. */
  StandInOperator operator(String name) {
    StandInOperator operator =
        new StandInOperator(name, fleet.deployment, changes, members, random.nextLong());
    operators.add(operator);
    return operator;
  }

  /** Operators who change the configuration all the time, each on what it read just before. */
  void keepChanging(int howMany) {
    for (int i = 1; i <= howMany; i++) {
      StandInOperator operator = operator("operator-" + i);
      keepDoing(
          () -> {
            operator.change(CHANGE_MS);
            Fleet.pause(BETWEEN_CHANGES_MS);
          });
    }
  }

  /** An operator for each member who reads there all the time. */
  void keepReading() {
    for (Member member : members) {
      StandInOperator operator = operator("reader-of-" + member.name());
      keepDoing(
          () -> {
            operator.read(member);
            Fleet.pause(BETWEEN_READINGS_MS);
          });
    }
  }

  private void keepDoing(Runnable what) {
    Thread thread =
        new Thread(
            () -> {
              while (busy) what.run();
            });
    threads.add(thread);
    thread.start();
  }

  private void stopOperators() throws InterruptedException {
    busy = false;
    for (Thread thread : threads) thread.join(RETURN_MS);
  }

  /** The core's members by name, as the core tells them now; operators call these from now on. */
  List<String> namesOfMembers() {
    List<String> names = fleet.members();
    if (!names.isEmpty()) {
      members = names.stream().map(n -> new Member(n, fleet.operatorAddresses.get(n))).toList();
      operators.forEach(operator -> operator.members(members));
    }
    return names;
  }

  /** Who owns the configuration, as the core tells it; any member where nobody does. */
  String ownerOfConfiguration() {
    return fleet.ownerOf("policy");
  }

  /** A machine loses power. */
  void kill(String name) {
    say("kill " + name);
    fleet.children.get(name).kill();
  }

  /** A machine that was killed is started again with its disk. */
  void restart(String name) throws IOException {
    fleet.children.get(name).start();
    long began = System.nanoTime();
    Fleet.waitUntil(name + " ready again", RETURN_MS, () -> fleet.isReady(name));
    say(name + " ready " + (System.nanoTime() - began) / 1_000_000 + " ms after its start");
  }

  /** Waits until an operator has a change confirmed, and says how long that took. */
  void changeConfirmed(String when) {
    long began = System.nanoTime();
    StandInOperator operator = operator("after");
    Fleet.waitUntil(
        "a change is confirmed " + when,
        RETURN_MS,
        () -> operator.change(CHANGE_MS).outcome() == Outcome.CONFIRMED);
    say("a change was confirmed " + (System.nanoTime() - began) / 1_000_000 + " ms " + when);
  }

  /** The names of all machines and replicas but the one. */
  Set<String> everybodyBut(String name) {
    Set<String> others = new LinkedHashSet<>(namesOfMembers());
    for (int i = 1; i <= fleet.deployment.relays(); i++) others.add(Fleet.edgeMachine(i));
    others.addAll(fleet.replicas.keySet());
    others.add("platform");
    others.remove(name);
    return others;
  }

  private boolean report(Trouble trouble) {
    Map<Outcome, Integer> outcomes = new LinkedHashMap<>();
    for (Attempt attempt : changes.attempts()) outcomes.merge(attempt.outcome(), 1, Integer::sum);
    say("attempts " + outcomes);
    say("calls by outcome " + callsByOutcome());
    sayTimes();
    List<Finding> findings = new ArrayList<>(ControlJudge.judge(changes, trouble.longestGapMs()));
    findings.addAll(LedgerChecker.checkAll(fleet.ledger));
    boolean clean = true;
    for (Finding finding : findings) {
      clean &= finding.passed();
      out.accept("must never: " + finding.rule() + ": " + words(finding.offenders()));
    }
    return clean;
  }

  private Map<String, Integer> callsByOutcome() {
    Map<String, Integer> outcomes = new LinkedHashMap<>();
    fleet.ledger.calls.values().forEach(call -> outcomes.merge(call.outcome, 1, Integer::sum));
    return outcomes;
  }

  private void sayTimes() {
    List<Long> confirmed =
        changes.attempts().stream()
            .filter(a -> a.outcome() == Outcome.CONFIRMED)
            .map(a -> a.answeredAt() - a.sentAt())
            .sorted()
            .toList();
    List<Long> unanswered =
        changes.readings().stream()
            .filter(r -> r.status() != 200)
            .map(Reading::tookMs)
            .sorted()
            .toList();
    say("ms until a change was confirmed: " + quantiles(confirmed));
    say("ms until a reading was refused or given up: " + quantiles(unanswered));
    Map<String, Integer> readings = new LinkedHashMap<>();
    for (Reading reading : changes.readings()) {
      readings.merge(reading.member() + " " + reading.status(), 1, Integer::sum);
    }
    say("readings by member and status " + readings);
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

  private static String words(List<String> offenders) {
    if (offenders.isEmpty()) return "clean";
    int shown = Math.min(MOST_OFFENDERS_SHOWN, offenders.size());
    return offenders.size() + " offenders " + offenders.subList(0, shown);
  }
}

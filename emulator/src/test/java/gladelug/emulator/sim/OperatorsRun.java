package gladelug.emulator.sim;

import gladelug.emulator.history.Call;
import gladelug.emulator.history.Call.ChangeCall;
import gladelug.emulator.history.Change;
import gladelug.emulator.history.Counterexample;
import gladelug.emulator.history.History;
import gladelug.emulator.history.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One seeded run of several operators against a core under faults. After the faults and a closing
 * fault everything is repaired, every member must return what was acknowledged, the last
 * acknowledged change is sent once more, and the whole history is checked.
 */
final class OperatorsRun {
  private static final long FOUNDING_MS = 4000;
  private static final long SETTLE_MS = 15_000;
  private static final long LAST_CALLS_MS = 30_000;
  private static final long ANSWER_WITHIN_MS = 5000;
  private static final int REPORTED_LOG_LINES = 60;

  /**
   * The parameters of a run.
   *
   * @param usesConnections whether members' records travel on simulated TCP connections
   * @param memberCount the initial size of the core, an odd number
   * @param operatorCount the number of operators that change the configuration
   * @param concurrency the most changes one operator has in progress
   * @param maxPauseMs the longest pause of an operator between two changes
   * @param answerLossRate the probability that an answer is lost
   * @param faultCount the number of injected faults
   * @param faultKinds the kinds of faults to choose from
   * @param maxCalmMs the longest time between two faults
   */
  record Plan(
      boolean usesConnections,
      int memberCount,
      int operatorCount,
      int concurrency,
      int maxPauseMs,
      double answerLossRate,
      int faultCount,
      List<FaultKind> faultKinds,
      int maxCalmMs) {
    /** Returns a plan drawn from a seed. */
    static Plan of(long seed) {
      Random random = new Random(seed * 31_337);
      int operators = 1 + random.nextInt(3);
      int atOnce = random.nextInt(3) == 0 ? 8 : 1 + random.nextInt(3);
      int pauseOfEachMs = random.nextInt(3) == 0 ? 150 : 500;
      return new Plan(
          random.nextBoolean(),
          random.nextInt(3) == 0 ? 5 : 3,
          operators,
          atOnce,
          pauseOfEachMs * operators * atOnce,
          random.nextInt(3) * 0.25,
          4 + random.nextInt(8),
          List.of(FaultKind.values()),
          random.nextBoolean() ? 1500 : 6000);
    }
  }

  private final long seed;
  private final Plan plan;
  private final Simulation sim;
  private final OperatorCalls calls;
  private final FaultInjector faultInjector;
  private final Random random;
  private final List<RandomOperator> operators = new ArrayList<>();
  private final List<String> findings = new ArrayList<>();

  private OperatorsRun(long seed, Plan plan, BrokenRule broken) {
    this.seed = seed;
    this.plan = plan;
    random = new Random(seed * 7907);
    sim =
        new Simulation(
            seed,
            0,
            plan.memberCount,
            plan.memberCount,
            CoreTimes.PLATFORM.with().targetMembers(plan.memberCount).build());
    sim.usesConnections = plan.usesConnections;
    sim.brokenRule = broken;
    calls = new OperatorCalls(sim, random);
    faultInjector = new FaultInjector(sim, calls, random);
    for (int i = 1; i <= plan.operatorCount; i++)
      operators.add(new RandomOperator(sim, calls, "op" + i, random, plan.maxPauseMs));
  }

  /** Runs the plan drawn from a seed. */
  static OperatorsRun play(long seed) {
    return play(seed, Plan.of(seed), BrokenRule.NONE);
  }

  /** Runs a plan with a disabled rule of the core. */
  static OperatorsRun play(long seed, Plan plan, BrokenRule broken) {
    OperatorsRun run = new OperatorsRun(seed, plan, broken);
    run.play();
    return run;
  }

  private void play() {
    sim.log("sim", "seed " + seed + " " + plan);
    sim.run(FOUNDING_MS);
    for (RandomOperator operator : operators) operator.start(plan.concurrency);
    calls.answerLossRate = plan.answerLossRate;
    for (int i = 0; i < plan.faultCount; i++) {
      faultInjector.inject(plan.faultKinds.get(random.nextInt(plan.faultKinds.size())));
      sim.run(random.nextInt(plan.maxCalmMs));
      if (random.nextInt(3) == 0) faultInjector.repairAll();
    }
    runClosingFault();
    checkReadBack();
    checkHistory();
  }

  private void runClosingFault() {
    faultInjector.repairAll();
    sim.run(SETTLE_MS);
    faultInjector.injectClosingFault((plan.memberCount - 1) / 2);
    sim.run(SETTLE_MS);
    faultInjector.repairAll();
    sim.run(SETTLE_MS);
    calls.answerLossRate = 0;
    for (RandomOperator operator : operators) operator.stop();
    for (long waited = 0;
        waited < LAST_CALLS_MS && !operators.stream().allMatch(RandomOperator::isIdle); )
      waited += step();
  }

  private long step() {
    sim.run(100);
    return 100;
  }

  /** Checks after all repairs that each member answers in time with what was acknowledged. */
  private void checkReadBack() {
    for (String member : calls.members()) {
      int before = calls.readCount;
      calls.read("end", member, seen -> {});
      sim.run(OperatorCalls.ANSWER_TIMEOUT_MS + 1);
      if (calls.readCount == before) findings.add(member + " does not answer a read at the end");
    }
    int before = calls.acknowledgedCount;
    for (long waited = 0; waited < ANSWER_WITHIN_MS && calls.acknowledgedCount == before; )
      waited += resendLastChange();
    if (calls.acknowledgedCount == before) findings.add("no change is acknowledged at the end");
  }

  /** Sends the newest acknowledged change once more, or a first change if there is none. */
  private long resendLastChange() {
    Change newest = new Change("end", 0, 1);
    for (Call call : calls.history().calls())
      if (call instanceof ChangeCall sent
          && sent.outcome() == Outcome.ACKNOWLEDGED
          && sent.change().version() >= newest.version()) newest = sent.change();
    List<String> members = calls.members();
    calls.sendChange("end", members.get(random.nextInt(members.size())), newest, outcome -> {});
    sim.run(OperatorCalls.ANSWER_TIMEOUT_MS + 1);
    return OperatorCalls.ANSWER_TIMEOUT_MS;
  }

  private void checkHistory() {
    findings.addAll(sim.violations);
    Counterexample.of(history())
        .ifPresent(counterexample -> findings.add(counterexample.timeline()));
  }

  /** Returns all calls of the operators and their answers. */
  History history() {
    return calls.history();
  }

  /** Returns the violations found, empty if there are none. */
  List<String> findings() {
    return findings;
  }

  int acknowledged() {
    return calls.acknowledgedCount;
  }

  /** Summarizes the operators' calls. */
  @Override
  public String toString() {
    return calls.acknowledgedCount
        + " acknowledged, "
        + calls.refusedCount
        + " refused, "
        + calls.unknownCount
        + " without a clear answer, "
        + calls.readCount
        + " reads";
  }

  /** Returns the findings and the end of the event log. */
  String report() {
    List<String> story = sim.eventLog;
    return "seed "
        + seed
        + " "
        + plan
        + "\n"
        + this
        + "\n"
        + String.join("\n", findings)
        + "\n"
        + String.join(
            "\n", story.subList(Math.max(0, story.size() - REPORTED_LOG_LINES), story.size()));
  }

  String eventLogText() {
    return sim.eventLogText();
  }
}

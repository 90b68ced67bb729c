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
 * One seeded run of several operators against a core under troubles: the troubles, a closing fault,
 * then all is well, every member reads back what was acknowledged, the last acknowledged change is
 * sent once more, and the whole history is judged.
 *
 * <p>A run from a seed; read its findings when it has been played.
 */
final class OperatorsRun {
  private static final long FOUNDING = 4000;
  private static final long SETTLES = 15_000;
  private static final long LAST_CALLS = 30_000;
  private static final long ANSWERED_WITHIN = 5000;
  private static final int STORY = 60;

  /**
   * How a run goes.
   *
   * @param connections whether members' records go by connections as TCP's
   * @param members of the core at first, an odd number
   * @param operators who change the configuration
   * @param atOnce the most changes one operator has under way
   * @param longestRest the most an operator waits between two changes, ms
   * @param lostAnswers the share of answers that are lost
   * @param troubles how many are begun
   * @param kinds of trouble to choose from
   * @param longestCalm the most time between two troubles, ms
   */
  record Plan(
      boolean connections,
      int members,
      int operators,
      int atOnce,
      int longestRest,
      double lostAnswers,
      int troubles,
      List<FaultKind> kinds,
      int longestCalm) {
    /** A plan drawn from a seed. */
    static Plan of(long seed) {
      Random random = new Random(seed * 31_337);
      int operators = 1 + random.nextInt(3);
      int atOnce = random.nextInt(3) == 0 ? 8 : 1 + random.nextInt(3);
      int restOfEach = random.nextInt(3) == 0 ? 150 : 500;
      return new Plan(
          random.nextBoolean(),
          random.nextInt(3) == 0 ? 5 : 3,
          operators,
          atOnce,
          restOfEach * operators * atOnce,
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
  private final FaultInjector troubles;
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
            plan.members,
            plan.members,
            CoreTimes.PLATFORM.with().targetMembers(plan.members).build());
    sim.usesConnections = plan.connections;
    sim.brokenRule = broken;
    calls = new OperatorCalls(sim, random);
    troubles = new FaultInjector(sim, calls, random);
    for (int i = 1; i <= plan.operators; i++)
      operators.add(new RandomOperator(sim, calls, "op" + i, random, plan.longestRest));
  }

  /** Plays the run that a seed brings. */
  static OperatorsRun play(long seed) {
    return play(seed, Plan.of(seed), BrokenRule.NONE);
  }

  /** Plays a run with a rule of the core broken. */
  static OperatorsRun play(long seed, Plan plan, BrokenRule broken) {
    OperatorsRun run = new OperatorsRun(seed, plan, broken);
    run.play();
    return run;
  }

  private void play() {
    sim.log("sim", "seed " + seed + " " + plan);
    sim.run(FOUNDING);
    for (RandomOperator operator : operators) operator.start(plan.atOnce);
    calls.answerLossRate = plan.lostAnswers;
    for (int i = 0; i < plan.troubles; i++) {
      troubles.inject(plan.kinds.get(random.nextInt(plan.kinds.size())));
      sim.run(random.nextInt(plan.longestCalm));
      if (random.nextInt(3) == 0) troubles.repairAll();
    }
    closing();
    readBack();
    judge();
  }

  private void closing() {
    troubles.repairAll();
    sim.run(SETTLES);
    troubles.injectClosingFault((plan.members - 1) / 2);
    sim.run(SETTLES);
    troubles.repairAll();
    sim.run(SETTLES);
    calls.answerLossRate = 0;
    for (RandomOperator operator : operators) operator.stop();
    for (long waited = 0;
        waited < LAST_CALLS && !operators.stream().allMatch(RandomOperator::isIdle); )
      waited += step();
  }

  private long step() {
    sim.run(100);
    return 100;
  }

  /** Everything is well: each member answers, in time, with what was acknowledged. */
  private void readBack() {
    for (String member : calls.members()) {
      int before = calls.readCount;
      calls.read("end", member, seen -> {});
      sim.run(OperatorCalls.ANSWER_TIMEOUT_MS + 1);
      if (calls.readCount == before) findings.add(member + " does not answer a read at the end");
    }
    int before = calls.acknowledgedCount;
    for (long waited = 0; waited < ANSWERED_WITHIN && calls.acknowledgedCount == before; )
      waited += lastChangeAgain();
    if (calls.acknowledgedCount == before) findings.add("no change is acknowledged at the end");
  }

  /** The newest acknowledged change is sent once more; where it is not the newest, a new one is. */
  private long lastChangeAgain() {
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

  private void judge() {
    findings.addAll(sim.violations);
    Counterexample.of(history()).ifPresent(x -> findings.add(x.timeline()));
  }

  /** All that operators called and were told. */
  History history() {
    return calls.history();
  }

  /** What was wrong; empty where nothing was. */
  List<String> findings() {
    return findings;
  }

  int acknowledged() {
    return calls.acknowledgedCount;
  }

  /** What the operators' calls came to. */
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

  /** The findings and the end of the story, for people. */
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
        + String.join("\n", story.subList(Math.max(0, story.size() - STORY), story.size()));
  }

  String story() {
    return sim.eventLogText();
  }
}

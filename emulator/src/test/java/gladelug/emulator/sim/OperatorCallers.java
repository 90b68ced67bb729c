package gladelug.emulator.sim;

import gladelug.common.Digest;
import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.ChangeStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulated operators: several callers, each with one change in progress, whose answers may be lost
 * and who then send the same change again to any member. The member's side behaves like the
 * platform's operator endpoint. All answers are recorded, including lost ones.
 */
final class OperatorCallers {
  private static final String KEY = StateKeys.CONFIGURATION;
  private static final int ROUNDS = 4, ROUTES = 200;
  private static final long ANSWER_TIMEOUT_MS = 1000, PAUSE_MS = 30, ANSWER_MS = 2;

  /** The answer to a caller. */
  enum Answer {
    TAKEN,
    REFUSED,
    NOT_CLEAR
  }

  /** A complete configuration with the operators' own revision, based on another revision. */
  static final class PendingChange {
    final int caller;
    final long revision;
    final long baseRevision;
    final byte[] body;
    final String digest;
    boolean acknowledged;
    boolean refused;
    int sendCount;

    PendingChange(int caller, long revision, long builtOn) {
      this.caller = caller;
      this.revision = revision;
      this.baseRevision = builtOn;
      StringBuilder text = new StringBuilder(revision + "\nby caller " + caller + "\n");
      for (int i = 0; i < ROUTES; i++)
        text.append("route ")
            .append(i)
            .append(" to service ")
            .append(i * revision % 97)
            .append(" ms 4000\n");
      this.body = text.toString().getBytes(StandardCharsets.UTF_8);
      this.digest = Digest.hex(body);
    }

    @Override
    public String toString() {
      return revision + " on " + baseRevision + " by caller " + caller;
    }
  }

  private final Simulation sim;
  private final Random random;
  private final double answerLossRate;
  final List<PendingChange> changes = new ArrayList<>();
  private boolean ended;
  private int busyCount;

  OperatorCallers(Simulation sim, long seed, double answerLossRate) {
    this.sim = sim;
    this.random = new Random(seed);
    this.answerLossRate = answerLossRate;
  }

  void start(int callers) {
    for (int caller = 0; caller < callers; caller++) readAndSend(caller);
  }

  /** Starts no new changes; those in progress continue until they have a clear answer. */
  void end() {
    ended = true;
  }

  boolean isIdle() {
    return busyCount == 0;
  }

  long acknowledgedCount() {
    return changes.stream().filter(change -> change.acknowledged).count();
  }

  // ---- a caller

  private SimControlMachine anyMember() {
    List<String> names = sim.controlNames();
    return sim.controls.get(names.get(random.nextInt(names.size())));
  }

  private static long revisionOf(ReadResult newest) {
    if (newest.number() == 0) return 0;
    String text = new String(newest.body(), StandardCharsets.UTF_8);
    return Long.parseLong(text.substring(0, text.indexOf('\n')));
  }

  /** Reads the newest revision, then sends a change based on it. */
  private void readAndSend(int caller) {
    if (ended) return;
    boolean[] done = {false};
    SimControlMachine member = anyMember();
    member.run(
        () ->
            member.node.readNewest(
                KEY,
                newest -> {
                  if (!newest.hasOwner() || done[0] || ended) return;
                  done[0] = true;
                  long current = revisionOf(newest);
                  PendingChange change =
                      new PendingChange(caller, current + 1 + random.nextInt(3), current);
                  changes.add(change);
                  busyCount++;
                  send(change);
                }));
    sim.after(
        ANSWER_TIMEOUT_MS,
        () -> {
          if (!done[0]) {
            done[0] = true;
            readAndSend(caller);
          }
        });
  }

  private void send(PendingChange change) {
    change.sendCount++;
    boolean[] finished = {false};
    Consumer<Answer> onAnswer =
        answer -> {
          if (finished[0]) return;
          finished[0] = true;
          if (answer == Answer.NOT_CLEAR) sim.after(PAUSE_MS, () -> send(change));
          else {
            busyCount--;
            sim.after(PAUSE_MS, () -> readAndSend(change.caller));
          }
        };
    SimControlMachine member = anyMember();
    member.run(
        () ->
            propose(
                member, change, ROUNDS, answer -> recordAnswer(member, change, answer, onAnswer)));
    sim.after(ANSWER_TIMEOUT_MS, () -> onAnswer.accept(Answer.NOT_CLEAR));
  }

  private void recordAnswer(
      SimControlMachine member, PendingChange change, Answer answer, Consumer<Answer> onAnswer) {
    if (answer != Answer.NOT_CLEAR) sim.log("op", change + " by " + member.name + ": " + answer);
    if (answer == Answer.TAKEN) change.acknowledged = true;
    if (answer == Answer.REFUSED) {
      if (change.acknowledged) sim.violation("refused after it was acknowledged: " + change);
      change.refused = true;
    }
    if (change.refused && change.acknowledged) sim.violation("refused and acknowledged: " + change);
    boolean lost = random.nextDouble() < answerLossRate;
    if (!lost) sim.after(ANSWER_MS, () -> onAnswer.accept(answer));
  }

  // ---- a member's listener

  private void propose(
      SimControlMachine member, PendingChange change, int rounds, Consumer<Answer> answer) {
    member.node.readNewest(KEY, newest -> propose(member, change, newest, rounds, answer));
  }

  private void propose(
      SimControlMachine member,
      PendingChange change,
      ReadResult newest,
      int rounds,
      Consumer<Answer> answer) {
    if (!newest.hasOwner()) {
      answer.accept(Answer.NOT_CLEAR);
      return;
    }
    ChangeStatus status = newest.statusOf(change.digest, change.baseRevision);
    boolean isBasedOnNewest = change.baseRevision == revisionOf(newest);
    if (status == ChangeStatus.EXPIRED) answer.accept(Answer.NOT_CLEAR);
    else if (status == ChangeStatus.NOT_APPLIED && !isBasedOnNewest) answer.accept(Answer.REFUSED);
    else
      member.node.change(
          new ChangeRequest(KEY, newest.number(), change.baseRevision, change.body),
          result -> {
            if (result instanceof ChangeResult.Acknowledged) answer.accept(Answer.TAKEN);
            else if (result instanceof ChangeResult.Conflict && rounds > 0)
              propose(member, change, rounds - 1, answer);
            else answer.accept(Answer.NOT_CLEAR);
          });
  }

  // ---- checks

  /**
   * Checks after all repairs that the answers agree with the state and that each revision has one
   * successor.
   */
  void checkAnswers() {
    ReadResult[] last = {null};
    for (int i = 0; i < 20 && last[0] == null; i++) {
      SimControlMachine member = anyMember();
      member.run(
          () ->
              member.node.readNewest(
                  KEY,
                  newest -> {
                    if (newest.hasOwner()) last[0] = newest;
                  }));
      sim.run(ANSWER_TIMEOUT_MS);
    }
    if (last[0] == null) {
      sim.violation("nobody reads the newest version at the end");
      return;
    }
    Map<Long, PendingChange> successors = new HashMap<>();
    int appliedCount = 0;
    for (PendingChange change : changes) {
      boolean isTaken =
          last[0].statusOf(change.digest, change.baseRevision) == ChangeStatus.APPLIED;
      if (isTaken) appliedCount++;
      if (change.acknowledged && !isTaken) sim.violation("acknowledged and lost: " + change);
      if (change.refused && isTaken) sim.violation("refused and taken: " + change);
      PendingChange other = isTaken ? successors.put(change.baseRevision, change) : null;
      if (other != null) sim.violation("two on one version: " + change + " and " + other);
    }
    if (appliedCount != last[0].number())
      sim.violation(last[0].number() + " numbers for " + appliedCount + " orders that were taken");
  }
}

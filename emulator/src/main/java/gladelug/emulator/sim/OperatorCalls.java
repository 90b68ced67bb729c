package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.ReadResult;
import gladelug.emulator.history.Change;
import gladelug.emulator.history.History;
import gladelug.emulator.history.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Carries operators' calls to members and their answers back. Each direction takes a random delay
 * and answers may be lost. A member that is down refuses the connection at once; a paused member
 * does not answer. Cuts between members do not affect operators. Every answer is recorded in one
 * history.
 */
final class OperatorCalls {
  /** Time that a caller waits for an answer. */
  static final long ANSWER_TIMEOUT_MS = 1000;

  private static final int USUAL_MAX_DELAY_MS = 12;
  private static final int RARE_MAX_DELAY_MS = 120;
  private static final String PADDING = " of a configuration, with routes and services".repeat(4);

  /** The value that a read returned. */
  record ReadValue(long version, String id) {}

  private final Simulation sim;
  private final Random random;
  private final History.Builder history = new History.Builder();
  private final List<Runnable> acknowledgementListeners = new ArrayList<>();

  /** Probability that an answer is lost on its way. */
  double answerLossRate;

  int acknowledgedCount;
  int refusedCount;
  int unknownCount;
  int readCount;

  OperatorCalls(Simulation sim, Random random) {
    this.sim = sim;
    this.random = random;
  }

  History history() {
    return history.build();
  }

  /** Runs the listener once, when the next acknowledgement reaches an operator. */
  void onNextAcknowledgement(Runnable listener) {
    acknowledgementListeners.add(listener);
  }

  /** Returns the members that an operator may choose among. */
  List<String> members() {
    List<String> names = sim.controlNames();
    names.removeAll(sim.departed);
    return names;
  }

  /** Sends a change to a member. Calls back exactly once, also when the answer is lost. */
  void sendChange(String operator, String member, Change change, Consumer<Outcome> onAnswer) {
    long startMs = sim.nowMs();
    SingleAnswer<ChangeResult> singleAnswer =
        new SingleAnswer<>(
            answer -> onAnswer.accept(recordChange(operator, member, startMs, change, answer)),
            new ChangeResult.Unknown(change.version()));
    byte[] body = (change.id() + PADDING).getBytes(StandardCharsets.UTF_8);
    reachMember(
        member,
        () -> singleAnswer.answer(new ChangeResult.NoOwner()),
        control ->
            control.propose(
                StateKeys.CONFIGURATION,
                change.baseVersion(),
                body,
                answer -> sendBack(() -> singleAnswer.answer(answer))));
    sim.after(ANSWER_TIMEOUT_MS, singleAnswer::timeOut);
  }

  /** Asks a member for the newest value. Calls back with null where there is no clear answer. */
  void read(String operator, String member, Consumer<ReadValue> onAnswer) {
    long startMs = sim.nowMs();
    SingleAnswer<ReadResult> singleAnswer =
        new SingleAnswer<>(
            newest -> onAnswer.accept(recordRead(operator, member, startMs, newest)),
            ReadResult.NO_OWNER);
    reachMember(
        member,
        singleAnswer::timeOut,
        control ->
            control.run(
                () ->
                    control.node.readNewest(
                        StateKeys.CONFIGURATION,
                        newest -> sendBack(() -> singleAnswer.answer(newest)))));
    sim.after(ANSWER_TIMEOUT_MS, singleAnswer::timeOut);
  }

  private void reachMember(String member, Runnable onRefused, Consumer<SimControlMachine> call) {
    sim.after(
        randomDelayMs(),
        () -> {
          SimControlMachine control = sim.controls.get(member);
          if (control.up) call.accept(control);
          else sim.after(randomDelayMs(), onRefused);
        });
  }

  private void sendBack(Runnable onArrival) {
    if (random.nextDouble() >= answerLossRate) sim.after(randomDelayMs(), onArrival);
  }

  private long randomDelayMs() {
    return 1L + random.nextInt(random.nextInt(20) == 0 ? RARE_MAX_DELAY_MS : USUAL_MAX_DELAY_MS);
  }

  private Outcome recordChange(
      String operator, String member, long startMs, Change change, ChangeResult answer) {
    sim.log(
        operator, change.id() + " on " + change.baseVersion() + " at " + member + ": " + answer);
    if (answer instanceof ChangeResult.Conflict conflict) {
      refusedCount++;
      history.refused(operator, member, startMs, sim.nowMs(), change, conflict.current());
      return Outcome.REFUSED;
    }
    Outcome outcome = outcomeOf(answer);
    history.change(operator, member, startMs, sim.nowMs(), change, outcome);
    if (outcome == Outcome.UNKNOWN) unknownCount++;
    if (answer instanceof ChangeResult.Acknowledged acknowledgement)
      recordAcknowledgement(change, acknowledgement);
    return outcome;
  }

  private static Outcome outcomeOf(ChangeResult answer) {
    if (answer instanceof ChangeResult.Acknowledged) return Outcome.ACKNOWLEDGED;
    return answer instanceof ChangeResult.Unknown ? Outcome.UNKNOWN : Outcome.NOT_TAKEN;
  }

  private void recordAcknowledgement(Change change, ChangeResult.Acknowledged acknowledgement) {
    acknowledgedCount++;
    if (acknowledgement.number() != change.version())
      sim.violation(
          change + " was acknowledged under the unexpected number " + acknowledgement.number());
    List<Runnable> listeners = new ArrayList<>(acknowledgementListeners);
    acknowledgementListeners.clear();
    listeners.forEach(Runnable::run);
  }

  private ReadValue recordRead(String operator, String member, long startMs, ReadResult newest) {
    if (!newest.hasOwner()) return null;
    readCount++;
    String text = new String(newest.body(), StandardCharsets.UTF_8);
    String id = text.isEmpty() ? "" : text.substring(0, text.indexOf(' '));
    history.read(operator, member, startMs, sim.nowMs(), newest.number(), id);
    return new ReadValue(newest.number(), id);
  }

  /** Passes on only the first answer, or the timeout answer where none arrives in time. */
  private static final class SingleAnswer<T> {
    private final Consumer<T> callback;
    private final T timeoutAnswer;
    private boolean answered;

    SingleAnswer(Consumer<T> callback, T timeoutAnswer) {
      this.callback = callback;
      this.timeoutAnswer = timeoutAnswer;
    }

    void answer(T answer) {
      if (answered) return;
      answered = true;
      callback.accept(answer);
    }

    void timeOut() {
      answer(timeoutAnswer);
    }
  }
}

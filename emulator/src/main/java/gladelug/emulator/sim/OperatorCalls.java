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
 * The way of operators' calls to members and back: each takes a while, answers may be lost, a
 * member that is down refuses the connection at once, one that is paused says nothing. Members cut
 * off from each other are still reached. Whatever the callers were told goes into one history.
 */
final class OperatorCalls {
  /** How long a caller waits for an answer, ms. */
  static final long SILENCE = 1000;

  private static final int LONGEST_WAY = 12;
  private static final int LONGER_WAY = 120;
  private static final String PADDING = " of a configuration, with routes and services".repeat(4);

  /** What a read showed. */
  record Seen(long version, String id) {}

  private final Sim sim;
  private final Random random;
  private final History.Builder history = new History.Builder();
  private final List<Runnable> onAcknowledged = new ArrayList<>();

  /** The share of answers that are lost on their way. */
  double lostAnswers;

  int acknowledged;
  int refused;
  int unclear;
  int reads;

  OperatorCalls(Sim sim, Random random) {
    this.sim = sim;
    this.random = random;
  }

  History history() {
    return history.build();
  }

  /** Runs once, right when the next acknowledgement reaches an operator. */
  void atNextAcknowledgement(Runnable then) {
    onAcknowledged.add(then);
  }

  /** Members that an operator may choose among. */
  List<String> members() {
    List<String> names = sim.controlNames();
    names.removeAll(sim.left);
    return names;
  }

  /** Sends a change to a member; told once, whatever becomes of the answer. */
  void change(String operator, String member, Change change, Consumer<Outcome> told) {
    long start = sim.now();
    OneAnswer<ChangeResult> once =
        new OneAnswer<>(
            answer -> told.accept(changed(operator, member, start, change, answer)),
            new ChangeResult.Unknown(change.version()));
    byte[] body = (change.id() + PADDING).getBytes(StandardCharsets.UTF_8);
    reach(
        member,
        () -> once.tell(new ChangeResult.NoOwner()),
        control ->
            control.propose(
                StateKeys.CONFIGURATION,
                change.base(),
                body,
                answer -> goBack(() -> once.tell(answer))));
    sim.after(SILENCE, once::silence);
  }

  /** Asks a member for the newest value; told null where there is no clear answer. */
  void read(String operator, String member, Consumer<Seen> told) {
    long start = sim.now();
    OneAnswer<ReadResult> once =
        new OneAnswer<>(
            newest -> told.accept(seen(operator, member, start, newest)), ReadResult.NO_OWNER);
    reach(
        member,
        once::silence,
        control ->
            control.run(
                () ->
                    control.node.readNewest(
                        StateKeys.CONFIGURATION, newest -> goBack(() -> once.tell(newest)))));
    sim.after(SILENCE, once::silence);
  }

  private void reach(String member, Runnable refusedConnection, Consumer<SimControl> call) {
    sim.after(
        way(),
        () -> {
          SimControl control = sim.controls.get(member);
          if (control.up) call.accept(control);
          else sim.after(way(), refusedConnection);
        });
  }

  private void goBack(Runnable arrive) {
    if (random.nextDouble() >= lostAnswers) sim.after(way(), arrive);
  }

  private long way() {
    return 1L + random.nextInt(random.nextInt(20) == 0 ? LONGER_WAY : LONGEST_WAY);
  }

  private Outcome changed(
      String operator, String member, long start, Change change, ChangeResult answer) {
    sim.say(operator, change.id() + " on " + change.base() + " at " + member + ": " + answer);
    if (answer instanceof ChangeResult.Conflict stale) {
      refused++;
      history.refused(operator, member, start, sim.now(), change, stale.current());
      return Outcome.REFUSED;
    }
    Outcome outcome = outcome(answer);
    history.change(operator, member, start, sim.now(), change, outcome);
    if (outcome == Outcome.UNKNOWN) unclear++;
    if (answer instanceof ChangeResult.Acknowledged done) isAcknowledged(change, done);
    return outcome;
  }

  private static Outcome outcome(ChangeResult answer) {
    if (answer instanceof ChangeResult.Acknowledged) return Outcome.ACKNOWLEDGED;
    return answer instanceof ChangeResult.Unknown ? Outcome.UNKNOWN : Outcome.NOT_TAKEN;
  }

  private void isAcknowledged(Change change, ChangeResult.Acknowledged done) {
    acknowledged++;
    if (done.number() != change.version())
      sim.violation(change + " was acknowledged as number " + done.number());
    List<Runnable> due = new ArrayList<>(onAcknowledged);
    onAcknowledged.clear();
    due.forEach(Runnable::run);
  }

  private Seen seen(String operator, String member, long start, ReadResult newest) {
    if (!newest.hasOwner()) return null;
    reads++;
    String text = new String(newest.body(), StandardCharsets.UTF_8);
    String id = text.isEmpty() ? "" : text.substring(0, text.indexOf(' '));
    history.read(operator, member, start, sim.now(), newest.number(), id);
    return new Seen(newest.number(), id);
  }

  /** Passes on the first answer alone, or that there was none in time. */
  private static final class OneAnswer<T> {
    private final Consumer<T> told;
    private final T ifSilent;
    private boolean over;

    OneAnswer(Consumer<T> told, T ifSilent) {
      this.told = told;
      this.ifSilent = ifSilent;
    }

    void tell(T answer) {
      if (over) return;
      over = true;
      told.accept(answer);
    }

    void silence() {
      tell(ifSilent);
    }
  }
}

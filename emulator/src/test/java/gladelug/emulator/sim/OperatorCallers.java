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
 * Operators in the simulator: several callers, each with one order under way, whose answers may be
 * lost and who then send the same order again to any member. The member's side does what the
 * platform's listener does. A ledger holds all that was answered, lost answers too.
 */
final class OperatorCallers {
  private static final String KEY = StateKeys.CONFIGURATION;
  private static final int ROUNDS = 4, ROUTES = 200;
  private static final long SILENCE_MS = 1000, PAUSE_MS = 30, ANSWER_MS = 2;

  /** What a caller is answered. */
  enum Answer {
    TAKEN,
    REFUSED,
    NOT_CLEAR
  }

  /** A whole configuration with the operators' own version, on another version. */
  static final class Order {
    final int caller;
    final long revision;
    final long builtOn;
    final byte[] body;
    final String digest;
    boolean acknowledged;
    boolean refused;
    int sendings;

    Order(int caller, long revision, long builtOn) {
      this.caller = caller;
      this.revision = revision;
      this.builtOn = builtOn;
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
      return revision + " on " + builtOn + " by caller " + caller;
    }
  }

  private final Simulation sim;
  private final Random random;
  private final double lostAnswers;
  final List<Order> orders = new ArrayList<>();
  private boolean ended;
  private int busy;

  OperatorCallers(Simulation sim, long seed, double lostAnswers) {
    this.sim = sim;
    this.random = new Random(seed);
    this.lostAnswers = lostAnswers;
  }

  void start(int callers) {
    for (int caller = 0; caller < callers; caller++) look(caller);
  }

  /** No new orders; those under way go on until they have a clear answer. */
  void end() {
    ended = true;
  }

  boolean idle() {
    return busy == 0;
  }

  long acknowledged() {
    return orders.stream().filter(order -> order.acknowledged).count();
  }

  // ---- a caller

  private SimControlMachine anyDoor() {
    List<String> names = sim.controlNames();
    return sim.controls.get(names.get(random.nextInt(names.size())));
  }

  private static long revision(ReadResult newest) {
    if (newest.number() == 0) return 0;
    String text = new String(newest.body(), StandardCharsets.UTF_8);
    return Long.parseLong(text.substring(0, text.indexOf('\n')));
  }

  /** Reads the newest version, then makes an order on it. */
  private void look(int caller) {
    if (ended) return;
    boolean[] once = {false};
    SimControlMachine door = anyDoor();
    door.run(
        () ->
            door.node.readNewest(
                KEY,
                newest -> {
                  if (!newest.hasOwner() || once[0] || ended) return;
                  once[0] = true;
                  long current = revision(newest);
                  Order order = new Order(caller, current + 1 + random.nextInt(3), current);
                  orders.add(order);
                  busy++;
                  send(order);
                }));
    sim.after(
        SILENCE_MS,
        () -> {
          if (!once[0]) {
            once[0] = true;
            look(caller);
          }
        });
  }

  private void send(Order order) {
    order.sendings++;
    boolean[] over = {false};
    Consumer<Answer> heard =
        answer -> {
          if (over[0]) return;
          over[0] = true;
          if (answer == Answer.NOT_CLEAR) sim.after(PAUSE_MS, () -> send(order));
          else {
            busy--;
            sim.after(PAUSE_MS, () -> look(order.caller));
          }
        };
    SimControlMachine door = anyDoor();
    door.run(() -> put(door, order, ROUNDS, answer -> answered(door, order, answer, heard)));
    sim.after(SILENCE_MS, () -> heard.accept(Answer.NOT_CLEAR));
  }

  private void answered(
      SimControlMachine door, Order order, Answer answer, Consumer<Answer> heard) {
    if (answer != Answer.NOT_CLEAR) sim.log("op", order + " by " + door.name + ": " + answer);
    if (answer == Answer.TAKEN) order.acknowledged = true;
    if (answer == Answer.REFUSED) {
      if (order.acknowledged) sim.violation("refused after it was acknowledged: " + order);
      order.refused = true;
    }
    if (order.refused && order.acknowledged) sim.violation("refused and acknowledged: " + order);
    boolean lost = random.nextDouble() < lostAnswers;
    if (!lost) sim.after(ANSWER_MS, () -> heard.accept(answer));
  }

  // ---- a member's listener

  private void put(SimControlMachine door, Order order, int rounds, Consumer<Answer> answer) {
    door.node.readNewest(KEY, newest -> put(door, order, newest, rounds, answer));
  }

  private void put(
      SimControlMachine door, Order order, ReadResult newest, int rounds, Consumer<Answer> answer) {
    if (!newest.hasOwner()) {
      answer.accept(Answer.NOT_CLEAR);
      return;
    }
    ChangeStatus fate = newest.statusOf(order.digest, order.builtOn);
    boolean follows = order.builtOn == revision(newest);
    if (fate == ChangeStatus.EXPIRED) answer.accept(Answer.NOT_CLEAR);
    else if (fate == ChangeStatus.NOT_APPLIED && !follows) answer.accept(Answer.REFUSED);
    else
      door.node.change(
          new ChangeRequest(KEY, newest.number(), order.builtOn, order.body),
          core -> {
            if (core instanceof ChangeResult.Acknowledged) answer.accept(Answer.TAKEN);
            else if (core instanceof ChangeResult.Conflict && rounds > 0)
              put(door, order, rounds - 1, answer);
            else answer.accept(Answer.NOT_CLEAR);
          });
  }

  // ---- the judge

  /** With all well: what was answered agrees with the state, and each version has one successor. */
  void judge() {
    ReadResult[] last = {null};
    for (int i = 0; i < 20 && last[0] == null; i++) {
      SimControlMachine door = anyDoor();
      door.run(
          () ->
              door.node.readNewest(
                  KEY,
                  newest -> {
                    if (newest.hasOwner()) last[0] = newest;
                  }));
      sim.run(SILENCE_MS);
    }
    if (last[0] == null) {
      sim.violation("nobody reads the newest version at the end");
      return;
    }
    Map<Long, Order> successors = new HashMap<>();
    int taken = 0;
    for (Order order : orders) {
      boolean isTaken = last[0].statusOf(order.digest, order.builtOn) == ChangeStatus.APPLIED;
      if (isTaken) taken++;
      if (order.acknowledged && !isTaken) sim.violation("acknowledged and lost: " + order);
      if (order.refused && isTaken) sim.violation("refused and taken: " + order);
      Order other = isTaken ? successors.put(order.builtOn, order) : null;
      if (other != null) sim.violation("two on one version: " + order + " and " + other);
    }
    if (taken != last[0].number())
      sim.violation(last[0].number() + " numbers for " + taken + " orders that were taken");
  }
}

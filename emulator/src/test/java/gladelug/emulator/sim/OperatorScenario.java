package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.emulator.history.Change;
import gladelug.emulator.history.Counterexample;
import gladelug.emulator.history.Outcome;
import gladelug.emulator.sim.OperatorCalls.ReadValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Assertions;

/**
 * Plays a timeline with an additional column "calls" of operators, and checks their history. A cell
 * of that column holds, separated by commas:
 *
 * <pre>
 *   A on 3 at c1     an operator sends change A, based on version 3, to c1; the same cell sends it again
 *   read at c1       an operator reads at c1
 *   series 400 at c1 400 changes in sequence from the newest version on
 *   A acknowledged   the outcome of A's last call: acknowledged, refused, unclear or none
 *   one of A B C     exactly one of these has been acknowledged so far
 *   saw 4 A          the result of the last answered read
 *   no read          the last read had no clear answer
 *   series over      all of the last series were acknowledged
 *   newest at c1     c1 is an active member and holds the newest version
 * </pre>
 */
final class OperatorScenario {
  private static final long SETTLE_MS = 12_000;

  private final Simulation sim;
  private final OperatorCalls calls;
  private final Map<String, Outcome> outcomes = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private ReadValue lastRead;
  private long newestVersion;
  private int remainingChanges;

  private OperatorScenario(long seed, int members) {
    sim =
        new Simulation(
            seed, 0, members, members, CoreTimes.PLATFORM.with().targetMembers(members).build());
    sim.usesConnections = seed % 2 == 0;
    calls = new OperatorCalls(sim, new Random(seed));
  }

  /**
   * Plays the scenario. At its end all faults are repaired and every member must return what was
   * acknowledged.
   */
  static void play(long seed, int members, String text) {
    OperatorScenario story = new OperatorScenario(seed, members);
    Timeline.play(story.sim, byTime(text), story::applyCell);
    story.finish();
  }

  /** Sorts the lines by time: a line whose time is swept may stand anywhere below the header. */
  private static String byTime(String text) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    String heads = lines.remove(0);
    lines.sort(Comparator.comparingLong(line -> Long.parseLong(line.split("\\|")[0].trim())));
    lines.add(0, heads);
    return String.join("\n", lines);
  }

  private void finish() {
    sim.healAll();
    for (SimControlMachine control : sim.controls.values()) {
      if (!control.up) control.start();
      else if (control.paused) control.resume();
    }
    sim.run(SETTLE_MS);
    for (String member : calls.members()) {
      read(member);
      sim.run(OperatorCalls.ANSWER_TIMEOUT_MS + 1);
      require(lastRead != null, member + " does not answer at the end");
    }
    require(sim.violations.isEmpty(), sim.violations.toString());
    Counterexample.of(calls.history()).ifPresent(x -> require(false, x.timeline()));
  }

  private void require(boolean holds, String description) {
    if (!holds) Assertions.fail(description + "\n" + sim.eventLogText());
  }

  private void applyCell(String cell) {
    for (String item : cell.split(",")) applyItem(item.trim(), item.trim().split(" "));
  }

  private void applyItem(String item, String[] words) {
    if (item.startsWith("read at")) read(words[2]);
    else if (item.startsWith("series over"))
      require(remainingChanges == 0, remainingChanges + " changes to go");
    else if (item.startsWith("series")) startSeries(Integer.parseInt(words[1]), words[3]);
    else if (item.startsWith("one of ")) requireOneOf(List.of(words).subList(2, words.length));
    else if (item.startsWith("saw"))
      require(
          lastRead != null
              && lastRead.version() == Long.parseLong(words[1])
              && lastRead.id().equals(words[2]),
          item + " but saw " + lastRead);
    else if (item.equals("no read")) require(lastRead == null, "a read showed " + lastRead);
    else if (item.startsWith("newest at")) requireNewestAt(words[2]);
    else if (words.length == 5) sendChange(words[0], Long.parseLong(words[2]), words[4]);
    else
      require(
          words[1].equals(outcomeName(words[0])), item + " but was told " + outcomeName(words[0]));
  }

  private String outcomeName(String id) {
    Outcome outcome = outcomes.get(id);
    if (outcome == null) return "none";
    return switch (outcome) {
      case ACKNOWLEDGED -> "acknowledged";
      case REFUSED -> "refused";
      default -> "unclear";
    };
  }

  private void sendChange(String id, long base, String member) {
    Change change = new Change(id, base, base + 1);
    calls.sendChange(
        "op-" + id, member, change, outcome -> outcomes.put(id, recordOutcome(change, outcome)));
  }

  private Outcome recordOutcome(Change change, Outcome outcome) {
    if (outcome == Outcome.ACKNOWLEDGED) {
      acknowledged.add(change.id());
      newestVersion = Math.max(newestVersion, change.version());
    }
    return outcome;
  }

  private void read(String member) {
    lastRead = null;
    calls.read("reader", member, seen -> lastRead = seen);
  }

  private void startSeries(int changes, String member) {
    remainingChanges = changes;
    sendNextOfSeries(member);
  }

  /** Sends the next change of a series; a change without a clear answer is sent again unchanged. */
  private void sendNextOfSeries(String member) {
    if (remainingChanges == 0) return;
    Change change = new Change("S" + (newestVersion + 1), newestVersion, newestVersion + 1);
    calls.sendChange(
        "series",
        member,
        change,
        outcome -> {
          if (recordOutcome(change, outcome) == Outcome.ACKNOWLEDGED) remainingChanges--;
          sendNextOfSeries(member);
        });
  }

  private void requireOneOf(List<String> ids) {
    long confirmed = ids.stream().filter(acknowledged::contains).count();
    require(confirmed == 1, "acknowledged " + acknowledged + " of " + ids);
  }

  private void requireNewestAt(String member) {
    SimControlMachine control = sim.controls.get(member);
    require(
        control.up
            && control.node.isActive()
            && control.node.storedValue(StateKeys.CONFIGURATION).getKey() >= newestVersion,
        member + " does not keep " + newestVersion);
  }
}

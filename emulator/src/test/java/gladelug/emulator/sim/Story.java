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
 * Plays a timeline with a further column "calls" of operators, and judges their history. A cell of
 * that column holds, separated by commas:
 *
 * <pre>
 *   A on 3 at c1     an operator sends change A, which builds on version 3, to c1; sent again alike
 *   read at c1       an operator reads at c1
 *   series 400 at c1 changes one after the other from the newest version on, each on the one before
 *   A acknowledged   what A's last call came to: acknowledged, refused, unclear or none
 *   one of A B C     exactly one of these has been acknowledged so far
 *   saw 4 A          what the last read that was answered showed
 *   no read          the last read had no clear answer
 *   series over      all of the last series were acknowledged
 *   newest at c1     c1 is a member that counts and keeps the newest version
 * </pre>
 */
final class Story {
  private static final long SETTLES = 12_000;

  private final Simulation sim;
  private final OperatorCalls calls;
  private final Map<String, Outcome> outcomes = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private ReadValue lastRead;
  private long newest;
  private int toGo;

  private Story(long seed, int members) {
    sim =
        new Simulation(
            seed, 0, members, members, CoreTimes.PLATFORM.with().targetMembers(members).build());
    sim.usesConnections = seed % 2 == 0;
    calls = new OperatorCalls(sim, new Random(seed));
  }

  /** Plays the story; at its end all is healed and every member shows what was acknowledged. */
  static void play(long seed, int members, String text) {
    Story story = new Story(seed, members);
    Timeline.play(story.sim, byTime(text), story::cell);
    story.end();
  }

  /** A line whose moment is swept may stand anywhere below the heads. */
  private static String byTime(String text) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    String heads = lines.remove(0);
    lines.sort(Comparator.comparingLong(line -> Long.parseLong(line.split("\\|")[0].trim())));
    lines.add(0, heads);
    return String.join("\n", lines);
  }

  private void end() {
    sim.healAll();
    for (SimControlMachine control : sim.controls.values()) {
      if (!control.up) control.start();
      else if (control.paused) control.resume();
    }
    sim.run(SETTLES);
    for (String member : calls.members()) {
      read(member);
      sim.run(OperatorCalls.ANSWER_TIMEOUT_MS + 1);
      must(lastRead != null, member + " does not answer at the end");
    }
    must(sim.violations.isEmpty(), sim.violations.toString());
    Counterexample.of(calls.history()).ifPresent(x -> must(false, x.timeline()));
  }

  private void must(boolean holds, String what) {
    if (!holds) Assertions.fail(what + "\n" + sim.eventLogText());
  }

  private void cell(String cell) {
    for (String item : cell.split(",")) item(item.trim(), item.trim().split(" "));
  }

  private void item(String item, String[] words) {
    if (item.startsWith("read at")) read(words[2]);
    else if (item.startsWith("series over")) must(toGo == 0, toGo + " changes to go");
    else if (item.startsWith("series")) series(Integer.parseInt(words[1]), words[3]);
    else if (item.startsWith("one of ")) oneOf(List.of(words).subList(2, words.length));
    else if (item.startsWith("saw"))
      must(
          lastRead != null
              && lastRead.version() == Long.parseLong(words[1])
              && lastRead.id().equals(words[2]),
          item + " but saw " + lastRead);
    else if (item.equals("no read")) must(lastRead == null, "a read showed " + lastRead);
    else if (item.startsWith("newest at")) newestAt(words[2]);
    else if (words.length == 5) send(words[0], Long.parseLong(words[2]), words[4]);
    else must(words[1].equals(told(words[0])), item + " but was told " + told(words[0]));
  }

  private String told(String id) {
    Outcome outcome = outcomes.get(id);
    if (outcome == null) return "none";
    return switch (outcome) {
      case ACKNOWLEDGED -> "acknowledged";
      case REFUSED -> "refused";
      default -> "unclear";
    };
  }

  private void send(String id, long base, String member) {
    Change change = new Change(id, base, base + 1);
    calls.sendChange(
        "op-" + id, member, change, outcome -> outcomes.put(id, came(change, outcome)));
  }

  private Outcome came(Change change, Outcome outcome) {
    if (outcome == Outcome.ACKNOWLEDGED) {
      acknowledged.add(change.id());
      newest = Math.max(newest, change.version());
    }
    return outcome;
  }

  private void read(String member) {
    lastRead = null;
    calls.read("reader", member, seen -> lastRead = seen);
  }

  private void series(int changes, String member) {
    toGo = changes;
    next(member);
  }

  /** What has no clear answer is sent again, as it was. */
  private void next(String member) {
    if (toGo == 0) return;
    Change change = new Change("S" + (newest + 1), newest, newest + 1);
    calls.sendChange(
        "series",
        member,
        change,
        outcome -> {
          if (came(change, outcome) == Outcome.ACKNOWLEDGED) toGo--;
          next(member);
        });
  }

  private void oneOf(List<String> ids) {
    long confirmed = ids.stream().filter(acknowledged::contains).count();
    must(confirmed == 1, "acknowledged " + acknowledged + " of " + ids);
  }

  private void newestAt(String member) {
    SimControlMachine control = sim.controls.get(member);
    must(
        control.up
            && control.node.isActive()
            && control.node.storedValue(StateKeys.CONFIGURATION).getKey() >= newest,
        member + " does not keep " + newest);
  }
}

package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeResult;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Plays a story drawn as text, a column a node: the first line names the columns, each further line
 * is a time in milliseconds and what happens to each node then ("." is nothing). The column op is
 * the operator and the onlooker: it sends values and says what must be seen by then. A column named
 * calls is left to whoever plays the story.
 */
final class Timeline {
  private Timeline() {}

  static Sim play(Sim world, String text) {
    return play(
        world,
        text,
        cell -> {
          throw new IllegalArgumentException("nobody takes " + cell);
        });
  }

  /** Plays a story whose column calls is told to the given consumer. */
  static Sim play(Sim world, String text, Consumer<String> calls) {
    List<String> head = null;
    long base = world.now();
    for (String raw : text.split("\n")) {
      if (raw.isBlank()) continue;
      List<String> cells = cells(raw);
      if (head == null) {
        head = cells;
        continue;
      }
      long at = base + Long.parseLong(cells.get(0));
      if (at < world.now()) throw new IllegalArgumentException("goes back in time: " + raw);
      world.run(at - world.now());
      Set<String> side = new HashSet<>();
      for (int i = 1; i < cells.size(); i++) if (cells.get(i).equals("side")) side.add(head.get(i));
      if (!side.isEmpty()) world.split(side);
      for (int i = 1; i < cells.size(); i++) {
        String what = cells.get(i);
        if (what.equals(".") || what.equals("side")) continue;
        if (head.get(i).equals("calls")) calls.accept(what);
        else if (head.get(i).equals("op")) operator(world, what, raw);
        else if (head.get(i).startsWith("c")) control(world, head.get(i), what);
        else relay(world, head.get(i), what);
      }
    }
    return world;
  }

  private static List<String> cells(String raw) {
    List<String> l = new ArrayList<>();
    for (String c : raw.split("\\|")) l.add(c.trim());
    return l;
  }

  private static void control(Sim world, String n, String what) {
    SimControl control = world.controls.get(n);
    switch (what) {
      case "kill" -> control.kill();
      case "power" -> control.power();
      case "term" -> control.terminate();
      case "up" -> control.start();
      case "pause" -> control.pause();
      case "wake" -> control.wake();
      case "cut" -> world.cutOff(n);
      case "cut-in" -> world.cutOneWay(n, false);
      case "cut-out" -> world.cutOneWay(n, true);
      case "heal" -> world.heal(n);
      case "stall" -> control.medium.stalled = true;
      case "free" -> {
        control.medium.stalled = false;
        control.medium.go(world, control);
      }
      case "fail" -> control.medium.failing = true;
      case "empty" -> {
        control.empty(control.disk + "x");
        control.start();
      }
      case "emptyFounder" -> {
        control.emptyFounder(control.disk + "x");
        control.start();
      }
      case "new" -> world.machine(n);
      default -> throw new IllegalArgumentException(what);
    }
  }

  private static void relay(Sim world, String n, String what) {
    SimRelay relay = world.relays.get(n);
    if (what.startsWith("cutby ")) {
      world.cut(n, what.substring(6));
      world.cut(what.substring(6), n);
      return;
    }
    switch (what) {
      case "kill" -> relay.kill();
      case "up" -> relay.start();
      case "pause" -> relay.paused = true;
      case "wake" -> relay.paused = false;
      case "cut" -> world.cutOff(n);
      case "heal" -> world.heal(n);
      default -> throw new IllegalArgumentException(what);
    }
  }

  private static void operator(Sim world, String what, String line) {
    for (String w : what.split(",")) {
      String[] ps = w.trim().split(" ");
      String why = "at " + line + "\n" + world.story();
      switch (ps[0]) {
        case "send" ->
            world.send(
                ps[1].equals("up") ? world.anyUp() : ps[1],
                StateKeys.CONFIGURATION,
                ps.length > 2 ? Long.parseLong(ps[2]) : -1);
        case "swap" -> {
          boolean ok = false;
          for (SimControl control : world.controls.values())
            if (control.up && control.node.isInitialized() && control.node.owns(StateKeys.CORE))
              ok |= control.node.replaceMember(ps[1], ps[2], a -> {}).isEmpty();
          if (!ok) throw new AssertionError("no swap begun " + why);
        }
        case "owner" ->
            must(
                world.owner(StateKeys.CONFIGURATION).equals(ps[1]),
                "owner is " + world.owner(StateKeys.CONFIGURATION) + " " + why);
        case "retired" ->
            must(
                world.controls.get(ps[1]).node.isRetired(),
                ps[1] + " doesn't know that it is out " + why);
        case "members" ->
            must(
                world.newest().all().stream()
                    .map(m -> m.name())
                    .toList()
                    .equals(List.of(ps).subList(1, ps.length)),
                "members " + world.newest() + " " + why);
        case "read" -> world.read(ps[1], StateKeys.CONFIGURATION);
        case "reads" -> must(world.reads == Integer.parseInt(ps[1]), world.reads + " reads " + why);
        case "generation" ->
            must(
                world.generation() == Long.parseLong(ps[1]),
                "generation " + world.generation() + " " + why);
        case "last" -> {
          ChangeResult a = world.sent.get(world.sent.size() - 1).answer()[0];
          must(
              (a == null ? "none" : a.getClass().getSimpleName()).equalsIgnoreCase(ps[1]),
              "last answer " + a + " " + why);
        }
        case "answered" ->
            must(world.sent.get(world.sent.size() - 1).answer()[0] != null, "no answer yet " + why);
        case "oneOfTwo" -> {
          ChangeResult a = world.sent.get(world.sent.size() - 1).answer()[0],
              b = world.sent.get(world.sent.size() - 2).answer()[0];
          must(
              a instanceof ChangeResult.Acknowledged != b instanceof ChangeResult.Acknowledged
                  && a instanceof ChangeResult.Conflict != b instanceof ChangeResult.Conflict,
              "answers " + a + " and " + b + " " + why);
        }
        case "serve" -> {
          for (SimRelay relay : world.relays.values())
            if (relay.up)
              must(world.now() - relay.lastStart < 30, relay.name + " does not serve " + why);
        }
        case "still" ->
            must(world.now() - world.relays.get(ps[1]).lastStart > 30, ps[1] + " serves " + why);
        case "gap" -> {
          for (SimRelay relay : world.relays.values())
            must(
                relay.longestGap <= Long.parseLong(ps[1]),
                relay.name + " had a gap of " + relay.longestGap + " " + why);
        }
        case "forget" -> {
          world.ousted = 0;
          for (SimRelay relay : world.relays.values()) relay.longestGap = 0;
        }
        case "well" -> must(world.violations.isEmpty(), world.violations + " " + why);
        default -> throw new IllegalArgumentException(w);
      }
    }
  }

  private static void must(boolean ok, String what) {
    if (!ok) throw new AssertionError(what);
  }
}

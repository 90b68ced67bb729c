package gladelug.emulator.sim;

import gladelug.common.message.StateKeys;
import gladelug.control.core.message.ChangeResult;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Plays a scenario written as a text table with one column for each node. The first line names the
 * columns; each further line is a time in milliseconds and what happens to each node then ("." is
 * nothing). The column "op" is the operator: it sends values and states what must hold at that
 * time. The column "calls" is handled by the caller.
 */
final class Timeline {
  private Timeline() {}

  static Simulation play(Simulation world, String text) {
    return play(
        world,
        text,
        cell -> {
          throw new IllegalArgumentException("no handler for the column calls: " + cell);
        });
  }

  /** Plays a scenario and passes the cells of its column "calls" to the consumer. */
  static Simulation play(Simulation world, String text, Consumer<String> calls) {
    List<String> columns = null;
    long baseMs = world.nowMs();
    for (String line : text.split("\n")) {
      if (line.isBlank()) continue;
      List<String> cells = cellsOf(line);
      if (columns == null) {
        columns = cells;
        continue;
      }
      long atMs = baseMs + Long.parseLong(cells.get(0));
      if (atMs < world.nowMs())
        throw new IllegalArgumentException("time is before that of the previous line: " + line);
      world.run(atMs - world.nowMs());
      Set<String> group = new HashSet<>();
      for (int i = 1; i < cells.size(); i++)
        if (cells.get(i).equals("side")) group.add(columns.get(i));
      if (!group.isEmpty()) world.split(group);
      for (int i = 1; i < cells.size(); i++) {
        String action = cells.get(i);
        if (action.equals(".") || action.equals("side")) continue;
        if (columns.get(i).equals("calls")) calls.accept(action);
        else if (columns.get(i).equals("op")) applyToOperator(world, action, line);
        else if (columns.get(i).startsWith("c")) applyToControl(world, columns.get(i), action);
        else applyToRelay(world, columns.get(i), action);
      }
    }
    return world;
  }

  private static List<String> cellsOf(String line) {
    List<String> cells = new ArrayList<>();
    for (String cell : line.split("\\|")) cells.add(cell.trim());
    return cells;
  }

  private static void applyToControl(Simulation world, String name, String action) {
    SimControlMachine control = world.controls.get(name);
    switch (action) {
      case "kill" -> control.kill();
      case "power" -> control.cutPower();
      case "term" -> control.terminate();
      case "up" -> control.start();
      case "pause" -> control.pause();
      case "wake" -> control.resume();
      case "cut" -> world.cutOff(name);
      case "cut-in" -> world.cutOneWay(name, false);
      case "cut-out" -> world.cutOneWay(name, true);
      case "heal" -> world.heal(name);
      case "stall" -> control.storage.stalled = true;
      case "free" -> {
        control.storage.stalled = false;
        control.storage.startWrite(world, control);
      }
      case "fail" -> control.storage.failing = true;
      case "empty" -> {
        control.replaceDisk(control.diskId + "x");
        control.start();
      }
      case "emptyFounder" -> {
        control.replaceDiskOfFounder(control.diskId + "x");
        control.start();
      }
      case "new" -> world.addMachine(name);
      default -> throw new IllegalArgumentException(action);
    }
  }

  private static void applyToRelay(Simulation world, String name, String action) {
    SimRelay relay = world.relays.get(name);
    if (action.startsWith("cutby ")) {
      world.cutLink(name, action.substring(6));
      world.cutLink(action.substring(6), name);
      return;
    }
    switch (action) {
      case "kill" -> relay.kill();
      case "up" -> relay.start();
      case "pause" -> relay.paused = true;
      case "wake" -> relay.paused = false;
      case "cut" -> world.cutOff(name);
      case "heal" -> world.heal(name);
      default -> throw new IllegalArgumentException(action);
    }
  }

  private static void applyToOperator(Simulation world, String action, String line) {
    for (String command : action.split(",")) {
      String[] words = command.trim().split(" ");
      String context = "at " + line + "\n" + world.eventLogText();
      switch (words[0]) {
        case "send" ->
            world.send(
                words[1].equals("up") ? world.anyRunning() : words[1],
                StateKeys.CONFIGURATION,
                words.length > 2 ? Long.parseLong(words[2]) : -1);
        case "swap" -> {
          boolean started = false;
          for (SimControlMachine control : world.controls.values())
            if (control.up && control.node.isInitialized() && control.node.owns(StateKeys.CORE))
              started |= control.node.replaceMember(words[1], words[2], answer -> {}).isEmpty();
          if (!started) throw new AssertionError("no member replacement started " + context);
        }
        case "owner" ->
            require(
                world.ownersOf(StateKeys.CONFIGURATION).equals(words[1]),
                "owner is " + world.ownersOf(StateKeys.CONFIGURATION) + " " + context);
        case "retired" ->
            require(
                world.controls.get(words[1]).node.isRetired(),
                words[1] + " does not know that it was replaced " + context);
        case "members" ->
            require(
                world.newestMembers().all().stream()
                    .map(member -> member.name())
                    .toList()
                    .equals(List.of(words).subList(1, words.length)),
                "members " + world.newestMembers() + " " + context);
        case "read" -> world.read(words[1], StateKeys.CONFIGURATION);
        case "reads" ->
            require(
                world.readCount == Integer.parseInt(words[1]),
                world.readCount + " reads " + context);
        case "generation" ->
            require(
                world.newestGeneration() == Long.parseLong(words[1]),
                "generation " + world.newestGeneration() + " " + context);
        case "last" -> {
          ChangeResult answer = world.sentChanges.get(world.sentChanges.size() - 1).answer()[0];
          require(
              (answer == null ? "none" : answer.getClass().getSimpleName())
                  .equalsIgnoreCase(words[1]),
              "last answer " + answer + " " + context);
        }
        case "answered" ->
            require(
                world.sentChanges.get(world.sentChanges.size() - 1).answer()[0] != null,
                "no answer yet " + context);
        case "oneOfTwo" -> {
          ChangeResult answer = world.sentChanges.get(world.sentChanges.size() - 1).answer()[0],
              otherAnswer = world.sentChanges.get(world.sentChanges.size() - 2).answer()[0];
          require(
              answer instanceof ChangeResult.Acknowledged
                      != otherAnswer instanceof ChangeResult.Acknowledged
                  && answer instanceof ChangeResult.Conflict
                      != otherAnswer instanceof ChangeResult.Conflict,
              "answers " + answer + " and " + otherAnswer + " " + context);
        }
        case "serve" -> {
          for (SimRelay relay : world.relays.values())
            if (relay.up)
              require(
                  world.nowMs() - relay.lastStartMs < 30,
                  relay.name + " does not serve " + context);
        }
        case "still" ->
            require(
                world.nowMs() - world.relays.get(words[1]).lastStartMs > 30,
                words[1] + " serves " + context);
        case "gap" -> {
          for (SimRelay relay : world.relays.values())
            require(
                relay.longestGapMs <= Long.parseLong(words[1]),
                relay.name + " served nothing for " + relay.longestGapMs + " " + context);
        }
        case "forget" -> {
          world.lostOwnerships = 0;
          for (SimRelay relay : world.relays.values()) relay.longestGapMs = 0;
        }
        case "well" -> require(world.violations.isEmpty(), world.violations + " " + context);
        default -> throw new IllegalArgumentException(command);
      }
    }
  }

  private static void require(boolean holds, String description) {
    if (!holds) throw new AssertionError(description);
  }
}

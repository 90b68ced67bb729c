package gladelug.emulator.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Formats a run as a text table with one line for each step, one column for each machine, and what
 * happened at the machine.
 */
final class StepTable {
  private static final int MAX_CELL_CHARS = 58;

  private StepTable() {}

  /** Replays the steps and formats each that was possible. */
  static String draw(Setup setup, List<Step> steps) {
    CheckedWorld world = CheckedWorld.forReplay(setup, true);
    List<List<String>> rows = new ArrayList<>();
    List<String> header = new ArrayList<>();
    header.add("step");
    for (CheckedMachine machine : world.machines()) header.add(machine.name);
    rows.add(header);
    int number = 0;
    for (Step step : steps) {
      if (!Replay.apply(world, step)) continue;
      rows.addAll(rowsOf(world, step, ++number));
      if (world.rules.brokenRule() != null) break;
    }
    Recovery.run(world);
    return layOut(rows) + "broken: " + world.rules.brokenRule() + "\n";
  }

  private static List<List<String>> rowsOf(CheckedWorld world, Step step, int number) {
    List<String> texts = new ArrayList<>();
    texts.add(step.toString());
    texts.addAll(world.machine(step.machine()).events);
    List<List<String>> rows = new ArrayList<>();
    for (int i = 0; i < texts.size(); i++) {
      List<String> row = new ArrayList<>();
      row.add(i == 0 ? String.valueOf(number) : "");
      for (CheckedMachine machine : world.machines())
        row.add(machine.name.equals(step.machine()) ? shorten(texts.get(i)) : ".");
      rows.add(row);
    }
    return rows;
  }

  private static String shorten(String text) {
    return text.length() <= MAX_CELL_CHARS ? text : text.substring(0, MAX_CELL_CHARS - 3) + "...";
  }

  private static String layOut(List<List<String>> rows) {
    int[] widths = new int[rows.get(0).size()];
    for (List<String> row : rows)
      for (int i = 0; i < widths.length; i++) widths[i] = Math.max(widths[i], row.get(i).length());
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        if (i > 0) text.append(" | ");
        text.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
      }
      text.append('\n');
    }
    return text.toString();
  }
}

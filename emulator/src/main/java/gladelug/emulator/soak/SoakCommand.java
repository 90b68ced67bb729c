package gladelug.emulator.soak;

import gladelug.common.Findings;
import gladelug.common.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The command {@code fleet-emulator soak}: plays plans from seeds or a file one after the other, or
 * shrinks a failed plan.
 */
public final class SoakCommand {
  /**
   * The options of the command.
   *
   * @param planFile a plan file to play in place of generated plans, or the folder of a failed run
   *     whose plan is to be shrunk; null for neither
   * @param seed the first seed
   * @param seeds number of seeds
   * @param size number of machines, or 0 to draw it from the seed
   * @param only ids of the kinds of events to draw from; empty for all
   * @param checkout the built checkout whose processes are started
   */
  public record Options(
      Path planFile,
      long seed,
      int seeds,
      int minutes,
      int size,
      List<String> only,
      Path checkout,
      Path out) {}

  private static final String FAILED_PLAN = "plan.json";
  private static final String SMALLEST_PLAN = "smallest.json";
  private static final int MAX_SHRINK_TRIES = 30;

  private final Options options;
  private final Consumer<String> printLine;
  private final DeployCommands commands;

  private SoakCommand(Options options, Consumer<String> printLine) {
    this.options = options;
    this.commands = DeployCommands.fromJars(options.checkout.toAbsolutePath());
    this.printLine = printLine;
  }

  /** Returns the ids of all kinds of events. */
  public static List<String> kinds() {
    return EventKind.ids();
  }

  /**
   * Plays the chosen plans; returns whether no rule was broken. Findings on options and plans are
   * printed and count as failures.
   */
  public static boolean play(Options options, Consumer<String> printLine) throws IOException {
    return new SoakCommand(options, printLine).play();
  }

  /**
   * Shrinks the plan in a failed run's folder; returns whether a smaller plan was found that still
   * fails.
   */
  public static boolean shrink(Options options, Consumer<String> printLine) throws IOException {
    return new SoakCommand(options, printLine).shrink();
  }

  private boolean play() throws IOException {
    if (options.planFile != null) {
      SoakPlan plan = read(options.planFile);
      return plan != null && play(plan, options.planFile.getFileName().toString());
    }
    Findings findings = new Findings();
    Set<EventKind> only = chosenKinds(findings);
    if (!findings.isEmpty()) {
      printLine.accept(findings.toString().trim());
      return false;
    }
    int failed = 0;
    for (long seed = options.seed; seed < options.seed + options.seeds; seed++)
      if (!play(
          PlanGenerator.generate(seed, options.minutes * 60, options.size, only), "seed-" + seed))
        failed++;
    printLine.accept(failed + " of " + options.seeds + " seeds broke a rule");
    return failed == 0;
  }

  private Set<EventKind> chosenKinds(Findings findings) {
    Set<EventKind> kinds = EnumSet.noneOf(EventKind.class);
    for (String id : options.only)
      EventKind.of(id)
          .ifPresentOrElse(
              kinds::add,
              () ->
                  findings.add(
                      "--only", id + " is not one of " + String.join(", ", EventKind.ids())));
    return kinds;
  }

  private SoakPlan read(Path file) throws IOException {
    Result<SoakPlan> result = SoakPlan.read(Files.readString(file));
    if (result instanceof Result.Good<SoakPlan> good) return good.value();
    printLine.accept(file + ":\n" + result);
    return null;
  }

  private boolean play(SoakPlan plan, String name) throws IOException {
    printLine.accept(
        name + ": " + plan.machines() + " machines, " + plan.events().size() + " events");
    Soak.Result result = Soak.play(plan, commands, unusedFolder(name), printLine);
    printLine.accept(SoakReport.write(result).trim());
    if (!result.clean()) printLine.accept("logs and reports kept in " + result.folder());
    return result.clean();
  }

  private Path unusedFolder(String name) {
    Path folder = options.out.toAbsolutePath().resolve("soak");
    for (int number = 0; ; number++) {
      Path candidate = folder.resolve(number == 0 ? name : name + "-" + number);
      if (!Files.exists(candidate)) return candidate;
    }
  }

  private boolean shrink() throws IOException {
    SoakPlan plan = read(options.planFile.resolve(FAILED_PLAN));
    if (plan == null) return false;
    SoakPlan smallest = PlanShrinker.shrink(plan, MAX_SHRINK_TRIES, this::breaksRule);
    Path file = options.planFile.resolve(SMALLEST_PLAN);
    Files.writeString(file, smallest.toJson());
    printLine.accept(
        plan.events().size()
            + " events in the plan, "
            + smallest.events().size()
            + " in the smallest failing one: "
            + file);
    return smallest.events().size() < plan.events().size();
  }

  private boolean breaksRule(SoakPlan plan) {
    try {
      Soak.Result result = Soak.play(plan, commands, unusedFolder("shrink"), line -> {});
      printLine.accept(plan.events().size() + " events: " + (result.clean() ? "clean" : "broken"));
      return !result.clean();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}

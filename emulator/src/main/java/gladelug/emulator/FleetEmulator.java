package gladelug.emulator;

import com.eclipsesource.json.WriterConfig;
import gladelug.common.Program;
import gladelug.data.relay.Mechanism;
import gladelug.emulator.check.ModelCheck;
import gladelug.emulator.control.ControlFaultRun;
import gladelug.emulator.control.FaultScenarios;
import gladelug.emulator.day.Day;
import gladelug.emulator.experiment.Ablation;
import gladelug.emulator.experiment.AblationPlan;
import gladelug.emulator.scale.ScalePlan;
import gladelug.emulator.scale.ScaleRun;
import gladelug.emulator.sim.RequestScenarios;
import gladelug.emulator.soak.SoakCommand;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The program fleet-emulator: starts a complete fleet on this machine, loads it at a deployment's
 * rates, injects faults, and reports what the ledgers of the stand-ins show. Never deployed.
 */
public final class FleetEmulator {
  private static final int STAND_INS_SUBNET = 14;

  private FleetEmulator() {}

  /** Exits with 0 on success, 1 if a rule was broken, and 2 for invalid arguments. */
  public static void main(String[] args) throws Exception {
    Namespace options = Program.parseArguments(CommandLine.parser(), args);
    System.exit(runCommand(options) ? 0 : 1);
  }

  /** Runs the command and returns whether no rule was broken. */
  private static boolean runCommand(Namespace options) throws Exception {
    switch (options.getString("command")) {
      case "run" -> {
        return run(options);
      }
      case "day" -> {
        return options.getInt("point") == null ? day(options) : controlDay(options);
      }
      case "simulate" -> {
        return simulate(options);
      }
      case "check" -> {
        return check(options);
      }
      case "soak" -> {
        return soak(options);
      }
      case "stand-ins" -> standIns(options);
      case "weights" -> WeightsRollout.measure(deployment(options), options.getString("out"));
      case "table" ->
          SummaryBenchmark.measure(
              options.getInt("rounds"),
              options.getInt("holders"),
              options.getInt("shared"),
              options.getInt("own"));
      case "shares" ->
          ShareComparison.measure(
              options.getString("out"), options.getInt("rounds"), options.getInt("seconds"));
      case "scale" -> scale(options);
      case "ablation" -> ablation(options);
      default -> compare(options);
    }
    return true;
  }

  private static boolean soak(Namespace options) throws Exception {
    String plan = options.getString("plan");
    String shrink = options.getString("shrink");
    SoakCommand.Options chosen =
        new SoakCommand.Options(
            shrink != null ? Path.of(shrink) : plan == null ? null : Path.of(plan),
            options.getLong("seed"),
            options.getInt("seeds"),
            options.getInt("minutes"),
            options.getInt("size"),
            options.getList("only"),
            Path.of(options.getString("checkout")),
            Path.of(options.getString("out")));
    return shrink == null
        ? SoakCommand.play(chosen, System.out::println)
        : SoakCommand.shrink(chosen, System.out::println);
  }

  private static Deployment deployment(Namespace options) {
    return Deployment.byName(options.getString("deployment"));
  }

  /** Creates a new folder for the files of a run. */
  private static Path folder(Namespace options, String name) throws Exception {
    Path folder =
        Path.of(options.getString("out"))
            .toAbsolutePath()
            .resolve(name + "-" + options.getLong("seed") + "-" + System.currentTimeMillis());
    Files.createDirectories(folder);
    return folder;
  }

  private static boolean run(Namespace options) throws Exception {
    Logger.getLogger("").setLevel(Level.WARNING);
    Deployment deployment = deployment(options);
    Path out = folder(options, deployment.name());
    long seed = options.getLong("seed");
    boolean clean;
    try (Fleet fleet = new Fleet(deployment, out, seed, options.getString("choice"))) {
      boolean kills = options.getString("kills").equals("yes");
      clean = KillRun.run(fleet, options.getInt("seconds"), seed, kills, options.getDouble("rate"));
    }
    System.out.println("logs: " + out);
    return clean;
  }

  private static boolean day(Namespace options) throws Exception {
    Logger.getLogger("").setLevel(Level.WARNING);
    Deployment deployment = deployment(options);
    Path out = folder(options, deployment.name());
    long seed = options.getLong("seed");
    boolean clean;
    try (Fleet fleet = new Fleet(deployment, out, seed, "summary")) {
      Day day = new Day(fleet, seed, options.getDouble("rate"));
      clean = day.play(options.getInt("each"), Integer.MAX_VALUE);
    }
    System.out.println("logs: " + out);
    return clean;
  }

  /** Runs one of the five days of the control plane. */
  private static boolean controlDay(Namespace options) throws Exception {
    Logger.getLogger("").setLevel(Level.WARNING);
    int point = options.getInt("point");
    Path out = folder(options, "control-" + point);
    long seed = options.getLong("seed");
    boolean clean;
    try (Fleet fleet = new Fleet(ControlFaultRun.deployment(), out, seed, "summary")) {
      clean = new ControlFaultRun(fleet, seed, System.out::println).play(FaultScenarios.of(point));
    }
    System.out.println("logs: " + out);
    return clean;
  }

  private static boolean simulate(Namespace options) {
    Logger.getLogger("").setLevel(Level.OFF);
    RequestScenarios stories =
        RequestScenarios.run(
            options.getLong("from"), options.getInt("seeds"), options.getInt("threads"));
    stories.failures.forEach(System.out::println);
    System.out.println(stories + "\noffending seeds: " + stories.failures.size());
    return stories.failures.isEmpty();
  }

  private static boolean check(Namespace options) {
    String without = options.getString("without");
    int depth = options.getInt("explore");
    if (depth > 0)
      return ModelCheck.explore(depth, options.getLong("states"), without, System.out::println);
    ModelCheck.Options wanted =
        new ModelCheck.Options(
            options.getInt("members"),
            options.getLong("seed"),
            options.getInt("walks"),
            options.getInt("steps"));
    return ModelCheck.run(wanted, without, System.out::println);
  }

  /** Runs until the process is terminated. */
  private static void standIns(Namespace options) throws Exception {
    Path out = Path.of(options.getString("out")).toAbsolutePath().resolve("stand-ins");
    Fleet fleet = new Fleet(Deployment.small(STAND_INS_SUBNET), out, 1, "summary");
    Path configuration = fleet.folder.resolve("configuration.json");
    Files.writeString(
        configuration,
        fleet.deployment.configuration(0, List.of()).toString(WriterConfig.PRETTY_PRINT));
    System.out.println("platform " + fleet.platform.address());
    System.out.println("configuration " + configuration);
    System.out.println("key of tenant one: " + fleet.deployment.tenants().get(0).key());
    System.out.println("the stand-ins stop with this process");
    Thread.currentThread().join();
  }

  private static void compare(Namespace options) throws Exception {
    ChoiceComparison.measure(
        new ChoiceComparison.Options(
            options.getString("deployment"),
            options.getInt("seconds"),
            options.getInt("rounds"),
            options.getDouble("rate"),
            options.getDouble("link_factor"),
            options.getString("out")));
  }

  private static void ablation(Namespace options) throws Exception {
    AblationPlan plan =
        new AblationPlan(
            Path.of(options.getString("bench")).toAbsolutePath(),
            Path.of(options.getString("site")).toAbsolutePath(),
            options.getList("days"),
            options.getList("seeds"),
            List.copyOf(Mechanism.parse(options.getList("without"))),
            options.getList("option"),
            Path.of(options.getString("out")).toAbsolutePath());
    new Ablation(plan, Path.of(options.getString("repository")).toAbsolutePath()).run();
  }

  private static void scale(Namespace options) throws Exception {
    Logger.getLogger("").setLevel(Level.WARNING);
    ScalePlan.Options wanted =
        new ScalePlan.Options(
            options.getLong("seed"),
            options.getInt("seconds"),
            options.getString("sizes"),
            options.getList("points"),
            options.getString("roles"),
            options.getBoolean("quick"));
    ScalePlan plan =
        Program.valueOrExit("fleet-emulator", ScalePlan.parse(wanted, ScalePlan.totalMemoryMb()));
    new ScaleRun(plan, folder(options, "scale"), System.out::println).run();
  }
}

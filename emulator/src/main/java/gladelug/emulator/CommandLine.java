package gladelug.emulator;

import gladelug.data.relay.Mechanism;
import gladelug.emulator.check.ModelCheck;
import gladelug.emulator.control.FaultScenarios;
import gladelug.emulator.soak.SoakCommand;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the commands of fleet-emulator and their arguments. */
final class CommandLine {
  private static final String DEFAULT_DEPLOYMENT = "safari-njia";
  private final ArgumentParser parser =
      ArgumentParsers.newFor("fleet-emulator")
          .build()
          .defaultHelp(true)
          .description(
              "Runs a complete fleet on one machine, with stand-ins for callers, replicas and the platform.");
  private final Subparsers commands =
      parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");

  private CommandLine() {}

  /** Returns the parser of all commands. */
  static ArgumentParser parser() {
    CommandLine line = new CommandLine();
    line.run();
    line.day();
    line.compare();
    line.standIns();
    line.weights();
    line.table();
    line.simulate();
    line.shares();
    line.scale();
    line.check();
    line.ablation();
    line.soak();
    return line.parser;
  }

  private Subparser command(String name, String help) {
    return commands.addParser(name).help(help);
  }

  private static void out(Subparser command) {
    command.addArgument("--out").setDefault("emulator-out");
  }

  private static void deployment(Subparser command) {
    command
        .addArgument("--deployment")
        .choices("safari-njia", "moka-ridge")
        .setDefault(DEFAULT_DEPLOYMENT);
  }

  private static void rate(Subparser command) {
    command
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(1.0)
        .help("factor applied to the deployment's request rates");
  }

  private static void seed(Subparser command) {
    command.addArgument("--seed").type(Long.class).setDefault(1L);
  }

  private static void number(Subparser command, String name, int defaultValue, String help) {
    command.addArgument(name).type(Integer.class).setDefault(defaultValue).help(help);
  }

  private void soak() {
    Subparser command =
        command(
            "soak",
            "real processes by the deploy file under faults, signals and changes in overlapping series");
    command
        .addArgument("--plan")
        .help("a plan as a file in place of drawn ones; docs/operators/soaking.md tells its form");
    command
        .addArgument("--shrink")
        .help("folder of a failed run, whose plan is reduced to a smaller failing one");
    seed(command);
    number(command, "--seeds", 1, "number of consecutive seeds, starting at --seed");
    number(command, "--minutes", 2, "minutes during which events are injected");
    command
        .addArgument("--checkout")
        .setDefault(".")
        .help("the built checkout whose deploy file and programs are played");
    number(command, "--size", 0, "machines, from 3; 0: as many as the seed says");
    command
        .addArgument("--only")
        .nargs("+")
        .setDefault(List.of())
        .metavar("KIND")
        .help("kinds of events that may come: " + String.join(", ", SoakCommand.kinds()));
    out(command);
  }

  private void run() {
    Subparser command =
        command("run", "load a fleet, kill parts of it, check the ledgers of the stand-ins");
    deployment(command);
    number(command, "--seconds", 60, "how long");
    seed(command);
    command.addArgument("--kills").choices("yes", "no").setDefault("yes");
    command
        .addArgument("--choice")
        .choices(ChoiceComparison.CHOICES)
        .setDefault(ChoiceComparison.CHOICES.get(0));
    rate(command);
    out(command);
  }

  private void day() {
    Subparser command =
        command(
            "day",
            "a seeded day: everything that may fail, one after the other, and a judgement per must-never");
    deployment(command);
    seed(command);
    command
        .addArgument("--point")
        .type(Integer.class)
        .choices(Arguments.range(1, FaultScenarios.COUNT))
        .help(
            "a day of the control side instead: 1 a long cut, 2 racing operators, 3 replacements in turn, "
                + "4 hundreds of changes, 5 resets");
    number(command, "--each", 5, "seconds an episode lasts");
    rate(command);
    out(command);
  }

  private void compare() {
    Subparser command =
        command(
            "compare",
            "compare the three ways of choosing a replica, in turn, over several rounds with the same seeds");
    deployment(command);
    number(command, "--seconds", 15, "how long each round lasts");
    number(command, "--rounds", 3, "rounds of all three");
    rate(command);
    command
        .addArgument("--link-factor")
        .type(Double.class)
        .setDefault(1.0)
        .help("how much slower links between replicas are");
    out(command);
  }

  private void standIns() {
    out(
        command(
            "stand-ins",
            "only the stand-ins: a platform with two replicas, a store and an application, to try the programs "
                + "by hand"));
  }

  private void weights() {
    Subparser command =
        command(
            "weights",
            "measure how long a rollout of new weights takes under load, and what it costs callers");
    deployment(command);
    out(command);
  }

  private void table() {
    Subparser command = command("table", "benchmark the Cuckoo Summary against wider buckets");
    number(command, "--rounds", 7, "rounds");
    number(command, "--holders", 13, "holders; values other than 13 are compared to 13");
    number(command, "--shared", 300, "blocks that every holder keeps");
    number(command, "--own", 1500, "additional blocks of each holder");
  }

  private void simulate() {
    Subparser command =
        command(
            "simulate",
            "stories of requests by seeds, in simulated time, each promise judged strictly");
    command.addArgument("--from").type(Long.class).setDefault(0L).help("the first seed");
    number(command, "--seeds", 1000, "how many seeds");
    number(command, "--threads", 4, "stories run in parallel");
  }

  private void shares() {
    Subparser command =
        command(
            "shares",
            "what tenants get of a full fleet, with and without the fleet-wide division, turn about");
    number(command, "--seconds", 15, "how long each round lasts");
    number(command, "--rounds", 3, "rounds of both");
    out(command);
  }

  private void check() {
    Subparser command =
        command(
            "check", "random walks of the core's protocol under a model checker, each rule judged");
    command.addArgument("--members").type(Integer.class).choices(3, 5).setDefault(3);
    command.addArgument("--seed").type(Long.class).setDefault(0L).help("the first seed");
    number(command, "--walks", 100, "how many walks");
    number(command, "--steps", 3000, "steps of each walk");
    number(
        command,
        "--explore",
        0,
        "instead of walks every run of so many moves, from the beginnings of some scenarios");
    command
        .addArgument("--states")
        .type(Long.class)
        .setDefault(500_000L)
        .help("no deeper once an exploration has met so many states");
    command
        .addArgument("--without")
        .choices(ModelCheck.mutations())
        .setDefault("NONE")
        .help("a rule of the protocol switched off, to see that this is found");
  }

  private void ablation() {
    Subparser command =
        command(
            "ablation",
            "measure the contribution of each data plane mechanism with days of a bench");
    command.addArgument("--bench").required(true).help("the bench's executable");
    command.addArgument("--site").required(true).help("the site file");
    command.addArgument("--days").nargs("+").required(true);
    command
        .addArgument("--seeds")
        .nargs("+")
        .setDefault(List.of())
        .help("seeds of each day (the day's own by default)");
    command
        .addArgument("--without")
        .nargs("+")
        .choices(Mechanism.names())
        .setDefault(Mechanism.names())
        .help("mechanisms to disable, one at a time; all by default");
    command
        .addArgument("--option")
        .action(Arguments.append())
        .setDefault(new ArrayList<String>())
        .help("an option for the bench, as in --option=--no-cpu; repeatable");
    command
        .addArgument("--repository")
        .setDefault(".")
        .help("the repository whose last commit is run");
    command
        .addArgument("--out")
        .required(true)
        .help("output folder, outside the system's temporary folder");
  }

  private void scale() {
    Subparser command =
        command(
            "scale",
            "what each role takes as one size after the other grows, with hollow nodes and replicas");
    seed(command);
    number(command, "--seconds", 10, "how long each point is measured");
    command
        .addArgument("--sizes")
        .setDefault("")
        .help("comma-separated sizes to vary; all by default");
    command
        .addArgument("--points")
        .action(Arguments.append())
        .setDefault(new ArrayList<String>())
        .metavar("SIZE=N,N,...")
        .help("points of a size in place of its defaults");
    command
        .addArgument("--roles")
        .setDefault("")
        .help("comma-separated roles to report; all by default");
    command
        .addArgument("--quick")
        .action(Arguments.storeTrue())
        .help("measure two points per size");
    out(command);
  }
}

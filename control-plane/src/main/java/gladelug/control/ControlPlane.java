package gladelug.control;

import gladelug.common.FatalFailure;
import gladelug.common.Log;
import gladelug.common.Program;
import gladelug.common.Result;
import gladelug.common.ServiceRegistry;
import gladelug.common.Settings;
import gladelug.common.configuration.Configuration;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.InboundTransport;
import gladelug.common.disk.DataFolder;
import gladelug.common.message.Shuffle;
import gladelug.common.view.PartialViewService;
import gladelug.control.core.BootstrapMembers;
import gladelug.control.core.CoreService;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.config.MemberSet;
import gladelug.control.instances.HttpInstanceListSource;
import gladelug.control.instances.InstanceListWatcher;
import gladelug.control.operator.OperatorEndpoint;
import gladelug.control.rollout.HttpReplicaCommands;
import gladelug.control.rollout.ReplicaController;
import gladelug.control.rollout.WeightRollout;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Entry point of the control-plane program. The command {@code bootstrap} prepares the data folder
 * of one of the first members of a new fleet; {@code run} serves from a data folder that was
 * bootstrapped or that belongs to a member that joins an existing fleet.
 */
public final class ControlPlane {
  private static final String PROGRAM = "control-plane";
  private static final String BOOTSTRAP = "bootstrap";
  private static final String RUN = "run";

  /** The former name of {@link #BOOTSTRAP}, accepted for one release. */
  private static final String FORMER_BOOTSTRAP = "found";

  private static final int MAX_BOOTSTRAP_MEMBERS = 9;
  private static final int STOP_TIMEOUT_MS = 3000;

  private ControlPlane() {}

  /** Parses the command line, then bootstraps or serves; exits the process on any error. */
  public static void main(String[] args) {
    Namespace arguments = Program.parseArguments(argumentParser(), args);
    String command = arguments.getString("command");
    if (command.equals(FORMER_BOOTSTRAP))
      printNotice(ControlPlaneSettings.renameNotice("command " + FORMER_BOOTSTRAP, BOOTSTRAP));
    ControlPlaneSettings settings = Program.valueOrExit(PROGRAM, parseSettings(arguments));
    Log.setUp(settings.name(), Program.parseLogLevel(settings.logLevel()), System.out);
    try {
      if (command.equals(RUN)) run(settings);
      else bootstrap(settings);
    } catch (ServiceRegistry.StartupException e) {
      System.err.println(PROGRAM + ": " + e.getMessage());
      System.exit(Program.EXIT_CANNOT_START);
    }
  }

  private static void printNotice(String line) {
    System.err.println(PROGRAM + ": " + line);
  }

  private static ArgumentParser argumentParser() {
    ArgumentParser parser =
        ArgumentParsers.newFor(PROGRAM)
            .build()
            .defaultHelp(true)
            .description("Tracks which servers and nodes exist and stores the state they share.");
    var commands = parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    for (String command : List.of(BOOTSTRAP, FORMER_BOOTSTRAP, RUN)) {
      Subparser commandParser = commands.addParser(command).help(commandHelp(command));
      commandParser
          .addArgument("--settings")
          .metavar("FILE")
          .help("settings file in JSON; flags take precedence");
      for (String name : ControlPlaneSettings.NAMES)
        commandParser
            .addArgument(Settings.flag(name))
            .dest(name)
            .metavar("VALUE")
            .help(ControlPlaneSettings.helpText(name));
    }
    return parser;
  }

  private static String commandHelp(String command) {
    return switch (command) {
      case BOOTSTRAP -> "prepare the data folder of a first member of a new fleet";
      case FORMER_BOOTSTRAP -> "former name of " + BOOTSTRAP + ", for one release";
      default -> "serve";
    };
  }

  private static Result<ControlPlaneSettings> parseSettings(Namespace arguments) {
    Map<String, String> flags = new HashMap<>();
    for (String name : ControlPlaneSettings.NAMES) flags.put(name, arguments.getString(name));
    return ControlPlaneSettings.parse(
        arguments.getString("settings"), flags, ControlPlane::printNotice);
  }

  /**
   * Prepares the data folder of a first member; fails without changes if the folder already has an
   * identity.
   */
  static void bootstrap(ControlPlaneSettings settings) {
    checkBootstrapMembers(settings);
    String data = settings.dataFolder();
    try (DataFolder folder = new DataFolder(Path.of(data), settings.ringFileMb() << 20)) {
      String identity = folder.readIdentity();
      if (identity != null)
        throw new ServiceRegistry.StartupException(
            "data folder "
                + data
                + " already belongs to "
                + (DiskIdentity.parse(identity) instanceof Result.Good<DiskIdentity> known
                    ? known.value().name()
                    : "an unknown member; its identity.json cannot be read"));
      CoreDataFolder.create(folder, settings.name(), settings.bootstrapMembers());
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + data + " cannot be prepared: " + e, e);
    }
    Log.event("bootstrapped", "name", settings.name(), "data", data);
  }

  private static void checkBootstrapMembers(ControlPlaneSettings settings) {
    List<MemberSet.Member> members = settings.bootstrapMembers();
    long names = members.stream().map(MemberSet.Member::name).distinct().count();
    if (names < 1
        || names > MAX_BOOTSTRAP_MEMBERS
        || names != members.size()
        || members.stream().noneMatch(member -> member.name().equals(settings.name())))
      throw new ServiceRegistry.StartupException(
          "a new fleet needs 1 to "
              + MAX_BOOTSTRAP_MEMBERS
              + " bootstrap members with distinct names, including this one; set "
              + Settings.flag(ControlPlaneSettings.BOOTSTRAP_MEMBERS));
  }

  /** Opens the data folder, creates the services and starts them; returns once they are running. */
  static void run(ControlPlaneSettings settings) {
    CoreDataFolder disk =
        CoreDataFolder.open(
            settings.name(), settings.dataFolder(), settings.ringFileMb(), List.of());
    Vertx vertx = InboundTransport.createVertx(new VertxOptions());
    vertx.getDelegate().exceptionHandler(FatalFailure::onUncaught);
    Program.run(PROGRAM, createServices(vertx, settings, disk), STOP_TIMEOUT_MS);
  }

  /** Creates all services of a control-plane machine in the order in which they start. */
  private static ServiceRegistry createServices(
      Vertx vertx, ControlPlaneSettings settings, CoreDataFolder disk) {
    return new ServiceRegistry()
        .add(
            "doors",
            new ConnectionAcceptor(
                vertx, settings.recordsAddress(), settings.bindAddress(), settings.name()))
        .add(
            "views",
            new PartialViewService(vertx, createDescriptor(settings), settings.seedAddresses()))
        .add("core", createCore(vertx, settings, disk))
        .add(
            "platform-watch",
            new InstanceListWatcher(
                vertx,
                local -> new HttpInstanceListSource(vertx, local, settings.platformAddress())))
        .add(
            "commander",
            new ReplicaController(
                vertx,
                settings.name(),
                new WeightRollout(settings.cutoffMs()),
                local -> new HttpReplicaCommands(vertx, local)))
        .add("operator-endpoint", new OperatorEndpoint(vertx, settings.operatorAddress()));
  }

  private static Shuffle.Descriptor createDescriptor(ControlPlaneSettings settings) {
    return new Shuffle.Descriptor(
        settings.name(),
        "control",
        settings.recordsAddress().toString(),
        settings.operatorAddress().toString(),
        settings.zone(),
        0,
        0);
  }

  private static CoreService createCore(
      Vertx vertx, ControlPlaneSettings settings, CoreDataFolder disk) {
    return new CoreService(
        vertx,
        disk.ring(),
        QuorumConfig.DEFAULT,
        new MemberSet.Member(
            settings.name(), disk.diskId(), settings.recordsAddress(), settings.operatorAddress()),
        settings.seedAddresses(),
        settings.cutoffMs(),
        disk.bootstrapMembers().isEmpty() ? null : new BootstrapMembers(disk.bootstrapMembers()),
        new ControlOwnerTasks(Configuration::parse),
        ControlPlane::haltAfterDiskFailure);
  }

  /**
   * Halts the process at once, without a regular shutdown: after a disk failure, state that this
   * member has promised to keep may be missing.
   */
  private static void haltAfterDiskFailure(String problem) {
    System.err.println(PROGRAM + ": the disk failed, so this member halts: " + problem);
    Runtime.getRuntime().halt(Program.EXIT_CANNOT_START);
  }
}

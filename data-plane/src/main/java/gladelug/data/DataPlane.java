package gladelug.data;

import gladelug.common.Address;
import gladelug.common.Clock;
import gladelug.common.FatalFailure;
import gladelug.common.Log;
import gladelug.common.Program;
import gladelug.common.Result;
import gladelug.common.ServiceRegistry;
import gladelug.common.Settings;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.connection.InboundTransport;
import gladelug.common.message.Shuffle;
import gladelug.common.view.PartialViewService;
import gladelug.data.decisions.DecisionLogService;
import gladelug.data.index.CacheEventFeed;
import gladelug.data.index.CuckooSummary;
import gladelug.data.index.FleetSummary;
import gladelug.data.index.HttpHolderFeeds;
import gladelug.data.index.IndexService;
import gladelug.data.relay.ChoiceMode;
import gladelug.data.relay.NativeProtocol;
import gladelug.data.relay.RelayService;
import gladelug.data.relay.RelaySettings;
import gladelug.data.state.StateSubscriptionService;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The data-plane program: the relay command forwards requests to replicas, the index command
 * maintains the Cuckoo Summary of all holders. Neither uses a disk.
 */
public final class DataPlane {
  private static final Map<String, ChoiceMode> CHOICE_MODES =
      new TreeMap<>(
          Map.of(
              "summary",
              ChoiceMode.SUMMARY,
              "least-occupancy",
              ChoiceMode.LEAST_LOAD,
              "holder-always",
              ChoiceMode.HOLDER_ALWAYS));
  private static final String[] COMMON_FLAGS = {
    "name", "domain", "records", "operator", "bind", "seeds", "reasonsMb", "log"
  };
  private static final String[] RELAY_FLAGS = {"callers", "index", "backlog", "choice", "division"};
  private static final String[] INDEX_FLAGS = {"fingerprintBits", "mostHolders", "listPauseMs"};

  /** The settings of a relay or an index; those of the other command are null, empty or 0. */
  record DataPlaneSettings(
      String name,
      String zone,
      Address recordsAddress,
      Address operatorAddress,
      BindAddress bindAddress,
      List<Address> seeds,
      String logLevel,
      Address callerAddress,
      Address indexAddress,
      int maxQueued,
      String choice,
      String division,
      int fingerprintBits,
      int maxHolders,
      long listPauseMs,
      int decisionLogMib) {}

  private DataPlane() {}

  static Result<DataPlaneSettings> parseSettings(
      boolean relay, String file, Map<String, String> flags) {
    return Settings.open(file, flags)
        .flatMap(
            settings -> {
              Address records = settings.address("records");
              DataPlaneSettings parsed =
                  new DataPlaneSettings(
                      settings.name("name"),
                      settings.text("domain", ""),
                      records,
                      settings.address("operator"),
                      BindAddress.of(settings, records),
                      settings.addresses("seeds"),
                      settings.text("log", "info"),
                      relay ? settings.address("callers") : null,
                      relay ? settings.address("index", null) : null,
                      relay ? (int) settings.integer("backlog", 256, 1, 100_000) : 0,
                      relay ? settings.text("choice", "summary") : "",
                      relay ? settings.text("division", "fleet") : "",
                      relay ? 0 : (int) settings.integer("fingerprintBits", 16, 4, 25),
                      relay
                          ? 0
                          : (int)
                              settings.integer(
                                  "mostHolders",
                                  FleetSummary.DEFAULT_MAX_HOLDERS,
                                  1,
                                  CuckooSummary.MAX_HOLDERS),
                      relay
                          ? 0
                          : settings.integer(
                              "listPauseMs", CacheEventFeed.MIN_LIST_INTERVAL_MS, 0, 3_600_000),
                      (int) settings.integer("reasonsMb", 16, 1, 4096));
              if (!relay
                  && parsed.fingerprintBits + CuckooSummary.holderBits(parsed.maxHolders) > 31)
                settings.findings.add(
                    Settings.flag("fingerprintBits"),
                    "at most "
                        + (31 - CuckooSummary.holderBits(parsed.maxHolders))
                        + " with a maximum of "
                        + parsed.maxHolders
                        + " holders");
              if (parsed.seeds.isEmpty())
                settings.findings.add(
                    "--seeds", "at least one records address of another process is required");
              if (parsed.seeds.contains(parsed.recordsAddress))
                settings.findings.add(
                    "--seeds",
                    "must not contain "
                        + parsed.recordsAddress
                        + ", this process's own records address");
              if (relay && !CHOICE_MODES.containsKey(parsed.choice))
                settings.findings.add(
                    "--choice",
                    "must be one of " + CHOICE_MODES.keySet() + ", not " + parsed.choice);
              if (relay && !parsed.division.equals("fleet") && !parsed.division.equals("alone"))
                settings.findings.add(
                    "--division", "must be fleet or alone, not " + parsed.division);
              return settings.build(() -> parsed);
            });
  }

  public static void main(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("data-plane")
            .build()
            .defaultHelp(true)
            .description(
                "Forwards requests to replicas, and indexes which prefix blocks each replica keeps.");
    var subparsers = parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    Map<String, String[]> flags = Map.of("relay", RELAY_FLAGS, "index", INDEX_FLAGS);
    for (String command : List.of("relay", "index")) {
      Subparser subparser =
          subparsers
              .addParser(command)
              .help(
                  command.equals("relay")
                      ? "forward requests to replicas"
                      : "index the prefix blocks that holders keep");
      subparser
          .addArgument("--settings")
          .metavar("FILE")
          .help("settings file in JSON; flags take precedence");
      for (String flag : COMMON_FLAGS)
        subparser.addArgument(Settings.flag(flag)).dest(flag).metavar("VALUE").help(help(flag));
      for (String flag : flags.get(command))
        subparser.addArgument(Settings.flag(flag)).dest(flag).metavar("VALUE").help(help(flag));
    }
    Namespace arguments = Program.parseArguments(parser, args);
    boolean relay = arguments.getString("command").equals("relay");
    Map<String, String> given = new HashMap<>();
    for (String flag : COMMON_FLAGS) given.put(flag, arguments.getString(flag));
    for (String flag : relay ? RELAY_FLAGS : INDEX_FLAGS)
      given.put(flag, arguments.getString(flag));
    run(
        relay,
        Program.valueOrExit(
            "data-plane", parseSettings(relay, arguments.getString("settings"), given)));
  }

  private static String help(String flag) {
    return switch (flag) {
      case "name" -> "name of this process in the fleet";
      case "domain" -> "the domain (zone) of this process";
      case "records" -> "IP:PORT for connections between processes";
      case "bind" ->
          "local IP address to listen on and connect from, if it differs from the advertised one";
      case "operator" -> "IP:PORT of the status endpoint for operators and the platform";
      case "seeds" -> "IP:PORT,... of other processes' records addresses";
      case "reasonsMb" -> "memory for decision records of other relays, in MiB";
      case "log" -> "fine, info or warning";
      case "callers" -> "IP:PORT to accept callers on";
      case "index" -> "IP:PORT of the index process on this machine, if there is one";
      case "backlog" -> "maximum number of queued requests per service";
      case "mostHolders" -> "maximum number of replicas and stores in the index, up to 1024";
      case "listPauseMs" ->
          "minimum interval between two loads of a replica's block list, in milliseconds";
      case "division" ->
          "who allocates the capacity of a full fleet: fleet, or alone for comparisons";
      case "choice" ->
          "how a replica is chosen: summary; least-occupancy and holder-always are for comparisons";
      default -> "width of a fingerprint in the Cuckoo Summary, in bits";
    };
  }

  static void run(boolean relay, DataPlaneSettings settings) {
    Log.setUp(settings.name, Program.parseLogLevel(settings.logLevel), System.out);
    Vertx vertx = InboundTransport.createVertx(new VertxOptions());
    vertx.getDelegate().exceptionHandler(FatalFailure::onUncaught);
    Clock clock = Clock.monotonic();
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            settings.name,
            relay ? "relay" : "index",
            settings.recordsAddress.toString(),
            settings.operatorAddress.toString(),
            settings.zone,
            0,
            0);
    DecisionLogService decisionLog =
        new DecisionLogService(
            vertx,
            clock,
            settings.name,
            settings.recordsAddress.host(),
            (long) settings.decisionLogMib << 20);
    ServiceRegistry registry =
        new ServiceRegistry()
            .add(
                "doors",
                new ConnectionAcceptor(
                    vertx, settings.recordsAddress, settings.bindAddress, settings.name))
            .add("views", new PartialViewService(vertx, self, settings.seeds))
            .add("news", new StateSubscriptionService(vertx, clock, self, settings.seeds))
            .add("reasons", decisionLog);
    if (relay) {
      RelayService relayService =
          new RelayService(
              vertx,
              clock,
              settings.name,
              settings.zone,
              new NativeProtocol(settings.callerAddress),
              settings.indexAddress,
              RelaySettings.builder()
                  .maxQueuedRequests(settings.maxQueued)
                  .localSharesOnly(settings.division.equals("alone"))
                  .build(),
              CHOICE_MODES.get(settings.choice),
              RelayService.ShutdownTimes.DEFAULT);
      registry
          .add(
              "status-door",
              new StatusEndpoint(
                  vertx,
                  settings.operatorAddress,
                  relayService::unreadyReason,
                  relayService::status,
                  router -> {
                    relayService.registerRoutes(router);
                    decisionLog.addRoutes(router);
                  }))
          .add("relay", relayService);
    } else {
      IndexService indexService =
          new IndexService(
              clock,
              settings.fingerprintBits,
              settings.maxHolders,
              HttpHolderFeeds.factory(
                  vertx, CacheEventFeed.Policy.STRICT.withMinListIntervalMs(settings.listPauseMs)));
      registry
          .add(
              "status-door",
              new StatusEndpoint(
                  vertx,
                  settings.operatorAddress,
                  () -> "",
                  indexService::status,
                  decisionLog::addRoutes))
          .add("index", indexService);
    }
    Program.run("data-plane", registry, RelayService.DRAIN_MS + 2000);
  }
}

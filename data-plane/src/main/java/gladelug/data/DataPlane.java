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
 * The program data-plane: `relay` carries requests, `index` keeps the Cuckoo Summary of all
 * holders. Neither has a disk.
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
              DataPlaneSettings p =
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
              if (!relay && p.fingerprintBits + CuckooSummary.holderBits(p.maxHolders) > 31)
                settings.findings.add(
                    Settings.flag("fingerprintBits"),
                    "at most "
                        + (31 - CuckooSummary.holderBits(p.maxHolders))
                        + " where there may be "
                        + p.maxHolders
                        + " holders");
              if (p.seeds.isEmpty())
                settings.findings.add(
                    "--seeds", "at least one records address of another process is needed");
              if (p.seeds.contains(p.recordsAddress))
                settings.findings.add(
                    "--seeds",
                    "name this process itself, "
                        + p.recordsAddress
                        + "; a seed is another process");
              if (relay && !CHOICE_MODES.containsKey(p.choice))
                settings.findings.add(
                    "--choice", "must be one of " + CHOICE_MODES.keySet() + ", not " + p.choice);
              if (relay && !p.division.equals("fleet") && !p.division.equals("alone"))
                settings.findings.add("--division", "must be fleet or alone, not " + p.division);
              return settings.build(() -> p);
            });
  }

  public static void main(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("data-plane")
            .build()
            .defaultHelp(true)
            .description("Carries orders to replicas, and indexes which of them keep what.");
    var subs = parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    Map<String, String[]> flags = Map.of("relay", RELAY_FLAGS, "index", INDEX_FLAGS);
    for (String c : List.of("relay", "index")) {
      Subparser p =
          subs.addParser(c).help(c.equals("relay") ? "carry orders" : "index kept prefix blocks");
      p.addArgument("--settings").metavar("FILE").help("settings file in JSON; flags go first");
      for (String f : COMMON_FLAGS)
        p.addArgument(Settings.flag(f)).dest(f).metavar("VALUE").help(help(f));
      for (String f : flags.get(c))
        p.addArgument(Settings.flag(f)).dest(f).metavar("VALUE").help(help(f));
    }
    Namespace arguments = Program.parseArguments(parser, args);
    boolean relay = arguments.getString("command").equals("relay");
    Map<String, String> given = new HashMap<>();
    for (String f : COMMON_FLAGS) given.put(f, arguments.getString(f));
    for (String f : relay ? RELAY_FLAGS : INDEX_FLAGS) given.put(f, arguments.getString(f));
    run(
        relay,
        Program.valueOrExit(
            "data-plane", parseSettings(relay, arguments.getString("settings"), given)));
  }

  private static String help(String f) {
    return switch (f) {
      case "name" -> "this process's name in the fleet";
      case "domain" -> "the domain (zone) it stands in";
      case "records" -> "IP:PORT for circuits between processes";
      case "bind" -> "IP number to listen on and call from, where it isn't the advertised one";
      case "operator" -> "IP:PORT for operators and the platform";
      case "seeds" -> "IP:PORT,... of other processes' records addresses";
      case "reasonsMb" -> "MiB of other relays' decision records kept here";
      case "log" -> "fine, info or warning";
      case "callers" -> "IP:PORT for callers";
      case "index" -> "IP:PORT of this machine's index process, where it has one";
      case "backlog" -> "how many orders of a service may wait here";
      case "mostHolders" -> "how many replicas and stores the index has room for, up to 1024";
      case "listPauseMs" -> "milliseconds between two loads of one replica's block list, at least";
      case "division" -> "who divides a full fleet: fleet, or alone for comparisons";
      case "choice" ->
          "how a replica is chosen: summary; least-occupancy and holder-always are for comparisons";
      default -> "width f of a fingerprint in the Cuckoo Summary";
    };
  }

  static void run(boolean relay, DataPlaneSettings p) {
    Log.setUp(p.name, Program.parseLogLevel(p.logLevel), System.out);
    Vertx vertx = Vertx.vertx();
    vertx.getDelegate().exceptionHandler(FatalFailure::onUncaught);
    Clock clock = Clock.monotonic();
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            p.name,
            relay ? "relay" : "index",
            p.recordsAddress.toString(),
            p.operatorAddress.toString(),
            p.zone,
            0,
            0);
    DecisionLogService reasons =
        new DecisionLogService(
            vertx, clock, p.name, p.recordsAddress.host(), (long) p.decisionLogMib << 20);
    ServiceRegistry registry =
        new ServiceRegistry()
            .add("doors", new ConnectionAcceptor(vertx, p.recordsAddress, p.bindAddress, p.name))
            .add("views", new PartialViewService(vertx, self, p.seeds))
            .add("news", new StateSubscriptionService(vertx, clock, self, p.seeds))
            .add("reasons", reasons);
    if (relay) {
      RelayService r =
          new RelayService(
              vertx,
              clock,
              p.name,
              p.zone,
              new NativeProtocol(p.callerAddress),
              p.indexAddress,
              RelaySettings.builder()
                  .maxQueuedRequests(p.maxQueued)
                  .localSharesOnly(p.division.equals("alone"))
                  .build(),
              CHOICE_MODES.get(p.choice),
              RelayService.ShutdownTimes.DEFAULT);
      registry
          .add(
              "status-door",
              new StatusEndpoint(
                  vertx,
                  p.operatorAddress,
                  r::unreadyReason,
                  r::status,
                  t -> {
                    r.registerRoutes(t);
                    reasons.addRoutes(t);
                  }))
          .add("relay", r);
    } else {
      IndexService x =
          new IndexService(
              clock,
              p.fingerprintBits,
              p.maxHolders,
              HttpHolderFeeds.factory(
                  vertx, CacheEventFeed.Policy.STRICT.minListIntervalMs(p.listPauseMs)));
      registry
          .add(
              "status-door",
              new StatusEndpoint(vertx, p.operatorAddress, () -> "", x::status, reasons::addRoutes))
          .add("index", x);
    }
    Program.run("data-plane", registry, RelayService.DRAIN_MS + 2000);
  }
}

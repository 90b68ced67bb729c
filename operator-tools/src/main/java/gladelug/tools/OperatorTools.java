package gladelug.tools;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import gladelug.common.Address;
import gladelug.common.Finding;
import gladelug.common.Findings;
import gladelug.common.Program;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.StateKeys;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Entry point of the operator commands. Every command exits with 0 on success, 1 when the request
 * was refused or its subject is unknown, 2 on invalid usage, and 3 when no address responded.
 */
public final class OperatorTools {
  private OperatorTools() {}

  private static final String EXPLAIN = "explain-request",
      SEND_CONFIGURATION = "send-configuration",
      SHOW_CONFIGURATION = "show-configuration";

  /** Former command names, accepted for one release so that operators' scripts keep working. */
  private static final Map<String, String> FORMER_COMMANDS =
      Map.of(
          "explain-order", EXPLAIN,
          "send-policy", SEND_CONFIGURATION,
          "show-policy", SHOW_CONFIGURATION);

  /** The former name of the configuration key, accepted by explain-request for one release. */
  private static final String FORMER_CONFIGURATION = "policy";

  /** Keys of the control state that explain-request accepts, by their names on the command line. */
  private static final Map<String, String> STATE_KEYS =
      Map.of(
          "configuration",
          StateKeys.CONFIGURATION,
          FORMER_CONFIGURATION,
          StateKeys.CONFIGURATION,
          "weights",
          StateKeys.WEIGHTS);

  private static final String REQUESTS_PATH = "/operator/requests/",
      RECORD_COPIES_PATH = "/operator/reasons/";
  private static final String CONFIGURATION_PATH = "/v1/configuration";

  /** Adds a command with the options --control and --json. */
  private static Subparser addCommand(Subparsers subparsers, String name, String help) {
    Subparser parser = subparsers.addParser(name).help(help).description(help).defaultHelp(true);
    FORMER_COMMANDS.forEach(
        (former, current) -> {
          if (current.equals(name)) parser.aliases(former);
        });
    parser
        .addArgument("--control")
        .required(true)
        .metavar("IP:PORT,...")
        .help("operator addresses of control machines");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    return parser;
  }

  public static void main(String[] args) {
    Logger.getLogger("").setLevel(Level.SEVERE);
    ArgumentParser parser =
        ArgumentParsers.newFor("operator-tools")
            .build()
            .defaultHelp(true)
            .description("Operator commands of a gladelug fleet.");
    var subparsers = parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    Subparser command =
        subparsers
            .addParser(EXPLAIN)
            .aliases("explain-order")
            .defaultHelp(true)
            .help(
                "explain how a request was routed, or show the history of a number of the control state");
    command
        .addArgument("--control")
        .metavar("IP:PORT,...")
        .help("operator addresses of control machines");
    command
        .addArgument("--nodes")
        .metavar("IP:PORT,...")
        .help("operator addresses of relays and indexes to query directly, instead of --control");
    command.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    command
        .addArgument("what")
        .nargs("+")
        .metavar("REQUEST | configuration N | weights N")
        .help(
            "a request id that a relay assigned (header Gladelug-Request) or, with --nodes, the caller's own id; "
                + "or a key and its number");
    command = addCommand(subparsers, SEND_CONFIGURATION, "send a complete configuration");
    command.addArgument("file");
    command
        .addArgument("--based-on")
        .required(true)
        .metavar("NUMBER|*")
        .help("the number that the file is based on, or * to replace any configuration");
    addCommand(subparsers, SHOW_CONFIGURATION, "print the configuration and its number");
    command = addCommand(subparsers, "name-weights", "set the weights that a model service runs");
    command.addArgument("service");
    command.addArgument("weights");
    command =
        addCommand(
            subparsers,
            "show-status",
            "show the owner of each key and the numbers that each node holds");
    command
        .addArgument("--nodes")
        .action(Arguments.storeTrue())
        .help("also query each node: leases, shares, replicas, health of the index");
    command =
        addCommand(
            subparsers,
            "swap-core-machine",
            "replace a member of the core with a machine that requests to join");
    command.addArgument("out");
    command.addArgument("in");
    command =
        subparsers
            .addParser("import-openapi")
            .help(
                "print routes for the operations of an OpenAPI file,"
                    + " to be reviewed and copied into a configuration");
    command.addArgument("file");
    command
        .addArgument("--service")
        .required(true)
        .help("the model service that the routes lead to");
    subparsers
        .addParser("hash-key")
        .help("read a caller's key from standard input and print its hash for a configuration");
    Namespace arguments = Program.parseArguments(parser, args);
    System.exit(run(arguments));
  }

  private static int run(Namespace arguments) {
    String command =
        FORMER_COMMANDS.getOrDefault(
            arguments.getString("command"), arguments.getString("command"));
    if (command.equals("hash-key")) return hashKey();
    if (command.equals("import-openapi"))
      return importOpenApi(arguments.getString("file"), arguments.getString("service"));
    Findings findings = new Findings();
    boolean isDirect = command.equals(EXPLAIN) && arguments.getString("nodes") != null;
    String addressList = isDirect ? arguments.getString("nodes") : arguments.getString("control");
    if (addressList == null)
      findings.add("--control", "is required, or --nodes for explain-request");
    List<Address> addresses = new ArrayList<>();
    for (String text : addressList == null ? new String[0] : addressList.split(","))
      addresses.add(Address.read(text.trim(), isDirect ? "--nodes" : "--control", findings));
    if (isDirect && arguments.getList("what").size() != 1)
      findings.add("--nodes", "takes exactly one request id");
    if (!findings.isEmpty()) {
      System.err.print(findings);
      return Program.EXIT_BAD_USAGE;
    }
    boolean json = arguments.getBoolean("json");
    try (OperatorHttpClient client = new OperatorHttpClient()) {
      return switch (command) {
        case EXPLAIN ->
            isDirect
                ? explainFromNodes(
                    client, addresses, arguments.<String>getList("what").get(0), json)
                : explain(client, addresses, arguments.getList("what"), json);
        case SEND_CONFIGURATION ->
            sendConfiguration(
                client,
                addresses,
                arguments.getString("file"),
                arguments.getString("based_on"),
                json);
        case SHOW_CONFIGURATION -> print(client.get(addresses, CONFIGURATION_PATH), true);
        case "name-weights" ->
            print(
                client.send(
                    HttpMethod.POST,
                    addresses,
                    "/v1/weights",
                    Json.object()
                        .add("service", arguments.getString("service"))
                        .add("weights", arguments.getString("weights"))
                        .toString(),
                    Map.of()),
                json);
        case "show-status" -> showStatus(client, addresses, arguments.getBoolean("nodes"), json);
        default ->
            print(
                client.send(
                    HttpMethod.POST,
                    addresses,
                    "/v1/core/swap",
                    Json.object()
                        .add("out", arguments.getString("out"))
                        .add("in", arguments.getString("in"))
                        .toString(),
                    Map.of()),
                json);
      };
    }
  }

  /** Returns the text of a file, or null after printing an error. */
  private static String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      System.err.println("operator-tools: " + file + " cannot be read");
      return null;
    }
  }

  private static int importOpenApi(String file, String service) {
    String text = readFile(file);
    if (text == null) return Program.EXIT_BAD_USAGE;
    Findings findings = new Findings();
    JsonObject json = OpenApiImport.convert(text, service, findings);
    System.out.println(json.toString(WriterConfig.PRETTY_PRINT));
    System.err.print(findings);
    return json.get("mappings").asArray().isEmpty() ? 1 : 0;
  }

  private static int hashKey() {
    try {
      String text = new String(System.in.readAllBytes(), StandardCharsets.UTF_8).strip();
      if (text.isEmpty()) {
        System.err.println("operator-tools: no key on standard input");
        return Program.EXIT_BAD_USAGE;
      }
      System.out.println("sha256:" + Configuration.hashKey(text));
      return 0;
    } catch (IOException e) {
      System.err.println("operator-tools: standard input cannot be read");
      return Program.EXIT_BAD_USAGE;
    }
  }

  private static int exitCode(OperatorHttpClient.Response response) {
    return response.status() == 0 ? Program.EXIT_CANNOT_START : response.isSuccess() ? 0 : 1;
  }

  private static int print(OperatorHttpClient.Response response, boolean json) {
    if (json) System.out.println(response.body().toString(WriterConfig.PRETTY_PRINT));
    else {
      StringBuilder builder = new StringBuilder();
      for (JsonObject.Member entry : response.body()) {
        if (entry.getName().equals("findings"))
          for (JsonValue value : entry.getValue().asArray())
            builder
                .append("  ")
                .append(value.asObject().getString("place", ""))
                .append(": ")
                .append(value.asObject().getString("what", ""))
                .append('\n');
        else
          builder
              .append(entry.getName())
              .append(": ")
              .append(
                  entry.getValue().isString()
                      ? entry.getValue().asString()
                      : entry.getValue().toString())
              .append('\n');
      }
      (response.isSuccess() ? System.out : System.err).print(builder);
    }
    return exitCode(response);
  }

  private static int sendConfiguration(
      OperatorHttpClient client, List<Address> control, String file, String basedOn, boolean json) {
    String text = readFile(file);
    if (text == null) return Program.EXIT_BAD_USAGE;
    if (Configuration.parse(text) instanceof Result.Bad<Configuration> invalid) {
      System.err.println(file + " was not sent because it is invalid:");
      for (Finding finding : invalid.findings()) System.err.println("  " + finding);
      return 1;
    }
    return print(
        client.send(
            HttpMethod.POST, control, CONFIGURATION_PATH, text, Map.of("If-Match", basedOn)),
        json);
  }

  private static int showStatus(
      OperatorHttpClient client, List<Address> control, boolean includeNodes, boolean json) {
    OperatorHttpClient.Response statusResponse = client.get(control, "/v1/status");
    if (!statusResponse.isSuccess()) return print(statusResponse, json);
    JsonObject nodeStatuses = Json.object();
    if (includeNodes)
      for (JsonValue value : statusResponse.body().get("nodes").asArray()) {
        JsonObject node = value.asObject();
        nodeStatuses.set(
            node.getString("name", ""),
            client
                .get(List.of(Address.of(node.getString("operator", ""))), "/operator/status")
                .body());
      }
    if (json) {
      System.out.println(
          (includeNodes ? statusResponse.body().add("each", nodeStatuses) : statusResponse.body())
              .toString(WriterConfig.PRETTY_PRINT));
      return 0;
    }
    System.out.print(Explanation.describeFleet(statusResponse.body()));
    for (JsonObject.Member entry : nodeStatuses)
      System.out.print(Explanation.describeNode(entry.getName(), entry.getValue().asObject()));
    return 0;
  }

  /**
   * Explains a request from the given nodes: from the relay that took it, else from a node that
   * keeps a copy of its record. A copy of an ended request is preferred over one of a live request.
   */
  private static int explainFromNodes(
      OperatorHttpClient client, List<Address> nodes, String id, boolean json) {
    JsonObject copy = null;
    for (String path : new String[] {REQUESTS_PATH, RECORD_COPIES_PATH})
      for (Address address : nodes) {
        OperatorHttpClient.Response response = client.get(List.of(address), path + id);
        if (!response.isSuccess()) continue;
        if (path.equals(REQUESTS_PATH) && !json)
          System.out.print(Explanation.describeRequest(response.body()));
        if (path.equals(REQUESTS_PATH)) return json ? print(response, true) : 0;
        if (copy == null || copy.getString("outcome", "").equals("live")) copy = response.body();
      }
    if (copy == null) {
      System.err.println("operator-tools: none of the given nodes has a record of request " + id);
      return 1;
    }
    if (json) return print(new OperatorHttpClient.Response(200, copy), true);
    System.out.print(Explanation.describeRequest(copy));
    System.out.print(Explanation.describeRecordSource(copy, "another"));
    return 0;
  }

  /** Explains a request or a number of the control state, found through the control machines. */
  private static int explain(
      OperatorHttpClient client, List<Address> control, List<String> what, boolean json) {
    OperatorHttpClient.Response statusResponse = client.get(control, "/v1/status");
    if (!statusResponse.isSuccess()) return print(statusResponse, json);
    if (what.size() == 2
        && STATE_KEYS.containsKey(what.get(0))
        && what.get(1).matches("[0-9]{1,18}"))
      return explainNumber(
          client,
          control,
          statusResponse.body(),
          STATE_KEYS.get(what.get(0)),
          Long.parseLong(what.get(1)),
          json);
    String id = what.get(0), relay = id.contains(".") ? id.substring(0, id.indexOf('.')) : "";
    if (what.size() > 1 || relay.isEmpty()) {
      System.err.println(
          "operator-tools: expected a request id RELAY.RUN.NUMBER (header Gladelug-Order) or: "
              + "configuration N, weights N");
      return Program.EXIT_BAD_USAGE;
    }
    for (JsonValue value : statusResponse.body().get("nodes").asArray()) {
      JsonObject node = value.asObject();
      if (!node.getString("name", "").equals(relay)) continue;
      OperatorHttpClient.Response response =
          client.get(List.of(Address.of(node.getString("operator", ""))), REQUESTS_PATH + id);
      if (response.status() == 400 || response.isSuccess() && json) return print(response, json);
      if (response.isSuccess()) {
        System.out.print(Explanation.describeRequest(response.body()));
        return 0;
      }
      System.err.println(
          "operator-tools: " + relay + ": " + response.body().getString("reason", "no response"));
    }
    return explainFromCopies(client, statusResponse.body(), id, json);
  }

  /**
   * Explains a request whose relay has no record of it or does not respond, from the copies that
   * other nodes keep. A copy of an ended request is preferred over one of a live request.
   */
  private static int explainFromCopies(
      OperatorHttpClient client, JsonObject status, String id, boolean json) {
    JsonObject copy = null;
    String source = "";
    for (JsonValue value : status.get("nodes").asArray()) {
      JsonObject node = value.asObject();
      OperatorHttpClient.Response response =
          client.get(List.of(Address.of(node.getString("operator", ""))), RECORD_COPIES_PATH + id);
      if (!response.isSuccess()) continue;
      if (copy == null || copy.getString("outcome", "").equals("live")) {
        copy = response.body();
        source = node.getString("name", "");
      }
    }
    if (copy == null) {
      System.err.println(
          "operator-tools: no node that responds keeps a record of request "
              + id
              + "; its relay has been silent for a minute, or its records were too old to be kept");
      return 1;
    }
    if (json) return print(new OperatorHttpClient.Response(200, copy.add("keptBy", source)), true);
    System.out.print(Explanation.describeRequest(copy));
    System.out.print(Explanation.describeRecordSource(copy, source));
    return 0;
  }

  /**
   * Explains a number of the control state. For weights, also prints the weights that each replica
   * runs according to the first relay that responds.
   */
  private static int explainNumber(
      OperatorHttpClient client,
      List<Address> control,
      JsonObject status,
      String key,
      long number,
      boolean json) {
    JsonObject replicaWeights = Json.object();
    if (key.equals("weights"))
      for (JsonValue value : status.get("nodes").asArray()) {
        if (!value.asObject().getString("role", "").equals("relay")) continue;
        OperatorHttpClient.Response response =
            client.get(
                List.of(Address.of(value.asObject().getString("operator", ""))),
                "/operator/status");
        if (!response.isSuccess()) continue;
        for (JsonObject.Member entry : response.body().get("backends").asObject())
          replicaWeights.set(entry.getName(), entry.getValue().asObject().getString("weights", ""));
        break;
      }
    OperatorHttpClient.Response historyResponse =
        client.get(control, "/v1/" + Explanation.displayName(key) + "/numbers");
    JsonArray history =
        historyResponse.isSuccess()
            ? historyResponse.body().get("numbers").asArray()
            : new JsonArray();
    if (json) {
      System.out.println(
          Json.object()
              .add("key", key)
              .add("number", number)
              .add("status", status)
              .add("history", history)
              .add("replicasRun", replicaWeights)
              .toString(WriterConfig.PRETTY_PRINT));
      return 0;
    }
    System.out.print(Explanation.describeNumber(key, number, status));
    System.out.print(Explanation.describeHistory(key, number, history));
    for (JsonObject.Member entry : replicaWeights)
      if (!entry.getValue().asString().isEmpty())
        System.out.println("  " + entry.getName() + " runs " + entry.getValue().asString());
    return 0;
  }
}

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
 * The operators' commands, one program with a command each. explain-request is the first: why a
 * request went where it went, or who has which number of the control state. Every command ends with
 * 0 when it was done, 1 when it was answered with a refusal or unknown, 2 when it was used wrongly,
 * 3 when nobody answered.
 */
public final class OperatorTools {
  private OperatorTools() {}

  private static final String EXPLAIN = "explain-request",
      SEND_CONFIGURATION = "send-configuration",
      SHOW_CONFIGURATION = "show-configuration";

  /** Commands by the names they had before, which operators' scripts may use for one release. */
  private static final Map<String, String> EARLIER_COMMANDS =
      Map.of(
          "explain-order", EXPLAIN,
          "send-policy", SEND_CONFIGURATION,
          "show-policy", SHOW_CONFIGURATION);

  /** The earlier word for a configuration, still taken by explain-request for one release. */
  private static final String EARLIER_CONFIGURATION = "policy";

  /** The keys of the control state whose numbers can be asked about, by the words for them. */
  private static final Map<String, String> KEYS =
      Map.of(
          "configuration",
          StateKeys.CONFIGURATION,
          EARLIER_CONFIGURATION,
          StateKeys.CONFIGURATION,
          "weights",
          StateKeys.WEIGHTS);

  private static final String REQUESTS = "/operator/requests/", KEPT_RECORDS = "/operator/reasons/";
  private static final String CONFIGURATION_PATH = "/v1/configuration";

  private static Subparser command(Subparsers subs, String name, String help) {
    Subparser p = subs.addParser(name).help(help).description(help).defaultHelp(true);
    EARLIER_COMMANDS.forEach(
        (earlier, now) -> {
          if (now.equals(name)) p.aliases(earlier);
        });
    p.addArgument("--control")
        .required(true)
        .metavar("IP:PORT,...")
        .help("operator addresses of control machines");
    p.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    return p;
  }

  public static void main(String[] args) {
    Logger.getLogger("").setLevel(Level.SEVERE);
    ArgumentParser parser =
        ArgumentParsers.newFor("operator-tools")
            .build()
            .defaultHelp(true)
            .description("The operators' commands of a gladelug fleet.");
    var subs = parser.addSubparsers().dest("command").title("commands").metavar("COMMAND");
    Subparser p =
        subs.addParser(EXPLAIN)
            .aliases("explain-order")
            .defaultHelp(true)
            .help(
                "why a request went where it went; or what became of a number of the control state");
    p.addArgument("--control")
        .metavar("IP:PORT,...")
        .help("operator addresses of control machines");
    p.addArgument("--nodes")
        .metavar("IP:PORT,...")
        .help("operator addresses of relays and indexes to ask directly, in place of --control");
    p.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    p.addArgument("what")
        .nargs("+")
        .metavar("REQUEST | configuration N | weights N")
        .help(
            "the relay's id of a request, from the header Gladelug-Request, or with --nodes the caller's own; "
                + "or a key and its number");
    p = command(subs, SEND_CONFIGURATION, "send a whole configuration");
    p.addArgument("file");
    p.addArgument("--based-on")
        .required(true)
        .metavar("NUMBER|*")
        .help("the number it was based on, or * to replace whatever is there");
    command(subs, SHOW_CONFIGURATION, "print the configuration and its number");
    p = command(subs, "name-weights", "name the weights a model service is to run");
    p.addArgument("service");
    p.addArgument("weights");
    p =
        command(
            subs, "show-status", "who owns what, which nodes hold which numbers, who is behind");
    p.addArgument("--nodes")
        .action(Arguments.storeTrue())
        .help("ask each node too: leases, shares, replicas, the summary's health");
    p =
        command(
            subs,
            "swap-core-machine",
            "put a machine that asks to join in the place of a member of the core");
    p.addArgument("out");
    p.addArgument("in");
    p =
        subs.addParser("import-openapi")
            .help(
                "print the routes that an OpenAPI file's operations make,"
                    + " to be looked through and put into a configuration");
    p.addArgument("file");
    p.addArgument("--service").required(true).help("the service the routes lead to");
    subs.addParser("hash-key")
        .help(
            "print the hash of a caller's key, read from standard input, as a configuration wants it");
    Namespace arguments = Program.parseArguments(parser, args);
    System.exit(run(arguments));
  }

  private static int run(Namespace arguments) {
    String c =
        EARLIER_COMMANDS.getOrDefault(
            arguments.getString("command"), arguments.getString("command"));
    if (c.equals("hash-key")) return hashKey();
    if (c.equals("import-openapi"))
      return importOpenApi(arguments.getString("file"), arguments.getString("service"));
    Findings findings = new Findings();
    boolean direct = c.equals(EXPLAIN) && arguments.getString("nodes") != null;
    String given = direct ? arguments.getString("nodes") : arguments.getString("control");
    if (given == null) findings.add("--control", "or --nodes is needed");
    List<Address> control = new ArrayList<>();
    for (String text : given == null ? new String[0] : given.split(","))
      control.add(Address.read(text.trim(), direct ? "--nodes" : "--control", findings));
    if (direct && arguments.getList("what").size() != 1)
      findings.add("--nodes", "goes with the id of one request");
    if (!findings.isEmpty()) {
      System.err.print(findings);
      return Program.EXIT_BAD_USAGE;
    }
    boolean json = arguments.getBoolean("json");
    try (Asking a = new Asking()) {
      return switch (c) {
        case EXPLAIN ->
            direct
                ? explainAt(a, control, arguments.<String>getList("what").get(0), json)
                : explain(a, control, arguments.getList("what"), json);
        case SEND_CONFIGURATION ->
            sendConfiguration(
                a, control, arguments.getString("file"), arguments.getString("based_on"), json);
        case SHOW_CONFIGURATION -> print(a.get(control, CONFIGURATION_PATH), true);
        case "name-weights" ->
            print(
                a.call(
                    HttpMethod.POST,
                    control,
                    "/v1/weights",
                    Json.object()
                        .add("service", arguments.getString("service"))
                        .add("weights", arguments.getString("weights"))
                        .toString(),
                    Map.of()),
                json);
        case "show-status" -> status(a, control, arguments.getBoolean("nodes"), json);
        default ->
            print(
                a.call(
                    HttpMethod.POST,
                    control,
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

  /** A file's text, or null and said so. */
  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      System.err.println("operator-tools: " + file + " cannot be read");
      return null;
    }
  }

  private static int importOpenApi(String file, String service) {
    String text = read(file);
    if (text == null) return Program.EXIT_BAD_USAGE;
    Findings findings = new Findings();
    JsonObject json = OpenApiImport.read(text, service, findings);
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

  private static int end(Asking.Answer a) {
    return a.status() == 0 ? Program.EXIT_CANNOT_START : a.ok() ? 0 : 1;
  }

  private static int print(Asking.Answer a, boolean json) {
    if (json) System.out.println(a.body().toString(WriterConfig.PRETTY_PRINT));
    else {
      StringBuilder builder = new StringBuilder();
      for (JsonObject.Member m : a.body()) {
        if (m.getName().equals("findings"))
          for (JsonValue value : m.getValue().asArray())
            builder
                .append("  ")
                .append(value.asObject().getString("place", ""))
                .append(": ")
                .append(value.asObject().getString("what", ""))
                .append('\n');
        else
          builder
              .append(m.getName())
              .append(": ")
              .append(m.getValue().isString() ? m.getValue().asString() : m.getValue().toString())
              .append('\n');
      }
      (a.ok() ? System.out : System.err).print(builder);
    }
    return end(a);
  }

  private static int sendConfiguration(
      Asking a, List<Address> control, String file, String basedOn, boolean json) {
    String text = read(file);
    if (text == null) return Program.EXIT_BAD_USAGE;
    if (Configuration.parse(text) instanceof Result.Bad<Configuration> b) {
      System.err.println(file + " was not sent; found:");
      for (Finding f : b.findings()) System.err.println("  " + f);
      return 1;
    }
    return print(
        a.call(HttpMethod.POST, control, CONFIGURATION_PATH, text, Map.of("If-Match", basedOn)),
        json);
  }

  private static int status(Asking a, List<Address> control, boolean nodes, boolean json) {
    Asking.Answer s = a.get(control, "/v1/status");
    if (!s.ok()) return print(s, json);
    JsonObject each = Json.object();
    if (nodes)
      for (JsonValue value : s.body().get("nodes").asArray()) {
        JsonObject n = value.asObject();
        each.set(
            n.getString("name", ""),
            a.get(List.of(Address.of(n.getString("operator", ""))), "/operator/status").body());
      }
    if (json) {
      System.out.println(
          (nodes ? s.body().add("each", each) : s.body()).toString(WriterConfig.PRETTY_PRINT));
      return 0;
    }
    System.out.print(Explanation.ofStatus(s.body()));
    for (JsonObject.Member m : each)
      System.out.print(Explanation.ofNode(m.getName(), m.getValue().asObject()));
    return 0;
  }

  /** From the nodes themselves: whoever took the request, else whoever keeps its record. */
  private static int explainAt(Asking a, List<Address> nodes, String id, boolean json) {
    JsonObject kept = null;
    for (String path : new String[] {REQUESTS, KEPT_RECORDS})
      for (Address address : nodes) {
        Asking.Answer d = a.get(List.of(address), path + id);
        if (!d.ok()) continue;
        if (path.equals(REQUESTS) && !json) System.out.print(Explanation.ofRequest(d.body()));
        if (path.equals(REQUESTS)) return json ? print(d, true) : 0;
        if (kept == null || kept.getString("outcome", "").equals("live")) kept = d.body();
      }
    if (kept == null) {
      System.err.println("operator-tools: none of these nodes knows of request " + id);
      return 1;
    }
    if (json) return print(new Asking.Answer(200, kept), true);
    System.out.print(Explanation.ofRequest(kept));
    System.out.print(Explanation.ofKeeper(kept, "another"));
    return 0;
  }

  private static int explain(Asking a, List<Address> control, List<String> what, boolean json) {
    Asking.Answer s = a.get(control, "/v1/status");
    if (!s.ok()) return print(s, json);
    if (what.size() == 2 && KEYS.containsKey(what.get(0)) && what.get(1).matches("[0-9]{1,18}"))
      return number(a, control, s.body(), KEYS.get(what.get(0)), Long.parseLong(what.get(1)), json);
    String id = what.get(0), relay = id.contains(".") ? id.substring(0, id.indexOf('.')) : "";
    if (what.size() > 1 || relay.isEmpty()) {
      System.err.println(
          "operator-tools: a request id is RELAY.RUN.NUMBER, as in the header Gladelug-Order; or give: "
              + "configuration N, weights N");
      return Program.EXIT_BAD_USAGE;
    }
    for (JsonValue value : s.body().get("nodes").asArray()) {
      JsonObject n = value.asObject();
      if (!n.getString("name", "").equals(relay)) continue;
      Asking.Answer d = a.get(List.of(Address.of(n.getString("operator", ""))), REQUESTS + id);
      if (d.status() == 400 || d.ok() && json) return print(d, json);
      if (d.ok()) {
        System.out.print(Explanation.ofRequest(d.body()));
        return 0;
      }
      System.err.println(
          "operator-tools: " + relay + ": " + d.body().getString("reason", "no answer"));
    }
    return fromPeers(a, s.body(), id, json);
  }

  /** What the relay no longer tells: from whoever was handed its records, the newest of them. */
  private static int fromPeers(Asking a, JsonObject status, String id, boolean json) {
    JsonObject best = null;
    String whose = "";
    for (JsonValue value : status.get("nodes").asArray()) {
      JsonObject n = value.asObject();
      Asking.Answer d = a.get(List.of(Address.of(n.getString("operator", ""))), KEPT_RECORDS + id);
      if (!d.ok()) continue;
      if (best == null || best.getString("outcome", "").equals("live")) {
        best = d.body();
        whose = n.getString("name", "");
      }
    }
    if (best == null) {
      System.err.println(
          "operator-tools: nobody that answers keeps a record of request "
              + id
              + "; its relay has not asked for a minute, or its records were too old to be kept");
      return 1;
    }
    if (json) return print(new Asking.Answer(200, best.add("keptBy", whose)), true);
    System.out.print(Explanation.ofRequest(best));
    System.out.print(Explanation.ofKeeper(best, whose));
    return 0;
  }

  /** Beside the numbers held, what the replicas run, as the relays see it. */
  private static int number(
      Asking a, List<Address> control, JsonObject status, String key, long number, boolean json) {
    JsonObject runs = Json.object();
    if (key.equals("weights"))
      for (JsonValue value : status.get("nodes").asArray()) {
        if (!value.asObject().getString("role", "").equals("relay")) continue;
        Asking.Answer r =
            a.get(
                List.of(Address.of(value.asObject().getString("operator", ""))),
                "/operator/status");
        if (!r.ok()) continue;
        for (JsonObject.Member m : r.body().get("backends").asObject())
          runs.set(m.getName(), m.getValue().asObject().getString("weights", ""));
        break;
      }
    Asking.Answer h = a.get(control, "/v1/" + Explanation.nameOf(key) + "/numbers");
    JsonArray history = h.ok() ? h.body().get("numbers").asArray() : new JsonArray();
    if (json) {
      System.out.println(
          Json.object()
              .add("key", key)
              .add("number", number)
              .add("status", status)
              .add("history", history)
              .add("replicasRun", runs)
              .toString(WriterConfig.PRETTY_PRINT));
      return 0;
    }
    System.out.print(Explanation.ofNumber(key, number, status));
    System.out.print(Explanation.ofHistory(key, number, history));
    for (JsonObject.Member m : runs)
      if (!m.getValue().asString().isEmpty())
        System.out.println("  " + m.getName() + " runs " + m.getValue().asString());
    return 0;
  }
}

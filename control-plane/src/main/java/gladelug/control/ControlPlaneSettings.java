package gladelug.control;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.Settings;
import gladelug.common.connection.BindAddress;
import gladelug.control.core.config.MemberSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The settings of one control machine, from its settings file, its flags, or both.
 *
 * @param name this machine's name in the core
 * @param zone the domain it stands in; may be empty
 * @param recordsAddress advertised address for connections between processes
 * @param operatorAddress advertised address for operators and the platform
 * @param bindAddress the number that is listened on and called from
 * @param platformAddress where the platform lists replicas
 * @param seedAddresses records addresses of other processes
 * @param parseBootstrapMembers first members of a new fleet; needed by `bootstrap` only
 * @param dataFolder the data folder
 * @param logLevel fine, info or warning
 * @param cutoffMs after new weights, for how long requests may begin on the old ones, ms
 * @param ringFileMb size of each of the four ring files, MiB
 */
record ControlPlaneSettings(
    String name,
    String zone,
    Address recordsAddress,
    Address operatorAddress,
    BindAddress bindAddress,
    Address platformAddress,
    List<Address> seedAddresses,
    List<MemberSet.Member> bootstrapMembers,
    String dataFolder,
    String logLevel,
    int cutoffMs,
    int ringFileMb) {

  /** The setting that names the first members. */
  static final String BOOTSTRAP_MEMBERS = "bootstrapMembers";

  /** What {@link #BOOTSTRAP_MEMBERS} was called before; accepted for one release. */
  static final String FORMER_BOOTSTRAP_MEMBERS = "founders";

  /** All settings by the names they have in the settings file; flags are derived from them. */
  static final List<String> NAMES =
      List.of(
          "name",
          "domain",
          "records",
          "operator",
          "bind",
          "platform",
          "seeds",
          BOOTSTRAP_MEMBERS,
          FORMER_BOOTSTRAP_MEMBERS,
          "data",
          "log",
          "cutoffMs",
          "ringFileMb");

  /**
   * Reads and checks all settings; everything wrong with them is reported together.
   *
   * @param file path of the settings file, or null
   * @param flags settings given as flags, by setting name; these go first
   * @param notices gets one line for each former name in use
   */
  static Result<ControlPlaneSettings> parse(
      String file, Map<String, String> flags, Consumer<String> notices) {
    return Settings.open(file, withCurrentNames(flags, notices))
        .flatMap(settings -> parse(settings, notices));
  }

  /** The flags with the former name replaced, so that a flag of either name precedes the file. */
  private static Map<String, String> withCurrentNames(
      Map<String, String> flags, Consumer<String> notices) {
    if (flags.get(FORMER_BOOTSTRAP_MEMBERS) == null) return flags;
    notices.accept(
        renameNotice(Settings.flag(FORMER_BOOTSTRAP_MEMBERS), Settings.flag(BOOTSTRAP_MEMBERS)));
    Map<String, String> current = new HashMap<>(flags);
    String members = current.remove(FORMER_BOOTSTRAP_MEMBERS);
    if (current.get(BOOTSTRAP_MEMBERS) == null) current.put(BOOTSTRAP_MEMBERS, members);
    return current;
  }

  /** The notice that a name in use is the former one. */
  static String renameNotice(String former, String current) {
    return former + " is now " + current + "; the former name goes away with the next release";
  }

  private static Result<ControlPlaneSettings> parse(Settings settings, Consumer<String> notices) {
    List<MemberSet.Member> bootstrapMembers = parseBootstrapMembers(settings, notices);
    Address records = settings.address("records");
    ControlPlaneSettings parsed =
        new ControlPlaneSettings(
            settings.name("name"),
            settings.text("domain", ""),
            records,
            settings.address("operator"),
            BindAddress.of(settings, records),
            settings.address("platform"),
            settings.addresses("seeds"),
            bootstrapMembers,
            settings.text("data"),
            settings.text("log", "info"),
            (int) settings.integer("cutoffMs", 15_000, 1000, 20_000),
            (int) settings.integer("ringFileMb", 16, 16, 1024));
    return settings.build(() -> parsed);
  }

  private static List<MemberSet.Member> parseBootstrapMembers(
      Settings settings, Consumer<String> notices) {
    // both names are read in any case: a field that nobody read is reported as unknown
    List<String> current = settings.texts(BOOTSTRAP_MEMBERS);
    List<String> former = settings.texts(FORMER_BOOTSTRAP_MEMBERS);
    boolean formerInFile = settings.has(FORMER_BOOTSTRAP_MEMBERS);
    if (formerInFile) notices.accept(renameNotice(FORMER_BOOTSTRAP_MEMBERS, BOOTSTRAP_MEMBERS));
    boolean useFormer = formerInFile && !settings.has(BOOTSTRAP_MEMBERS);
    String setting = useFormer ? FORMER_BOOTSTRAP_MEMBERS : BOOTSTRAP_MEMBERS;
    List<MemberSet.Member> members = new ArrayList<>();
    for (String text : useFormer ? former : current) {
      String[] parts = text.split("[=/]");
      if (parts.length != 3)
        settings.findings.add(
            setting, "must be NAME=RECORDS/OPERATOR with two addresses, not " + text);
      else
        members.add(
            new MemberSet.Member(
                parts[0],
                "",
                Address.read(parts[1], setting, settings.findings),
                Address.read(parts[2], setting, settings.findings)));
    }
    return members;
  }

  /** What a setting means, for the programs' help. */
  static String helpText(String name) {
    return switch (name) {
      case "name" -> "this machine's name in the core";
      case "domain" -> "the domain (zone) it stands in";
      case "records" -> "IP:PORT for circuits between processes";
      case "bind" -> "IP number to listen on and call from, where it isn't the advertised one";
      case "operator" -> "IP:PORT for operators and the platform";
      case "platform" -> "IP:PORT where the platform lists replicas";
      case "seeds" -> "IP:PORT,... of other processes' records addresses";
      case BOOTSTRAP_MEMBERS -> "NAME=RECORDS/OPERATOR,... of all first members, three as a rule";
      case FORMER_BOOTSTRAP_MEMBERS ->
          "former name of " + Settings.flag(BOOTSTRAP_MEMBERS) + ", for one release";
      case "data" -> "the data folder";
      case "log" -> "fine, info or warning";
      case "cutoffMs" -> "after new weights, how long orders may begin on old ones";
      default -> "size of each of the four ring files, in MiB";
    };
  }
}

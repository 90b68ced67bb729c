package gladelug.control;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.connection.BindAddress;
import gladelug.control.core.config.MemberSet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The names of the program's settings, in its settings file and as flags, held against literals:
 * operators' files and scripts hold them.
 */
final class PublishedNamesTest {
  private static final String SETTINGS =
      """
      {
        "name": "core-a",
        "domain": "z1",
        "records": "10.0.0.1:4001",
        "operator": "10.0.0.1:4003",
        "bind": "10.0.0.9",
        "platform": "10.0.0.2:80",
        "seeds": ["10.0.0.3:4001"],
        "founders": ["core-a=10.0.0.1:4001/10.0.0.1:4003"],
        "data": "/data/core",
        "log": "fine",
        "cutoffMs": 12345,
        "ringFileMb": 17
      }
      """;

  private static final ControlPlaneSettings PARSED =
      new ControlPlaneSettings(
          "core-a",
          "z1",
          Address.of("10.0.0.1:4001"),
          Address.of("10.0.0.1:4003"),
          new BindAddress("10.0.0.9"),
          Address.of("10.0.0.2:80"),
          List.of(Address.of("10.0.0.3:4001")),
          List.of(
              new MemberSet.Member(
                  "core-a", "", Address.of("10.0.0.1:4001"), Address.of("10.0.0.1:4003"))),
          "/data/core",
          "fine",
          12_345,
          17);

  private static final String IS_NOW = " is now ";
  private static final String UNTIL = "; the former name goes away with the next release";

  private final List<String> notices = new ArrayList<>();
  @TempDir Path folder;

  @Test
  void theSettingsFileHasTheseNames() throws IOException {
    Path file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
    Assertions.assertEquals(
        Result.good(PARSED), ControlPlaneSettings.parse(file.toString(), Map.of(), notices::add));
    Assertions.assertEquals(List.of("founders" + IS_NOW + "bootstrapMembers" + UNTIL), notices);
  }

  @Test
  void theFirstMembersHaveANewNameInTheSettingsFile() throws IOException {
    Path file = Files.writeString(folder.resolve("settings.json"), withNewName(SETTINGS));
    Assertions.assertEquals(
        Result.good(PARSED), ControlPlaneSettings.parse(file.toString(), Map.of(), notices::add));
    Assertions.assertEquals(List.of(), notices);
  }

  private static String withNewName(String settings) {
    String renamed = settings.replace("\"founders\"", "\"bootstrapMembers\"");
    Assertions.assertNotEquals(settings, renamed);
    return renamed;
  }

  private static Map<String, String> asFlags(String settings) {
    Map<String, String> flags = new HashMap<>();
    Matcher line = Pattern.compile("\"(\\w+)\": \\[?\"?([^\",\\]\n]+)").matcher(settings);
    while (line.find()) flags.put(line.group(1), line.group(2));
    Assertions.assertEquals(12, flags.size());
    return flags;
  }

  @Test
  void theSettingsMayBeGivenAsFlagsUnderTheSameNames() {
    Assertions.assertEquals(
        Result.good(PARSED), ControlPlaneSettings.parse(null, asFlags(SETTINGS), notices::add));
    Assertions.assertEquals(
        List.of("--founders" + IS_NOW + "--bootstrap-members" + UNTIL), notices);
  }

  @Test
  void theFirstMembersHaveANewNameAsAFlag() {
    Assertions.assertEquals(
        Result.good(PARSED),
        ControlPlaneSettings.parse(null, asFlags(withNewName(SETTINGS)), notices::add));
    Assertions.assertEquals(List.of(), notices);
  }

  @Test
  void aFlagOfEitherNameGoesBeforeTheFile() throws IOException {
    for (String flag : List.of("founders", "bootstrapMembers"))
      for (String inFile : List.of(SETTINGS, withNewName(SETTINGS))) {
        Path file = Files.writeString(folder.resolve("settings.json"), inFile);
        Map<String, String> flags = Map.of(flag, "core-b=10.0.0.7:4001/10.0.0.7:4003");
        ControlPlaneSettings parsed =
            ((Result.Good<ControlPlaneSettings>)
                    ControlPlaneSettings.parse(file.toString(), flags, notices::add))
                .value();
        Assertions.assertEquals(
            List.of(
                new MemberSet.Member(
                    "core-b", "", Address.of("10.0.0.7:4001"), Address.of("10.0.0.7:4003"))),
            parsed.bootstrapMembers(),
            flag);
      }
  }

  /** What the program prints, run as a process of its own. */
  private static String runProgram(String... arguments) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                ControlPlane.class.getName()));
    command.addAll(List.of(arguments));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    process.waitFor();
    return out;
  }

  private static Set<String> flagsIn(String help) {
    return Pattern.compile("--[a-z][a-z-]*")
        .matcher(help)
        .results()
        .map(match -> match.group())
        .collect(Collectors.toCollection(TreeSet::new));
  }

  @Test
  @Timeout(60)
  void theCommandsTakeTheseFlags() throws Exception {
    for (String command : List.of("bootstrap", "found", "run"))
      Assertions.assertEquals(
          new TreeSet<>(
              Set.of(
                  "--help",
                  "--settings",
                  "--name",
                  "--domain",
                  "--records",
                  "--operator",
                  "--bind",
                  "--platform",
                  "--seeds",
                  "--bootstrap-members",
                  "--founders",
                  "--data",
                  "--log",
                  "--cutoff-ms",
                  "--ring-file-mb")),
          flagsIn(runProgram(command, "--help")),
          command);
  }

  /** Lines of the program's output that tell of a former name. */
  private static List<String> noticesIn(String printed) {
    return printed.lines().filter(line -> line.contains(IS_NOW)).toList();
  }

  private String[] bootstrapArguments(String command, String flag) {
    String member = "core-a=10.0.0.1:4001/10.0.0.1:4003";
    return new String[] {
      command,
      flag,
      member,
      "--name",
      "core-a",
      "--records",
      "10.0.0.1:4001",
      "--operator",
      "10.0.0.1:4003",
      "--platform",
      "10.0.0.2:80",
      "--data",
      folder.resolve(command).toString()
    };
  }

  @Test
  @Timeout(60)
  void theCommandThatPreparesAFirstMemberGoesByBothNamesAndTellsOfTheFormer() throws Exception {
    Assertions.assertEquals(
        List.of(), noticesIn(runProgram(bootstrapArguments("bootstrap", "--bootstrap-members"))));
    Assertions.assertTrue(Files.exists(folder.resolve("bootstrap/identity.json")));
    Assertions.assertEquals(
        List.of(
            "control-plane: command found is now bootstrap" + UNTIL,
            "control-plane: --founders is now --bootstrap-members" + UNTIL),
        noticesIn(runProgram(bootstrapArguments("found", "--founders"))));
    Assertions.assertTrue(Files.exists(folder.resolve("found/identity.json")));
  }
}

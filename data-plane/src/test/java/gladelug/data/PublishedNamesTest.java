package gladelug.data;

import gladelug.common.Address;
import gladelug.common.Result;
import gladelug.common.connection.BindAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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
  private static final String BOTH =
      """
      {
        "name": "p-1",
        "domain": "z1",
        "records": "10.0.0.1:4001",
        "operator": "10.0.0.1:4003",
        "bind": "10.0.0.9",
        "seeds": ["10.0.0.3:4001"],
        "reasonsMb": 18,
        "log": "fine",
      """;

  private static final String RELAY =
      BOTH
          + """
            "callers": "10.0.0.1:80",
            "index": "10.0.0.1:4002",
            "backlog": 19,
            "choice": "least-occupancy",
            "division": "alone"
          }
          """;

  private static final String INDEX =
      BOTH
          + """
            "fingerprintBits": 15,
            "mostHolders": 20,
            "listPauseMs": 21
          }
          """;

  @TempDir Path folder;

  private static DataPlane.DataPlaneSettings place(
      Address callers,
      Address index,
      int backlog,
      String choice,
      String division,
      int fingerprintBits,
      int mostHolders,
      long listPauseMs) {
    return new DataPlane.DataPlaneSettings(
        "p-1",
        "z1",
        Address.of("10.0.0.1:4001"),
        Address.of("10.0.0.1:4003"),
        new BindAddress("10.0.0.9"),
        List.of(Address.of("10.0.0.3:4001")),
        "fine",
        callers,
        index,
        backlog,
        choice,
        division,
        fingerprintBits,
        mostHolders,
        listPauseMs,
        18);
  }

  private Result<DataPlane.DataPlaneSettings> read(boolean relay, String settings)
      throws IOException {
    Path file = Files.writeString(folder.resolve("settings.json"), settings);
    return DataPlane.parseSettings(relay, file.toString(), Map.of());
  }

  @Test
  void theRelaysSettingsFileHasTheseNames() throws IOException {
    DataPlane.DataPlaneSettings place =
        place(
            Address.of("10.0.0.1:80"),
            Address.of("10.0.0.1:4002"),
            19,
            "least-occupancy",
            "alone",
            0,
            0,
            0);
    Assertions.assertEquals(Result.good(place), read(true, RELAY));
  }

  @Test
  void theIndexsSettingsFileHasTheseNames() throws IOException {
    Assertions.assertEquals(
        Result.good(place(null, null, 0, "", "", 15, 20, 21)), read(false, INDEX));
  }

  @Test
  void theChoicesHaveTheseNames() throws IOException {
    for (String choice : List.of("summary", "least-occupancy", "holder-always"))
      Assertions.assertInstanceOf(
          Result.Good.class, read(true, RELAY.replace("least-occupancy", choice)), choice);
    for (String division : List.of("fleet", "alone"))
      Assertions.assertInstanceOf(
          Result.Good.class, read(true, RELAY.replace("alone", division)), division);
    Assertions.assertInstanceOf(
        Result.Bad.class, read(true, RELAY.replace("least-occupancy", "other")));
  }

  /** What the program prints, run as a process of its own. */
  private static String printed(String... arguments) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                DataPlane.class.getName()));
    command.addAll(List.of(arguments));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    process.waitFor();
    return out;
  }

  private static Set<String> flags(String help) {
    return Pattern.compile("--[a-z][a-z-]*")
        .matcher(help)
        .results()
        .map(match -> match.group())
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static Set<String> withBoth(String... more) {
    Set<String> flags =
        new TreeSet<>(
            Set.of(
                "--help",
                "--settings",
                "--name",
                "--domain",
                "--records",
                "--operator",
                "--bind",
                "--seeds",
                "--reasons-mb",
                "--log"));
    flags.addAll(Set.of(more));
    return flags;
  }

  @Test
  @Timeout(60)
  void theCommandsTakeTheseFlags() throws Exception {
    Assertions.assertEquals(
        withBoth("--callers", "--index", "--backlog", "--choice", "--division"),
        flags(printed("relay", "--help")));
    Assertions.assertEquals(
        withBoth("--fingerprint-bits", "--most-holders", "--list-pause-ms"),
        flags(printed("index", "--help")));
  }
}

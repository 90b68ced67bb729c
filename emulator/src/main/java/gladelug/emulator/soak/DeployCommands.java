package gladelug.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The start commands of the roles in the deploy file, and the folder in which they run. */
final class DeployCommands {
  static final String DEPLOY_FILE = "deploy/system.toml";
  private static final String JAR = "-jar";
  private static final String MAIN_CLASS = "gladelug.platform.PlatformNode";

  private final Path root;
  private final String classPath;

  private DeployCommands(Path root, String classPath) {
    this.root = root;
    this.classPath = classPath;
  }

  /**
   * Returns the commands as the platform runs them, with the jars that the build made below a
   * checkout's root.
   */
  static DeployCommands fromJars(Path root) {
    return new DeployCommands(root, "");
  }

  /**
   * Returns the commands with all flags of the deploy file, but with the class path of this
   * process.
   */
  static DeployCommands fromOwnClassPath(Path root) {
    return new DeployCommands(root, System.getProperty("java.class.path"));
  }

  Path root() {
    return root;
  }

  /**
   * Returns the command of the role whose last argument is the given one.
   *
   * @throws IOException if the deploy file can't be read or has no such role
   */
  List<String> command(String argument) throws IOException {
    for (String line : Files.readAllLines(root.resolve(DEPLOY_FILE)))
      if (line.startsWith("run = ") && line.endsWith(" " + argument + "\""))
        return resolveExecutable(
            line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
    throw new IOException(
        "no run command in " + root.resolve(DEPLOY_FILE) + " ends with the argument " + argument);
  }

  private List<String> resolveExecutable(String[] words) {
    List<String> command = new ArrayList<>(List.of(words));
    command.set(0, Path.of(System.getProperty("java.home"), "bin", words[0]).toString());
    int jar = command.indexOf(JAR);
    if (!classPath.isEmpty() && jar >= 0) {
      command.set(jar, "-cp");
      command.set(jar + 1, classPath);
      command.add(jar + 2, MAIN_CLASS);
      command.removeIf(word -> word.startsWith("-XX:SharedArchiveFile="));
    }
    return command;
  }
}

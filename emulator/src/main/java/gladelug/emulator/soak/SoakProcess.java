package gladelug.emulator.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A role on a machine, with its settings file, its data folder and its process. Thread-safe; the
 * state is guarded by this object's lock.
 */
final class SoakProcess {
  final String name;
  final int machine;
  private final Path settings;
  private final Path data;
  private final ProcessBuilder builder;
  private final String settingsText;
  private Process process;
  private boolean expectedRunning;
  private boolean frozen;

  SoakProcess(
      String name,
      int machine,
      List<String> command,
      DeployCommands commands,
      Path folder,
      String settingsText) {
    this.name = name;
    this.machine = machine;
    this.settings = folder.resolve(name + ".conf");
    this.data = folder.resolve(name + "-data");
    this.settingsText = settingsText + "DataDirectory=" + data + "\n";
    builder = new ProcessBuilder(command).directory(commands.root().toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("GLADELUG_NODE_FILE", settings.toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
  }

  /**
   * Starts the process unless it is already running, which overlapping events can cause.
   *
   * @param initialBoot the setting InitialBoot: true while the whole fleet starts for the first
   *     time
   */
  synchronized void start(boolean initialBoot) throws IOException {
    if (isRunning()) return;
    Files.writeString(settings, settingsText + "InitialBoot=" + initialBoot + "\n");
    frozen = false;
    process = builder.start();
    expectedRunning = true;
  }

  /** Returns the exit code, once, if the process ended by itself, else null. */
  synchronized Integer takeUnexpectedExitCode() {
    if (!expectedRunning || process.isAlive()) return null;
    expectedRunning = false;
    return process.exitValue();
  }

  synchronized boolean isRunning() {
    return process != null && process.isAlive();
  }

  synchronized boolean isFrozen() {
    return frozen;
  }

  synchronized void kill() {
    if (process == null) return;
    expectedRunning = false;
    process.destroyForcibly();
    awaitEnd(20_000);
  }

  /**
   * Sends SIGTERM, then SIGKILL if the process still runs after the grace period.
   *
   * @param secondTermAfterMs how long after the first SIGTERM a second one is sent; 0 for none
   */
  void terminate(int graceMs, int secondTermAfterMs) {
    synchronized (this) {
      if (process == null) return;
      expectedRunning = false;
      process.destroy();
    }
    long fromNs = System.nanoTime();
    boolean secondTermPending = secondTermAfterMs > 0;
    for (long elapsedMs = 0; isRunning() && elapsedMs < graceMs; elapsedMs = elapsedMs(fromNs)) {
      if (secondTermPending && elapsedMs >= secondTermAfterMs) {
        secondTermPending = false;
        process.destroy();
      }
      DaemonThreads.pause(20);
    }
    kill();
  }

  private static long elapsedMs(long fromNs) {
    return (System.nanoTime() - fromNs) / 1_000_000;
  }

  synchronized void signal(String signal) throws IOException {
    if (process == null || !process.isAlive()) return;
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    if (signal.equals("STOP")) frozen = true;
    if (signal.equals("CONT")) frozen = false;
  }

  private void awaitEnd(long timeoutMs) {
    try {
      process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Deletes the data folder; the process must not be running. */
  synchronized void deleteData() throws IOException {
    if (!Files.exists(data)) return;
    try (Stream<Path> all = Files.walk(data)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
    }
  }

  /** Returns the resident memory in kB, or 0 if the process is not running. */
  synchronized long rssKb() {
    if (process == null || !process.isAlive()) return 0;
    try {
      for (String line : Files.readAllLines(Path.of("/proc", "" + process.pid(), "status")))
        if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("\\D+", ""));
    } catch (IOException e) {
      // the process has just ended
    }
    return 0;
  }
}

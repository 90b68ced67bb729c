package gladelug.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A gladelug program run as a separate process, with its output appended to a log file.
 *
 * <p>With -Dgladelug.programs=JAR the programs come from another build, so that two builds can be
 * measured by the same emulator.
 */
public final class ChildProcess {
  private static final int LOG_END_CHARS = 2000;

  public final String name;
  private final String mainClass;
  private final List<String> args;
  private final Path log;
  private final int heapMb;
  private Process process;

  public ChildProcess(String name, String main, List<String> args, Path log, int heapMb) {
    this.name = name;
    this.mainClass = main;
    this.args = args;
    this.log = log;
    this.heapMb = heapMb;
  }

  public ChildProcess start() throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Dvertx.disableDnsResolver=true",
                "-cp",
                System.getProperty("gladelug.programs", System.getProperty("java.class.path")),
                mainClass));
    command.addAll(args);
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    return this;
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  public long pid() {
    return process.pid();
  }

  /** Kills the process at once, as a power loss does. */
  public void kill() {
    if (process == null) return;
    process.destroyForcibly();
    waitFor(20_000);
  }

  /**
   * Asks the process to terminate, as the platform does first; returns whether it ended in time.
   */
  public boolean stop(long timeoutMs) {
    process.destroy();
    return waitFor(timeoutMs);
  }

  /** Suspends or resumes the process, as a machine that freezes does. */
  public void freeze(boolean suspend) throws IOException {
    try {
      new ProcessBuilder("kill", suspend ? "-STOP" : "-CONT", Long.toString(pid()))
          .start()
          .waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public boolean waitFor(long timeoutMs) {
    try {
      return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  public int exitCode() {
    return process.exitValue();
  }

  public String readLog() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      return "";
    }
  }

  /** Describes whether the process runs, with the end of its log. */
  String describe() {
    String state = isAlive() ? "runs" : "has ended";
    String text = readLog();
    return name + " " + state + ":\n" + text.substring(Math.max(0, text.length() - LOG_END_CHARS));
  }
}

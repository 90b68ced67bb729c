package gladelug.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One of gladelug's own programs as a process of its own, started by a rehearsal and ended by its
 * own id. Its lines go to a file. With -Dgladelug.programs=JAR the programs are those of another
 * build, so that two builds can be measured by the same rehearsal.
 */
public final class ChildProcess {
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
    List<String> l =
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
    l.addAll(args);
    process =
        new ProcessBuilder(l)
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

  /** At once, as when the machine loses power. */
  public void kill() {
    if (process == null) return;
    process.destroyForcibly();
    waitFor(20_000);
  }

  /** Politely, as the platform does first. */
  public boolean stop(long ms) {
    process.destroy();
    return waitFor(ms);
  }

  /** Stops or continues the process where it is, as a machine that freezes does. */
  public void freeze(boolean on) throws IOException {
    try {
      new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  public boolean waitFor(long ms) {
    try {
      return process.waitFor(ms, TimeUnit.MILLISECONDS);
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
}

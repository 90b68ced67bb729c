package gladelug.emulator.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the resource use of a process from /proc: CPU time, peak memory, bytes read and written by
 * system calls (sockets and files), and bytes written to disk.
 */
final class ProcessMeter {
  private static final double TICKS_PER_SECOND = 100;

  /**
   * @param cpuSeconds CPU seconds since the process started
   * @param peakKb peak resident memory (VmHWM)
   * @param readBytes bytes read by system calls since the process started
   * @param writtenBytes bytes written by system calls since the process started
   * @param diskWrittenBytes bytes written to disk since the process started
   */
  record Reading(
      double cpuSeconds, long peakKb, long readBytes, long writtenBytes, long diskWrittenBytes) {}

  private ProcessMeter() {}

  static Reading read(long pid) throws IOException {
    Path path = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(path.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double cpu = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    return new Reading(
        cpu,
        readField(path.resolve("status"), "VmHWM:"),
        readField(path.resolve("io"), "rchar:"),
        readField(path.resolve("io"), "wchar:"),
        readField(path.resolve("io"), "write_bytes:"));
  }

  static long totalMemoryKb() {
    try {
      return readField(Path.of("/proc/meminfo"), "MemTotal:");
    } catch (IOException e) {
      return 0;
    }
  }

  private static long readField(Path file, String name) throws IOException {
    for (String line : Files.readAllLines(file))
      if (line.startsWith(name))
        return Long.parseLong(line.substring(name.length()).trim().split("\\s+")[0]);
    throw new IOException(file + " has no " + name);
  }
}

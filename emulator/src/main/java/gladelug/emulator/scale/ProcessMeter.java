package gladelug.emulator.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the machine tells of one process under /proc: processor time, peak memory, bytes read and
 * written by calls (sockets count, files too) and bytes that went to the disk.
 */
final class ProcessMeter {
  private static final double TICKS_PER_SECOND = 100;

  /**
   * @param cpuSeconds processor seconds since the start
   * @param peakKb VmHWM
   * @param readBytes bytes read, out bytes written, disk bytes written to the disk, since the start
   */
  record Reading(
      double cpuSeconds, long peakKb, long readBytes, long writtenBytes, long diskWrittenBytes) {}

  private ProcessMeter() {}

  static Reading read(long pid) throws IOException {
    Path path = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(path.resolve("stat"));
    String[] f = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    double cpu = (Long.parseLong(f[11]) + Long.parseLong(f[12])) / TICKS_PER_SECOND;
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
    for (String l : Files.readAllLines(file))
      if (l.startsWith(name))
        return Long.parseLong(l.substring(name.length()).trim().split("\\s+")[0]);
    throw new IOException(file + " has no " + name);
  }
}

package gladelug.control;

import gladelug.common.FatalFailure;
import gladelug.common.MemoryBudget;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.StateKeys;
import gladelug.control.core.register.VersionedValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a core whose heap overflows of a configuration that it had accepted: in a process
 * with a small heap, changes of the largest size are checked on one thread while the owner's thread
 * works out another.
 */
final class LargestConfigurationTest {
  private static final int WAIT_S = 120;
  private static final int HEAP_MB = 80;
  private static final int CHANGES = 6;

  /** The program of the test: exits with 0 once all changes are through. */
  static final class Changes {
    private Changes() {}

    public static void main(String[] args) throws InterruptedException {
      FatalFailure.endProcessOnUncaughtErrors();
      int bytes = MemoryBudget.maxValueBytes();
      Thread listener = new Thread(() -> check(bytes), "listener");
      listener.start();
      ControlOwnerTasks tasks = new ControlOwnerTasks(Configuration::parse);
      VersionedValue value = VersionedValue.NONE;
      for (int i = 0; i < CHANGES; i++) {
        byte[] body = configuration(bytes, i).getBytes(StandardCharsets.UTF_8);
        String summary = tasks.summarizeChange(StateKeys.CONFIGURATION, value.body(), body);
        value =
            value
                .next(summary, body)
                .withSharing(tasks.prefixSharing(StateKeys.CONFIGURATION, value, body));
      }
      listener.join();
      System.exit(value.number() == CHANGES ? 0 : 1);
    }

    private static void check(int bytes) {
      for (int i = 0; i < CHANGES; i++)
        if (Configuration.parse(configuration(bytes, i)) instanceof Result.Bad) System.exit(1);
    }

    private static String configuration(int bytes, int marker) {
      StringBuilder json =
          new StringBuilder(bytes)
              .append("{\"services\":[{\"name\":\"s\",\"allow\":[\"10.0.0.0/8\"]}],\"tenants\":[],")
              .append("\"mappings\":[");
      for (int i = 0; json.length() < bytes - 300; i++)
        json.append(i == 0 ? "" : ",")
            .append("{\"name\":\"route-" + i + "\",\"path\":\"/path-" + i + "\",\"service\":\"s\",")
            .append("\"expiryMs\":" + (1000 + marker) + ",\"repeatable\":true,\"attempts\":3,")
            .append("\"maxBodyBytes\":262144}");
      return json.append("]}").toString();
    }
  }

  @Test
  void changesOfTheLargestSizeFitIntoTheHeapThatTheyAreMeasuredBy(@TempDir Path folder)
      throws IOException, InterruptedException {
    Path log = folder.resolve("log");
    Process process =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx" + HEAP_MB + "m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                Changes.class.getName())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    try {
      Assertions.assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS), "it hangs");
      Assertions.assertEquals(0, process.exitValue(), Files.readString(log));
    } finally {
      process.destroyForcibly();
    }
  }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one event a line, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long from = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double seconds() {
    return (System.nanoTime() - from) / 1e9;
  }

  synchronized void add(String what) {
    out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), what));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}

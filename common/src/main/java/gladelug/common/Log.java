package gladelug.common;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Structured logging on Flogger: one line of key=value pairs per event. Values with blanks or
 * quotes are quoted. API keys and prompts must never be logged: pass only names, numbers and
 * reasons. {@link #setUp} installs a single handler under Flogger's system backend.
 */
public final class Log {
  private static final FluentLogger FLOGGER = FluentLogger.forEnclosingClass();
  private static final Logger ROOT = Logger.getLogger("");
  private static volatile String node = "-";
  private static Handler handler;

  private Log() {}

  public static void setUp(String name, Level level, PrintStream out) {
    node = name;
    LogManager.getLogManager().reset();
    handler =
        new Handler() {
          @Override
          public void publish(LogRecord r) {
            if (!isLoggable(r)) return;
            String m = r.getMessage();
            boolean ours = m != null && m.startsWith("event=");
            StringBuilder builder =
                new StringBuilder(160)
                    .append("time=")
                    .append(Instant.ofEpochMilli(r.getMillis()))
                    .append(" level=")
                    .append(r.getLevel().getName().toLowerCase(Locale.ROOT))
                    .append(" node=")
                    .append(node)
                    .append(' ');
            if (ours) builder.append(m);
            else
              builder
                  .append("event=library logger=")
                  .append(r.getLoggerName())
                  .append(" message=")
                  .append(quote(m));
            if (r.getThrown() != null)
              builder.append(" thrown=").append(quote(r.getThrown().toString()));
            out.println(builder);
          }

          @Override
          public void flush() {
            out.flush();
          }

          @Override
          public void close() {}
        };
    handler.setLevel(level);
    ROOT.setLevel(level);
    ROOT.addHandler(handler);
  }

  public static void event(String name, Object... pairs) {
    log(FLOGGER.atInfo(), name, pairs);
  }

  public static void warn(String name, Object... pairs) {
    log(FLOGGER.atWarning(), name, pairs);
  }

  public static void fine(String name, Object... pairs) {
    log(FLOGGER.atFine(), name, pairs);
  }

  public static void thrown(String name, Throwable failure, Object... pairs) {
    log(FLOGGER.atWarning().withCause(failure), name, pairs);
  }

  /**
   * Lines contain no source location, so the stack isn't walked to find one. Lines are complete
   * when they are logged, so Flogger's formatting would only cost time.
   */
  @SuppressWarnings({"FloggerLogString", "FloggerSplitLogStatement"})
  private static void log(FluentLogger.Api at, String name, Object... pairs) {
    if (at.isEnabled()) at.withInjectedLogSite(LogSite.INVALID).log(line(name, pairs));
  }

  static String line(String name, Object... pairs) {
    StringBuilder builder = new StringBuilder(96).append("event=").append(name);
    for (int i = 0; i + 1 < pairs.length; i += 2)
      builder.append(' ').append(pairs[i]).append('=').append(quote(String.valueOf(pairs[i + 1])));
    return builder.toString();
  }

  static String quote(String text) {
    if (text == null) return "-";
    boolean plain = !text.isEmpty();
    for (int i = 0; plain && i < text.length(); i++) {
      char c = text.charAt(i);
      plain = c > ' ' && c != '"' && c != '=' && c < 127;
    }
    if (plain) return text;
    StringBuilder builder = new StringBuilder("\"");
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') builder.append('\\').append(c);
      else if (c < ' ') builder.append("\\u").append(String.format("%04x", (int) c));
      else builder.append(c);
    }
    return builder.append('"').toString();
  }
}

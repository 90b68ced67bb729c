package gladelug.common;

import java.util.logging.Level;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Common parts of the programs' main methods. Findings in arguments or settings are printed to the
 * error stream and exit the process with 2; a start-up failure of the machine (port in use, damaged
 * folder) prints one line and exits with 3; an uncaught {@link Error} exits with 4. SIGTERM stops
 * the services of the {@link ServiceRegistry}.
 */
public final class Program {
  public static final int EXIT_BAD_USAGE = 2, EXIT_CANNOT_START = 3;

  /** Exit code of a process in which an essential thread failed; see {@link FatalFailure}. */
  public static final int EXIT_FAILED = 4;

  private Program() {}

  public static Namespace parseArguments(ArgumentParser parser, String[] args) {
    try {
      return parser.parseArgs(args);
    } catch (HelpScreenException e) {
      parser.handleError(e);
      System.exit(0);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_BAD_USAGE);
    }
    throw new IllegalStateException();
  }

  public static <T> T valueOrExit(String program, Result<T> result) {
    if (result instanceof Result.Good<T> good) return good.value();
    System.err.println(program + ": nothing was started because of these findings:");
    for (Finding finding : ((Result.Bad<T>) result).findings()) System.err.println("  " + finding);
    System.exit(EXIT_BAD_USAGE);
    throw new IllegalStateException();
  }

  public static Level parseLogLevel(String text) {
    return switch (text) {
      case "fine" -> Level.FINE;
      case "warning" -> Level.WARNING;
      default -> Level.INFO;
    };
  }

  /**
   * Starts the services and registers a shutdown hook that stops them.
   *
   * @param stopTimeoutMs time after which the process ends even if services are still stopping
   */
  public static void run(String program, ServiceRegistry registry, long stopTimeoutMs) {
    FatalFailure.endProcessOnUncaughtErrors();
    ProcessStalls.start();
    try {
      registry.start();
    } catch (ServiceRegistry.StartupException e) {
      Log.fine("cannot-start", "what", e.getMessage());
      System.err.println(program + ": " + e.getMessage());
      System.exit(EXIT_CANNOT_START);
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  Log.event("stopping");
                  Thread stopThread = new Thread(registry::stop, "stop");
                  stopThread.setDaemon(true);
                  stopThread.start();
                  try {
                    stopThread.join(stopTimeoutMs);
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  Log.event("stopped", "in-time", !stopThread.isAlive());
                },
                "shutdown"));
    Log.event("started", "program", program, "services", registry.names());
  }
}

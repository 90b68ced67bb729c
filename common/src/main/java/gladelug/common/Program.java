package gladelug.common;

import java.util.logging.Level;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * What every program's main has in common: findings go to the error stream and end the process with
 * 2, a machine that won't do (port in use, folder damaged) ends it with one line and 3; SIGTERM
 * stops the services of the {@link ServiceRegistry}. An error that ends a thread ends the process
 * with 4. Nothing here starts a process.
 */
public final class Program {
  public static final int EXIT_BAD_USAGE = 2, EXIT_CANNOT_START = 3;

  /** The process lost a thread that it can't do without; see {@link FatalFailure}. */
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

  public static <T> T valueOrExit(String program, Result<T> r) {
    if (r instanceof Result.Good<T> g) return g.value();
    System.err.println(program + ": nothing was started; found:");
    for (Finding f : ((Result.Bad<T>) r).findings()) System.err.println("  " + f);
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
   * Starts, then waits until asked to stop; the stop has this many ms before the process ends
   * anyway.
   */
  public static void run(String program, ServiceRegistry registry, long politely) {
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
                  Thread t = new Thread(registry::stop, "stop");
                  t.setDaemon(true);
                  t.start();
                  try {
                    t.join(politely);
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  Log.event("stopped", "in-time", !t.isAlive());
                },
                "shutdown"));
    Log.event("started", "program", program, "services", registry.names());
  }
}

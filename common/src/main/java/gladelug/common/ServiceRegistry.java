package gladelug.common;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Named services that are started in the order in which they were added, stopped in reverse order,
 * and can look each other up by name while they start. A service that fails to start ends the
 * program with a one-line message ({@link StartupException}).
 */
public final class ServiceRegistry {
  /** A part of a program that is started and stopped with it. */
  public interface Service {
    /**
     * Starts the service.
     *
     * @throws StartupException if the machine or the settings don't allow it
     */
    void start(ServiceRegistry registry);

    /** Stops the service gracefully: work in progress may finish. Called once. */
    default void stop() {}
  }

  /** Thrown when a service cannot start; the message is shown to the operator. */
  public static final class StartupException extends RuntimeException {
    public StartupException(String what) {
      super(what);
    }

    public StartupException(String what, Throwable cause) {
      super(what, cause);
    }
  }

  private final Map<String, Service> services = new LinkedHashMap<>();
  private final ArrayDeque<String> started = new ArrayDeque<>();

  public ServiceRegistry add(String name, Service service) {
    if (services.putIfAbsent(name, service) != null)
      throw new IllegalStateException("two services named " + name);
    return this;
  }

  public <T> T find(String name, Class<T> type) {
    Service service = services.get(name);
    if (service == null) throw new StartupException("no service named " + name);
    return type.cast(service);
  }

  public List<String> names() {
    return new ArrayList<>(services.keySet());
  }

  public void start() {
    for (Map.Entry<String, Service> entry : services.entrySet()) {
      try {
        entry.getValue().start(this);
      } catch (RuntimeException failure) {
        stop();
        throw failure;
      }
      started.push(entry.getKey());
    }
  }

  public synchronized void stop() {
    while (!started.isEmpty()) {
      String name = started.pop();
      try {
        services.get(name).stop();
      } catch (RuntimeException e) {
        Log.thrown("service-stop-problem", e, "service", name);
      }
    }
  }
}

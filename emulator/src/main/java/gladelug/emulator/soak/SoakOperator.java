package gladelug.emulator.soak;

import com.eclipsesource.json.Json;
import gladelug.emulator.soak.ConfigurationModel.Tenant;
import gladelug.emulator.soak.SoakLedger.Change;
import gladelug.emulator.soak.SoakLedger.ChangeOutcome;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/**
 * The operators of a soak test. They send configurations, whole or as a patch, based on the newest
 * revision they know, to random nodes until they get a conclusive answer, and read them back.
 * Changes are made one at a time, except for two that race.
 */
final class SoakOperator {
  private static final String PUT = "PUT";
  private static final String PATCH = "PATCH";
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int ANSWER_TIMEOUT_MS = 4500;
  private static final int RETRY_PAUSE_MS = 200;

  /** How long a change is sent again until there is a conclusive answer. */
  private static final int CHANGE_TIMEOUT_MS = 25_000;

  /**
   * Numbers of routes that make a configuration of two to five megabytes; the largest exceed the
   * limit.
   */
  private static final int MIN_LARGE_ROUTES = 6000, LARGE_ROUTES_SPREAD = 9500;

  private static final int MAX_ROUTES_PER_CHANGE = 350;

  private final SoakLedger ledger;
  private final SoakMachines machines;
  private final Random random;
  private final ExecutorService racingExecutor = DaemonThreads.pool("racing operator");
  private long newestSentRevision;
  private Change current;
  private int weightsRevision = 1;

  /** The newest acknowledged configuration, which clients use. */
  private volatile ConfigurationModel configuration;

  SoakOperator(SoakLedger ledger, SoakMachines machines, ConfigurationModel first, long seed) {
    this.ledger = ledger;
    this.machines = machines;
    this.configuration = first;
    this.random = new Random(seed);
  }

  ConfigurationModel configuration() {
    return configuration;
  }

  int weightsRevision() {
    return weightsRevision;
  }

  /** Sends the first configuration until it is acknowledged; returns whether it was in time. */
  boolean sendFirst(long timeoutMs) {
    current = recordChange(0, configuration, PUT, configuration.toJson(1), 1);
    newestSentRevision = 1;
    return send(current, timeoutMs) == ChangeOutcome.ACKNOWLEDGED;
  }

  private Change recordChange(
      long base, ConfigurationModel next, String method, String configurationJson, long revision) {
    newestSentRevision = Math.max(newestSentRevision, revision);
    return ledger.recordChange(
        new Change(revision, base, method, configurationJson, true, next, ledger.nowMs()));
  }

  /** Performs an event of one of the operators' kinds. */
  void perform(SoakEvent event) {
    String name = ConfigurationModel.tenantName(Math.max(1, event.target()));
    switch (event.kind()) {
      case ROUTES -> changeTo(configuration.withExtraRoutes(drawRouteCount()));
      case LIMITS ->
          changeTo(
              configuration.withMaxBodyBytes(
                  ConfigurationModel.MAX_BODY_BYTES - random.nextInt(1 << 10)));
      case ISOLATE -> toggleIsolation(name);
      case SWAP -> swapIsolation();
      case TENANT -> removeOrRestore(name);
      case REVOKE -> replaceKey(name);
      case LARGE -> changeTo(configuration.withExtraRoutes(drawLargeRouteCount()));
      case INVALID -> sendInvalid();
      case RACE -> sendRacing();
      case RESEND -> resend();
      case WEIGHTS -> announceWeights();
      default -> throw new IllegalArgumentException(event + " is not an event for operators");
    }
  }

  private void toggleIsolation(String name) {
    Tenant tenant = configuration.tenants().get(name);
    if (tenant == null) return;
    changeTo(configuration.withTenant(name, new Tenant(tenant.key(), !tenant.isolated())));
  }

  /** Ends the isolation of a random tenant and isolates another one in the same change. */
  private void swapIsolation() {
    List<String> isolated = new ArrayList<>(), sharing = new ArrayList<>();
    configuration
        .tenants()
        .forEach((name, tenant) -> (tenant.isolated() ? isolated : sharing).add(name));
    if (isolated.isEmpty() || sharing.isEmpty()) return;
    String one = isolated.get(random.nextInt(isolated.size()));
    String other = sharing.get(random.nextInt(sharing.size()));
    changeTo(
        configuration
            .withTenant(one, new Tenant(configuration.tenants().get(one).key(), false))
            .withTenant(other, new Tenant(configuration.tenants().get(other).key(), true)));
  }

  /** Removes a tenant, or adds a removed one again, isolated with a probability of one half. */
  private void removeOrRestore(String name) {
    Tenant tenant = configuration.tenants().get(name);
    String key = "key-" + name.substring(name.lastIndexOf('-') + 1) + "-0";
    if (tenant != null && configuration.tenants().size() > 2)
      changeTo(configuration.withTenant(name, null));
    else if (tenant == null)
      changeTo(configuration.withTenant(name, new Tenant(key, random.nextBoolean())));
  }

  private void replaceKey(String name) {
    Tenant tenant = configuration.tenants().get(name);
    if (tenant == null) return;
    String key = ConfigurationModel.keyAfter(tenant.key());
    changeTo(configuration.withTenant(name, new Tenant(key, tenant.isolated())));
  }

  /** Draws a number of extra routes near the current one. */
  private int drawRouteCount() {
    int routes =
        configuration.extraRoutes()
            + random.nextInt(2 * MAX_ROUTES_PER_CHANGE)
            - MAX_ROUTES_PER_CHANGE;
    return Math.max(0, routes);
  }

  /**
   * Draws the number of extra routes of a large configuration; if the current one is large, a small
   * number with a probability of one half.
   */
  private int drawLargeRouteCount() {
    boolean many = configuration.extraRoutes() >= MIN_LARGE_ROUTES;
    return many && random.nextBoolean()
        ? random.nextInt(MAX_ROUTES_PER_CHANGE)
        : MIN_LARGE_ROUTES + random.nextInt(LARGE_ROUTES_SPREAD);
  }

  /**
   * Sends a change based on the newest known revision, and once more if that turns out to be
   * outdated.
   */
  private void changeTo(ConfigurationModel next) {
    for (int attempt = 0; attempt < 2; attempt++) {
      long revision = newestSentRevision + 1;
      boolean patches = next.differsOnlyInTenants(current.configuration) && random.nextBoolean();
      String configurationJson =
          patches ? next.patchFrom(revision, current.configuration) : next.toJson(revision);
      Change change =
          recordChange(current.revision, next, patches ? PATCH : PUT, configurationJson, revision);
      ChangeOutcome fate = send(change, CHANGE_TIMEOUT_MS);
      if (fate == ChangeOutcome.ACKNOWLEDGED) {
        current = change;
        configuration = next;
        return;
      }
      refresh();
      if (fate == ChangeOutcome.UNKNOWN) return;
    }
  }

  /** Reads the configuration and adopts the change that it shows as the newest one. */
  private void refresh() {
    String configurationJson = readBack(CHANGE_TIMEOUT_MS);
    if (configurationJson == null) return;
    long revision = revisionOf(configurationJson);
    for (Change change : ledger.changes())
      if (change.revision == revision && change.outcome != ChangeOutcome.REFUSED) {
        current = change;
        configuration = change.configuration;
      }
  }

  static long revisionOf(String configurationJson) {
    return Json.parse(configurationJson).asObject().getLong("Revision", -1);
  }

  private void sendInvalid() {
    long revision = newestSentRevision + 1;
    String configurationJson =
        configuration
            .toJson(revision)
            .replaceFirst(
                "\"BackendService\":\"" + ConfigurationModel.SERVICE,
                "\"BackendService\":\"no-such-service");
    newestSentRevision = revision;
    send(
        ledger.recordChange(
            new Change(
                revision,
                current.revision,
                PUT,
                configurationJson,
                false,
                configuration,
                ledger.nowMs())),
        CHANGE_TIMEOUT_MS);
  }

  /** Sends two changes based on the same revision at once. */
  private void sendRacing() {
    long revision = newestSentRevision + 1;
    ConfigurationModel one = configuration.withExtraRoutes(random.nextInt(40));
    ConfigurationModel other = configuration.withExtraRoutes(40 + random.nextInt(40));
    Change first = recordChange(current.revision, one, PUT, one.toJson(revision), revision);
    Change second =
        recordChange(current.revision, other, PUT, other.toJson(revision + 1), revision + 1);
    Future<ChangeOutcome> racer = racingExecutor.submit(() -> send(second, CHANGE_TIMEOUT_MS));
    send(first, CHANGE_TIMEOUT_MS);
    try {
      racer.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
    refresh();
  }

  /** Sends the newest acknowledged change again, as an operator who lost the answer would. */
  private void resend() {
    if (current == null || !current.isAcknowledged()) return;
    send(current, CHANGE_TIMEOUT_MS);
  }

  private void announceWeights() {
    weightsRevision++;
    String configurationJson =
        Json.object()
            .add("ModelName", ConfigurationModel.MODEL)
            .add("Revision", weightsRevision)
            .toString();
    long untilMs = ledger.nowMs() + CHANGE_TIMEOUT_MS;
    while (ledger.nowMs() < untilMs) {
      HttpMessage answer = call("POST /-/version-put", "", configurationJson);
      if (answer != null && answer.status() / 100 == 2) return;
      DaemonThreads.pause(RETRY_PAUSE_MS);
    }
  }

  /**
   * Sends a change until there is a conclusive answer; records the outcome in the change and
   * returns it.
   */
  private ChangeOutcome send(Change change, long timeoutMs) {
    long untilMs = ledger.nowMs() + timeoutMs;
    while (ledger.nowMs() < untilMs) {
      HttpMessage answer =
          call(
              change.method + " /-/config",
              "If-Match: " + change.baseRevision + "\r\n",
              change.text);
      int status = answer == null ? 0 : answer.status();
      if (answer != null) change.answers = status + " " + answer.text() + "; " + change.answers;
      if (status == 200) {
        change.acknowledgedAtMs =
            change.acknowledgedAtMs < 0 ? ledger.nowMs() : change.acknowledgedAtMs;
        change.outcome = ChangeOutcome.ACKNOWLEDGED;
        return ChangeOutcome.ACKNOWLEDGED;
      }
      if (status >= 400 && status < 500 && status != 408 && status != 429) {
        if (change.isAcknowledged()) change.refusedAfterAcknowledgement = true;
        else change.outcome = ChangeOutcome.REFUSED;
        return ChangeOutcome.REFUSED;
      }
      DaemonThreads.pause(RETRY_PAUSE_MS);
    }
    return change.outcome;
  }

  /**
   * Reads the configuration at random nodes until one answers; returns null if none does in time.
   */
  String readBack(long timeoutMs) {
    long untilMs = ledger.nowMs() + timeoutMs;
    while (ledger.nowMs() < untilMs) {
      HttpMessage answer = call("GET /-/config", "", "");
      if (answer != null && answer.status() == 200) return answer.text();
      DaemonThreads.pause(RETRY_PAUSE_MS);
    }
    return null;
  }

  /** Calls a random node once; returns null if no complete answer came. */
  private HttpMessage call(String methodAndPath, String headers, String configurationJson) {
    int machine;
    synchronized (random) {
      machine = 1 + random.nextInt(machines.operatorEndpointCount());
    }
    byte[] body = configurationJson.getBytes(StandardCharsets.UTF_8);
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(machines.address(machine), machines.controlPort()),
          CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      OutputStream out = socket.getOutputStream();
      HttpMessage.write(
          out,
          methodAndPath
              + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
              + headers
              + "Content-Length: "
              + body.length
              + "\r\n",
          body);
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      return answer != null && answer.complete() ? answer : null;
    } catch (IOException | NumberFormatException e) {
      return null;
    }
  }
}

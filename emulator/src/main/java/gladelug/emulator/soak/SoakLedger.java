package gladelug.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records what the stand-ins observed on their sockets and what was done to the processes. It is
 * the only input of the judge, and contains nothing that the fleet reports about itself. Times are
 * in ms since the start of the soak test. Thread-safe.
 */
final class SoakLedger {
  /** How a client's request ended. */
  enum End {
    /** It has not ended yet. */
    OPEN,
    /** The client received a complete answer. */
    ANSWERED,
    /** The connection closed, or malformed data came, before the end of the answer. */
    CUT,
    /** The connection closed before the request was written. */
    NOT_SENT,
    /** The client gave up on purpose. */
    GIVEN_UP,
    /** No complete answer came until long after the deadline. */
    SILENT
  }

  /**
   * One request of a client; the client's thread fills in the fields. Times of -1 are not known
   * yet.
   */
  static final class Call {
    final String id;
    final String tenant;
    final String key;
    final RequestKind kind;
    final int machine;
    final long sentAtMs;
    final long deadlineMs;
    volatile String bodyDigest = "";
    volatile long writtenAtMs = -1;
    volatile long endedAtMs = -1;
    volatile End end = End.OPEN;
    volatile int status;
    volatile String seal = "";
    volatile String echoedId = "";

    /** What is wrong with the body of a successful answer, or empty. */
    volatile String bodyProblem = "";

    Call(
        String id,
        String tenant,
        String key,
        RequestKind kind,
        int machine,
        long sentAtMs,
        long deadlineMs) {
      this.id = id;
      this.tenant = tenant;
      this.key = key;
      this.kind = kind;
      this.machine = machine;
      this.sentAtMs = sentAtMs;
      this.deadlineMs = deadlineMs;
    }

    boolean isServed() {
      return end == End.ANSWERED && status >= 200 && status < 300;
    }

    /** Returns whether the answer promises that the request has not run and never will. */
    boolean isRefusedUnexecuted() {
      return end == End.ANSWERED
          && (status == 429 || status == 503 || status == 408 || status == 421);
    }
  }

  /** One execution of a request at a replica. */
  static final class Run {
    final String id;
    final String instance;
    final String service;
    final String tenant;
    final long atMs;
    final String bodyDigest;
    final String leakedKey;

    /** The fault of the replica that spoiled the answer, or null. */
    volatile EventKind spoiledBy;

    /** When it ended at the replica, or -1 if it has not ended. */
    volatile long endedAtMs = -1;

    /** Whether the replica wrote the complete answer. */
    volatile boolean answerComplete;

    Run(
        String id,
        String instance,
        String service,
        String tenant,
        long atMs,
        String bodyDigest,
        String leakedKey) {
      this.id = id;
      this.instance = instance;
      this.service = service;
      this.tenant = tenant;
      this.atMs = atMs;
      this.bodyDigest = bodyDigest;
      this.leakedKey = leakedKey;
    }
  }

  /** A request's use of a cached part of a prompt that another request created. */
  record PartUse(String id, String tenant, String creatorId, String creatorTenant, long atMs) {}

  /** An order that a replica accepted. */
  record Order(String instance, String holder, long fence, long atMs) {}

  /** What operators know about a change of the configuration. */
  enum ChangeOutcome {
    UNKNOWN,
    ACKNOWLEDGED,
    REFUSED
  }

  /** A change of the configuration that an operator sent. */
  static final class Change {
    final long revision;
    final long baseRevision;

    /** The HTTP method: PUT or PATCH. */
    final String method;

    final String text;
    final boolean valid;
    final ConfigurationModel configuration;
    final long sentAtMs;
    volatile long acknowledgedAtMs = -1;
    volatile ChangeOutcome outcome = ChangeOutcome.UNKNOWN;

    /** Whether the same change was refused after it had been acknowledged. */
    volatile boolean refusedAfterAcknowledgement;

    /** All answers to this change, the latest first. */
    volatile String answers = "";

    Change(
        long revision,
        long baseRevision,
        String method,
        String text,
        boolean valid,
        ConfigurationModel configuration,
        long sentAtMs) {
      this.revision = revision;
      this.baseRevision = baseRevision;
      this.method = method;
      this.text = text;
      this.valid = valid;
      this.configuration = configuration;
      this.sentAtMs = sentAtMs;
    }

    boolean isAcknowledged() {
      return outcome == ChangeOutcome.ACKNOWLEDGED;
    }
  }

  /** A planned disturbance of a process. */
  record Disturbance(long fromMs, long toMs, EventKind kind, String process) {}

  /** A process that ended by itself. */
  record UnexpectedExit(String process, int code, long atMs) {}

  /** The resident memory of a process at a time. */
  record MemoryReading(String process, long rssKb, long atMs) {}

  /** The answer of a relay to a readiness probe. */
  record Readiness(int machine, boolean ready, long atMs) {}

  private final long startedAtNs = System.nanoTime();
  final Map<String, Call> calls = new ConcurrentHashMap<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<PartUse> partUses = new ArrayList<>();
  private final List<Order> orders = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final List<UnexpectedExit> unexpectedExits = new ArrayList<>();
  private final List<MemoryReading> memory = new ArrayList<>();
  private final List<Readiness> readiness = new ArrayList<>();
  private volatile String finalConfiguration;
  private volatile long endOfEventsMs = -1;
  private volatile long interruptedAtMs = Long.MAX_VALUE;

  long nowMs() {
    return (System.nanoTime() - startedAtNs) / 1_000_000;
  }

  void recordCall(Call call) {
    calls.put(call.id, call);
  }

  synchronized Run recordRun(Run run) {
    runs.add(run);
    return run;
  }

  synchronized void recordPartUse(PartUse use) {
    partUses.add(use);
  }

  synchronized void recordOrder(Order order) {
    orders.add(order);
  }

  synchronized Change recordChange(Change change) {
    changes.add(change);
    return change;
  }

  synchronized void recordDisturbance(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  synchronized void recordExit(UnexpectedExit exit) {
    unexpectedExits.add(exit);
  }

  synchronized void recordMemory(MemoryReading reading) {
    memory.add(reading);
  }

  synchronized void recordReadiness(Readiness answer) {
    readiness.add(answer);
  }

  /**
   * Records the configuration that was read at the end of the run, or null if none could be read.
   */
  void recordFinalConfiguration(String text) {
    finalConfiguration = text;
  }

  /** Records that the last event has ended, so that recovery can be judged. */
  void recordEndOfEvents(long atMs) {
    endOfEventsMs = atMs;
  }

  /** Records that the run was interrupted; from now on the soak test itself kills the processes. */
  void recordInterruption(long atMs) {
    interruptedAtMs = atMs;
  }

  long interruptedAtMs() {
    return interruptedAtMs;
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  synchronized List<PartUse> partUses() {
    return List.copyOf(partUses);
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  synchronized List<Change> changes() {
    return List.copyOf(changes);
  }

  synchronized List<Disturbance> disturbances() {
    return List.copyOf(disturbances);
  }

  synchronized List<UnexpectedExit> unexpectedExits() {
    return List.copyOf(unexpectedExits);
  }

  synchronized List<MemoryReading> memory() {
    return List.copyOf(memory);
  }

  synchronized List<Readiness> readiness() {
    return List.copyOf(readiness);
  }

  String finalConfiguration() {
    return finalConfiguration;
  }

  long endOfEventsMs() {
    return endOfEventsMs;
  }
}

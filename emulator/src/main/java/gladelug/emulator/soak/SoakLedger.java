package gladelug.emulator.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the stand-ins saw on their sockets, and what was done to the processes. Everything a judge
 * may use stands here; nothing comes from what the fleet says of itself. Times are in ms from the
 * start of the soak. Written by many threads.
 */
final class SoakLedger {
  /** How a client's request came to its end. */
  enum End {
    /** It has none yet. */
    OPEN,
    /** An answer that ended as its head said. */
    ANSWERED,
    /** The connection ended, or what came was no answer, before or amid the answer. */
    CUT,
    /** No connection came to be, or it ended before the request had left. */
    NOT_SENT,
    /** The client gave it up. */
    GIVEN_UP,
    /** Nothing more came until long after its deadline. */
    SILENT
  }

  /** One request of a client; filled in by the client's thread. */
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

    /** What is wrong with the body of a success, or empty. */
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

    /** Whether its answer promises that it has not run and never will. */
    boolean isRefusedUnexecuted() {
      return end == End.ANSWERED
          && (status == 429 || status == 503 || status == 408 || status == 421);
    }
  }

  /** A run of a request at a replica. */
  static final class Run {
    final String id;
    final String instance;
    final String service;
    final String tenant;
    final long atMs;
    final String bodyDigest;
    final String leakedKey;

    /** The fault of the replica that spoilt the answer, or null. */
    volatile EventKind spoiledBy;

    /** When it ended at the replica, or -1; whole where the answer was written to its end. */
    volatile long endedAtMs = -1;

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

  /** A request used a part of a prompt that another request made. */
  record PartUse(String id, String tenant, String makerId, String makerTenant, long atMs) {}

  /** An order to a replica that it accepted. */
  record Order(String instance, String holder, long fence, long atMs) {}

  /** What operators were told of a configuration. */
  enum ChangeOutcome {
    UNKNOWN,
    ACKNOWLEDGED,
    REFUSED
  }

  /** A configuration that was sent. */
  static final class Change {
    final long revision;
    final long baseRevision;

    /** PUT or PATCH. */
    final String method;

    final String text;
    final boolean valid;
    final ConfigurationModel configuration;
    final long sentAtMs;
    volatile long acknowledgedAtMs = -1;
    volatile ChangeOutcome outcome = ChangeOutcome.UNKNOWN;

    /** A clear refusal of the same change after it had been acknowledged. */
    volatile boolean refusedAgain;

    /** What was answered, the last first. */
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

  /** Something was done to a machine's process, or to all of the core. */
  record Disturbance(long fromMs, long toMs, EventKind kind, String process) {}

  /** A process ended though nobody told it to. */
  record UnexpectedExit(String process, int code, long atMs) {}

  /** What a process took of memory. */
  record MemoryReading(String process, long rssKb, long atMs) {}

  /** Whether a relay said that it is ready. */
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

  /** The configuration that was read back at the end, or null where none came. */
  void recordFinalConfiguration(String text) {
    finalConfiguration = text;
  }

  /** From now on nothing is disturbed any more. */
  void recordEndOfEvents(long atMs) {
    endOfEventsMs = atMs;
  }

  /** The soak itself ends all processes from now on. */
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

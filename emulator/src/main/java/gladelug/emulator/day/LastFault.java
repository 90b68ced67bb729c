package gladelug.emulator.day;

import gladelug.emulator.ChildProcess;
import gladelug.emulator.Fleet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Injects the fault that ends a day. Everything that was acknowledged just before must survive it,
 * and each relay must serve again within {@link #MAX_RETURN_MS}. The seed selects the fault.
 */
final class LastFault {
  /** The faults that may end a day. */
  private enum Kind {
    CORE_KILLED("every core machine is killed just after an acknowledgement"),
    FLEET_KILLED("every process of the fleet is killed just after an acknowledgement"),
    DISK_LOST("one core disk is lost just after an acknowledgement, with the other two killed"),
    SPLIT("the core is split three ways and heals"),
    BACK_ONE_BY_ONE("core machines are killed and come back one after another");

    final String description;

    Kind(String words) {
      this.description = words;
    }
  }

  private static final long SPLIT_MS = 4000;
  private static final long DOWN_MS = 3000;
  private static final long RECOVERY_TIMEOUT_MS = 60_000;
  private static final long MAX_RETURN_MS = 12_000;
  private static final long SETTLE_MS = 4000;

  private final DayFleet machines;
  private final DayOperator operator;
  private final Fleet fleet;
  private final List<String> slowReturns = new ArrayList<>();

  LastFault(DayFleet machines, DayOperator operator) {
    this.machines = machines;
    this.operator = operator;
    this.fleet = machines.fleet;
  }

  /** Returns the relays that elapsedMs longer than {@link #MAX_RETURN_MS} to serve again. */
  List<String> slowReturns() {
    return slowReturns;
  }

  void play() throws Exception {
    Kind kind = Kind.values()[machines.random.nextInt(Kind.values().length)];
    operator.moveApplication();
    operator.sendUntilConfirmed();
    System.out.println("last fault: " + kind.description);
    List<String> members = machines.members();
    long servingFromMs = kind == Kind.SPLIT ? split(members) : kill(kind, members);
    Fleet.waitUntil(
        "requests complete at every relay again",
        RECOVERY_TIMEOUT_MS,
        () ->
            fleet.callerAddresses.stream()
                .allMatch(relay -> firstCompletionAfter(relay, servingFromMs) >= 0));
    for (String relay : fleet.callerAddresses) {
      long elapsedMs = firstCompletionAfter(relay, servingFromMs);
      Day.printLine(
          "the first request that began and completed at "
              + relay
              + " did so after "
              + elapsedMs
              + " ms");
      if (elapsedMs > MAX_RETURN_MS) slowReturns.add(relay + " after " + elapsedMs + " ms");
    }
    Fleet.pause(SETTLE_MS);
  }

  private long split(List<String> members) {
    for (String from : members) {
      for (String to : members) {
        if (!from.equals(to)) fleet.links.cut(from, to);
      }
    }
    Fleet.pause(SPLIT_MS);
    fleet.links.heal();
    return Day.nowMs();
  }

  /** Kills and restarts processes; returns the time, in ms, from which the fleet can serve. */
  private long kill(Kind kind, List<String> members) throws IOException {
    Map<String, ChildProcess> edges = new LinkedHashMap<>(fleet.children);
    edges.keySet().removeIf(name -> name.startsWith("control"));
    if (kind == Kind.FLEET_KILLED) edges.values().forEach(ChildProcess::kill);
    machines.kill(members.toArray(new String[0]));
    if (kind == Kind.DISK_LOST) fleet.loseDisk(members.get(machines.random.nextInt(3)));
    Fleet.pause(DOWN_MS);
    long majorityMs = 0;
    for (int i = 0; i < members.size(); i++) {
      fleet.children.get(members.get(i)).start();
      if (i == 1) majorityMs = Day.nowMs();
      if (kind == Kind.BACK_ONE_BY_ONE) Fleet.pause(DOWN_MS);
    }
    if (kind == Kind.FLEET_KILLED) {
      for (ChildProcess edge : edges.values()) edge.start();
    }
    // after a disk loss the fleet needs all three: the two survivors and the member that rejoins
    boolean needsAllMembers = kind == Kind.DISK_LOST || kind == Kind.FLEET_KILLED;
    return needsAllMembers ? Day.nowMs() : majorityMs;
  }

  /**
   * Returns the ms from a time to the first completion of a request sent to a relay since then, or
   * -1 if none completed.
   */
  private long firstCompletionAfter(String relay, long fromMs) {
    return fleet.ledger.calls.values().stream()
        .filter(call -> call.relay.equals(relay) && call.sentMs >= fromMs)
        .filter(call -> call.doneMs >= 0 && call.outcome.equals("complete"))
        .mapToLong(call -> call.doneMs - fromMs)
        .min()
        .orElse(-1);
  }
}

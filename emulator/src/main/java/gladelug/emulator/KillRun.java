package gladelug.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The command "run": loads a fleet, kills a control machine, an index, a relay and a replica in
 * turn, sends a configuration every three seconds, and checks the ledger.
 */
final class KillRun {
  private static final List<String> VICTIMS = List.of("control", "index", "relay", "replica");
  private static final long CHANGE_INTERVAL_MS = 3000;
  private static final long STEP_MS = 40;
  private static final long READY_MS = 30_000;
  private static final long TAKEOVER_MS = 10_000;

  private final Fleet fleet;
  private final List<Long> acknowledgedMs = new ArrayList<>();
  private Runnable repair = () -> {};

  private KillRun(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Runs at a multiple of the deployment's rates and returns true if no rule was broken. */
  static boolean run(Fleet fleet, int seconds, long seed, boolean kills, double rate)
      throws Exception {
    long began = System.nanoTime();
    fleet.start();
    System.out.printf(
        Locale.ROOT,
        "%s: fleet ready after %d ms%n",
        fleet.deployment.name(),
        (System.nanoTime() - began) / 1_000_000);
    return new KillRun(fleet).run(seconds * 1000L, seed, kills ? VICTIMS : List.of(), rate);
  }

  private boolean run(long durationMs, long seed, List<String> victims, double rate) {
    StandInCallers callers = callers(seed, rate);
    AddedLatency added = new AddedLatency(fleet);
    long began = System.nanoTime();
    int killed = 0;
    int changes = 0;
    for (long at = 0; at < durationMs; at = (System.nanoTime() - began) / 1_000_000) {
      if (killed < victims.size() && at >= durationMs * (killed + 1) / (victims.size() + 1)) {
        repair.run();
        kill(victims.get(killed++));
      }
      if (at / CHANGE_INTERVAL_MS > changes) {
        changes++;
        sendChange();
      }
      added.measurePair();
      Fleet.pause(STEP_MS);
    }
    repair.run();
    callers.stop();
    Fleet.waitUntil("the last requests end", READY_MS, () -> callers.openRequests() == 0);
    return LedgerReport.print(fleet, List.of(acknowledgements(), "relay: " + added));
  }

  private StandInCallers callers(long seed, double rate) {
    List<StandInCallers.Kind> kinds = new ArrayList<>(fleet.deployment.kinds());
    kinds.add(fleet.deployment.application());
    StandInCallers callers =
        new StandInCallers(
            fleet.vertx,
            fleet.ledger,
            fleet.callerAddresses,
            fleet.deployment.tenants(),
            kinds,
            seed);
    callers.rateFactor = rate;
    callers.start();
    return callers;
  }

  private void sendChange() {
    Fleet.Answer answer = fleet.sendStandardConfiguration(List.of(), "*");
    if (answer.status() == 200) acknowledgedMs.add(answer.body().getLong("waitedMs", -1));
    else System.out.println("configuration answered " + answer.status() + " " + answer.body());
  }

  private String acknowledgements() {
    return String.format(
        Locale.ROOT,
        "configuration push to acknowledgement ms: median %.0f, longest %.0f, of %d",
        Quantiles.at(acknowledgedMs, 0.5),
        Quantiles.at(acknowledgedMs, 1),
        acknowledgedMs.size());
  }

  /** Kills a process of the given kind and sets the action that repairs it. */
  private void kill(String what) {
    if (what.equals("replica")) {
      killReplica();
      return;
    }
    boolean control = what.equals("control");
    ChildProcess victim = fleet.children.get(control ? fleet.ownerOf("policy") : what + "-1");
    long killedAt = System.currentTimeMillis();
    victim.kill();
    System.out.println("killed " + victim.name + (control ? ", owner of the configuration" : ""));
    repair =
        () -> {
          if (control) {
            System.out.println("takeover gap of its keys, ms: " + takeovers(victim.name, killedAt));
          }
          restart(victim);
        };
  }

  private void killReplica() {
    StandInReplica replica = fleet.replicas.get("replica-2");
    replica.kill();
    System.out.println("killed " + replica.instance);
    repair =
        () -> {
          replica.start();
          System.out.println("back " + replica.instance);
        };
  }

  private void restart(ChildProcess child) {
    try {
      child.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Fleet.waitUntil(child.name + " ready again", READY_MS, () -> fleet.isReady(child.name));
    System.out.println("back " + child.name);
  }

  /** Returns, from the other members' logs, the ms from the kill to each takeover of a key. */
  private List<Long> takeovers(String dead, long killedAt) {
    List<Long> gaps = new ArrayList<>();
    for (ChildProcess child : fleet.children.values()) {
      if (!child.name.startsWith("control") || child.name.equals(dead)) continue;
      for (String line : child.readLog().split("\n")) {
        if (!line.contains("event=ownership-acquired")) continue;
        long at = Instant.parse(line.substring(5, line.indexOf(' '))).toEpochMilli();
        if (at >= killedAt && at < killedAt + TAKEOVER_MS) gaps.add(at - killedAt);
      }
    }
    return gaps;
  }
}

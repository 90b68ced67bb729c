package gladelug.emulator.sim;

import gladelug.emulator.history.Change;
import gladelug.emulator.history.Outcome;
import java.util.List;
import java.util.Random;

/**
 * A simulated operator. It reads the newest version from any member, sends a change based on it,
 * and after a failure or an answer timeout goes on to the next member with a growing delay. It
 * sends the same change unchanged until the answer is clear. Several changes may be in progress at
 * once.
 */
final class RandomOperator {
  private static final int MAX_ATTEMPTS = 12;
  private static final int BASE_RETRY_DELAY_MS = 30;
  private static final int MAX_RETRY_DELAY_MS = 1000;
  private static final int RESEND_ONE_IN = 4;

  private final Simulation sim;
  private final OperatorCalls calls;
  private final String name;
  private final Random random;
  private final int maxPauseMs;
  private int changeCount;
  private int pendingCount;
  private boolean stopped;

  /**
   * @param maxPauseMs the longest wait between two changes
   */
  RandomOperator(Simulation sim, OperatorCalls calls, String name, Random random, int maxPauseMs) {
    this.sim = sim;
    this.calls = calls;
    this.name = name;
    this.random = random;
    this.maxPauseMs = maxPauseMs;
  }

  /** Keeps up to this many changes in progress until the operator is stopped. */
  void start(int concurrency) {
    for (int i = 0; i < concurrency; i++) scheduleNextChange(1);
  }

  /** Starts no further changes; those in progress run to their end. */
  void stop() {
    stopped = true;
  }

  boolean isIdle() {
    return pendingCount == 0;
  }

  private void scheduleNextChange(long minDelayMs) {
    sim.after(
        minDelayMs + random.nextInt(maxPauseMs),
        () -> {
          if (stopped) return;
          pendingCount++;
          read(randomMember(), 1);
        });
  }

  private void finish() {
    pendingCount--;
    scheduleNextChange(1);
  }

  private void read(String member, int attempt) {
    calls.read(
        name,
        member,
        value -> {
          if (value != null) sendChange(value.version());
          else if (attempt < MAX_ATTEMPTS)
            retryLater(attempt, () -> read(nextMember(member), attempt + 1));
          else finish();
        });
  }

  private void sendChange(long baseVersion) {
    changeCount++;
    send(randomMember(), new Change(name + "-" + changeCount, baseVersion, baseVersion + 1), 1);
  }

  private void send(String member, Change change, int attempt) {
    calls.sendChange(
        name,
        member,
        change,
        outcome -> {
          if (outcome == Outcome.REFUSED) finish();
          else if (outcome == Outcome.ACKNOWLEDGED) onAcknowledged(change);
          else if (attempt < MAX_ATTEMPTS)
            retryLater(attempt, () -> send(nextMember(member), change, attempt + 1));
          else finish();
        });
  }

  /**
   * Occasionally sends an acknowledged change once more, as an operator would whose answer was lost
   * after it arrived.
   */
  private void onAcknowledged(Change change) {
    if (random.nextInt(RESEND_ONE_IN) > 0) finish();
    else calls.sendChange(name, randomMember(), change, outcome -> finish());
  }

  private void retryLater(int attempt, Runnable retry) {
    long delayMs =
        Math.min(MAX_RETRY_DELAY_MS, (long) BASE_RETRY_DELAY_MS << Math.min(attempt, MAX_ATTEMPTS));
    sim.after(delayMs / 2 + random.nextInt((int) delayMs), retry);
  }

  private String randomMember() {
    List<String> members = calls.members();
    return members.get(random.nextInt(members.size()));
  }

  private String nextMember(String member) {
    List<String> members = calls.members();
    return members.get((members.indexOf(member) + 1) % members.size());
  }
}

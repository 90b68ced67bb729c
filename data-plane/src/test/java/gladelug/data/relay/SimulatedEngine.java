package gladelug.data.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.DoubleConsumer;

/**
 * A replica with continuous batching on simulated time. In each step every running reply gets a
 * token, and one chunk of the waiting prompts is processed, so that prompts delay the tokens of
 * other requests. Attention makes the later chunks of a long prompt slower.
 */
final class SimulatedEngine {
  private static final double STEP_MS = 4.73;
  private static final double STEP_MS_PER_REQUEST = 0.0138;
  private static final double PREFILL_TOKENS_PER_MS = 38.4;
  private static final double ATTENTION_MS_PER_MILLION_PAIRS = 1.18;
  private static final int CHUNK_TOKENS = 2048;

  /** Tokens per event of a reply after the first event. */
  private static final int EVENT_TOKENS = 5;

  private static final double MILLION = 1e6;

  /** Receives the events of a reply. */
  interface Reply {
    void event();

    void end();
  }

  private static final class Job {
    private final int promptTokens;
    private final int replyTokens;
    private final Reply reply;
    private int prefilledTokens;
    private int writtenTokens;

    private Job(int promptTokens, int replyTokens, Reply reply) {
      this.promptTokens = promptTokens;
      this.replyTokens = replyTokens;
      this.reply = reply;
    }
  }

  private final double slowdown;
  private final ArrayDeque<Job> prefilling = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private final DoubleConsumer nextStepAfterMs;
  private boolean stepping;

  /**
   * Creates an idle engine.
   *
   * @param slowdown factor on the duration of every step
   * @param nextStepAfterMs receives the time after which {@link #stepEnded} has to be called
   */
  SimulatedEngine(double slowdown, DoubleConsumer nextStepAfterMs) {
    this.slowdown = slowdown;
    this.nextStepAfterMs = nextStepAfterMs;
  }

  /** Accepts a request of which promptTokens of the prompt have to be computed. */
  void submit(int promptTokens, int replyTokens, Reply reply) {
    prefilling.add(new Job(promptTokens, Math.max(1, replyTokens), reply));
    if (!stepping) step();
  }

  private void step() {
    stepping = !prefilling.isEmpty() || !running.isEmpty();
    if (!stepping) return;
    double ms = STEP_MS + running.size() * STEP_MS_PER_REQUEST;
    int remainingTokens = CHUNK_TOKENS;
    for (Job job : prefilling) {
      int tokens = Math.min(remainingTokens, job.promptTokens - job.prefilledTokens);
      ms += tokens / PREFILL_TOKENS_PER_MS;
      ms +=
          ATTENTION_MS_PER_MILLION_PAIRS * tokens * (job.prefilledTokens + tokens / 2.0) / MILLION;
      job.prefilledTokens += tokens;
      remainingTokens -= tokens;
      if (remainingTokens == 0) break;
    }
    nextStepAfterMs.accept(ms * slowdown);
  }

  /** Ends the current step: emits its tokens and starts the next step. */
  void stepEnded() {
    List<Job> advanced = new ArrayList<>(running);
    while (!prefilling.isEmpty()
        && prefilling.peek().prefilledTokens >= prefilling.peek().promptTokens) {
      Job job = prefilling.poll();
      running.add(job);
      advanced.add(job);
    }
    for (Job job : advanced) {
      job.writtenTokens++;
      if (job.writtenTokens % EVENT_TOKENS == 1 || job.writtenTokens == job.replyTokens)
        job.reply.event();
    }
    for (Iterator<Job> iterator = running.iterator(); iterator.hasNext(); ) {
      Job job = iterator.next();
      if (job.writtenTokens < job.replyTokens) continue;
      iterator.remove();
      job.reply.end();
    }
    step();
  }
}

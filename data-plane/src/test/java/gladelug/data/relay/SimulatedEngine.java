package gladelug.data.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.DoubleConsumer;

/**
 * A replica that batches continuously, on the time of a test: in each step every running reply gets
 * a token, and one piece of the prompts that wait is read beside them, so prompts make the tokens
 * of others come late. Attention makes the pieces of a long prompt dearer than those of a short
 * one.
 */
final class SimulatedEngine {
  private static final double STEP_MS = 4.73;
  private static final double STEP_MS_PER_REQUEST = 0.0138;
  private static final double PREFILL_TOKENS_PER_MS = 38.4;
  private static final double ATTENTION_MS_PER_MILLION_PAIRS = 1.18;
  private static final int CHUNK_TOKENS = 2048;

  /** Tokens in an event of a reply after the first. */
  private static final int EVENT_TOKENS = 5;

  private static final double PAIRS_PER_MILLION = 1e6;

  /** Who gets a reply's events. */
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
   * @param slowdown how many times as long as others it takes for everything
   * @param nextStepAfterMs told when {@link #stepEnded} is to be called next
   */
  SimulatedEngine(double slowness, DoubleConsumer nextStepAfterMs) {
    this.slowdown = slowness;
    this.nextStepAfterMs = nextStepAfterMs;
  }

  /** Takes a request of which so many tokens of the prompt are to be computed. */
  void submit(int promptTokens, int replyTokens, Reply reply) {
    prefilling.add(new Job(promptTokens, Math.max(1, replyTokens), reply));
    if (!stepping) step();
  }

  private void step() {
    stepping = !prefilling.isEmpty() || !running.isEmpty();
    if (!stepping) return;
    double ms = STEP_MS + running.size() * STEP_MS_PER_REQUEST;
    int left = CHUNK_TOKENS;
    for (Job job : prefilling) {
      int tokens = Math.min(left, job.promptTokens - job.prefilledTokens);
      ms += tokens / PREFILL_TOKENS_PER_MS;
      ms +=
          ATTENTION_MS_PER_MILLION_PAIRS
              * tokens
              * (job.prefilledTokens + tokens / 2.0)
              / PAIRS_PER_MILLION;
      job.prefilledTokens += tokens;
      left -= tokens;
      if (left == 0) break;
    }
    nextStepAfterMs.accept(ms * slowdown);
  }

  /** The step that was begun is over: its tokens come out, and the next begins. */
  void stepEnded() {
    List<Job> all = new ArrayList<>(running);
    while (!prefilling.isEmpty()
        && prefilling.peek().prefilledTokens >= prefilling.peek().promptTokens) {
      Job job = prefilling.poll();
      running.add(job);
      all.add(job);
    }
    for (Job job : all) {
      job.writtenTokens++;
      if (job.writtenTokens % EVENT_TOKENS == 1 || job.writtenTokens == job.replyTokens)
        job.reply.event();
    }
    for (Iterator<Job> each = running.iterator(); each.hasNext(); ) {
      Job job = each.next();
      if (job.writtenTokens < job.replyTokens) continue;
      each.remove();
      job.reply.end();
    }
    step();
  }
}

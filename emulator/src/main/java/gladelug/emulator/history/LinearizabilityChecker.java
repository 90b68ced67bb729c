package gladelug.emulator.history;

import gladelug.emulator.history.Call.ChangeCall;
import gladelug.emulator.history.Call.ReadCall;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a history is one of a versioned register with compare-and-set: whether some order
 * of the changes' effects, each after its change was first sent, explains everything that operators
 * were told.
 *
 * <p>The search is that of Wing and Gong with Lowe's memoization, reduced by the properties of this
 * register. A change takes effect at most once, however often it is sent, and only on its base. A
 * change with a refused call never takes effect. Reads, refusals and acknowledgements alter
 * nothing, so each is explained as soon as the current state explains it, which excludes no order.
 * Only the choice of the next change branches, and a state that was left without success is not
 * entered again. Of the effects so far, a state holds only the last one and those whose
 * acknowledgement is still to be explained; no others influence what follows.
 */
public final class LinearizabilityChecker {
  private static final int NEVER_WRITTEN = -1;

  /** A change and the earliest time at which it may take effect. */
  private record Effect(Change change, long earliestMs) {}

  /**
   * A state of the search: the last effect, the effects still relevant, and the calls explained.
   */
  private record State(int lastEffect, BitSet pendingEffects, BitSet explained) {}

  private final List<Effect> effects = new ArrayList<>();
  private final Map<String, Integer> effectIndexById = new LinkedHashMap<>();
  private final Map<Long, List<Integer>> effectsByBase = new HashMap<>();
  private final List<Call> toExplain = new ArrayList<>();
  private final Set<State> deadEnds = new HashSet<>();

  private LinearizabilityChecker(History history) {
    Set<String> refused = new HashSet<>();
    for (Call call : history.calls()) {
      if (call.mustBeExplained()) toExplain.add(call);
      if (call instanceof ChangeCall changeCall && changeCall.outcome() == Outcome.REFUSED)
        refused.add(changeCall.change().id());
    }
    toExplain.sort(Comparator.comparingLong(Call::endMs));
    for (Call call : history.calls())
      if (call instanceof ChangeCall changeCall
          && changeCall.mayTakeEffect()
          && !refused.contains(changeCall.change().id())) addEffect(changeCall);
  }

  private void addEffect(ChangeCall changeCall) {
    Integer index = effectIndexById.putIfAbsent(changeCall.change().id(), effects.size());
    if (index == null) {
      effectsByBase
          .computeIfAbsent(changeCall.change().baseVersion(), b -> new ArrayList<>())
          .add(effects.size());
      effects.add(new Effect(changeCall.change(), changeCall.startMs()));
    } else if (!effects.get(index).change.equals(changeCall.change()))
      throw new IllegalArgumentException("two changes have the same id: " + changeCall.change());
  }

  /** Returns whether some order of effects explains the history. */
  public static boolean isLinearizable(History history) {
    LinearizabilityChecker checker = new LinearizabilityChecker(history);
    return checker.canExplain(NEVER_WRITTEN, new BitSet(), new BitSet());
  }

  private boolean canExplain(int lastEffect, BitSet applied, BitSet explainedBefore) {
    BitSet explained = (BitSet) explainedBefore.clone();
    markExplained(lastEffect, applied, explained);
    int first = explained.nextClearBit(0);
    if (first >= toExplain.size()) return true;
    State state = new State(lastEffect, pendingAcknowledgements(applied, explained), explained);
    if (deadEnds.contains(state)) return false;
    long deadlineMs = toExplain.get(first).endMs();
    for (int next : effectsByBase.getOrDefault(versionOf(lastEffect), List.of())) {
      if (applied.get(next) || effects.get(next).earliestMs > deadlineMs) continue;
      BitSet nextApplied = (BitSet) applied.clone();
      nextApplied.set(next);
      if (canExplain(next, nextApplied, explained)) return true;
    }
    deadEnds.add(state);
    return false;
  }

  /** Returns those effects so far whose acknowledgement is not explained yet. */
  private BitSet pendingAcknowledgements(BitSet applied, BitSet explained) {
    BitSet pending = new BitSet();
    for (int i = explained.nextClearBit(0);
        i < toExplain.size();
        i = explained.nextClearBit(i + 1)) {
      if (!(toExplain.get(i) instanceof ChangeCall changeCall)) continue;
      Integer index = effectIndexById.get(changeCall.change().id());
      if (index != null && applied.get(index)) pending.set(index);
    }
    return pending;
  }

  /**
   * Marks every call that the current state explains. A call may be explained now if it started
   * before the first unexplained one ended.
   */
  private void markExplained(int lastEffect, BitSet applied, BitSet explained) {
    boolean progressed = true;
    while (progressed) {
      progressed = false;
      int first = explained.nextClearBit(0);
      if (first >= toExplain.size()) return;
      long deadlineMs = toExplain.get(first).endMs();
      for (int i = first; i < toExplain.size(); i = explained.nextClearBit(i + 1)) {
        Call call = toExplain.get(i);
        if (call.startMs() > deadlineMs || !isExplainedBy(call, lastEffect, applied)) continue;
        explained.set(i);
        progressed = true;
      }
    }
  }

  private boolean isExplainedBy(Call call, int lastEffect, BitSet applied) {
    if (call instanceof ReadCall read)
      return read.version() == versionOf(lastEffect) && read.id().equals(idOf(lastEffect));
    ChangeCall changeCall = (ChangeCall) call;
    if (changeCall.outcome() == Outcome.ACKNOWLEDGED) {
      Integer index = effectIndexById.get(changeCall.change().id());
      return index != null && applied.get(index);
    }
    return changeCall.change().baseVersion() != versionOf(lastEffect)
        && (changeCall.currentVersion() == ChangeCall.UNKNOWN_VERSION
            || changeCall.currentVersion() == versionOf(lastEffect));
  }

  private long versionOf(int lastEffect) {
    return lastEffect == NEVER_WRITTEN ? 0 : effects.get(lastEffect).change.version();
  }

  private String idOf(int lastEffect) {
    return lastEffect == NEVER_WRITTEN ? "" : effects.get(lastEffect).change.id();
  }
}

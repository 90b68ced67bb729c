package gladelug.emulator.history;

import gladelug.emulator.history.Call.ChangeCall;
import gladelug.emulator.history.Call.ReadCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The calls of several operators of one register and their answers, in the order in which the calls
 * started.
 */
public record History(List<Call> calls) {
  public History {
    List<Call> sorted = new ArrayList<>(calls);
    sorted.sort(Comparator.comparingLong(Call::startMs));
    calls = List.copyOf(sorted);
  }

  /** Returns what was known at a time: calls that ended later have no outcome yet. */
  History until(long timeMs) {
    List<Call> known = new ArrayList<>();
    for (Call call : calls) {
      if (call.startMs() > timeMs) continue;
      Call visible = call.endMs() <= timeMs ? call : call.withoutOutcome();
      if (visible != null) known.add(visible);
    }
    return new History(known);
  }

  /** Collects calls as they end. */
  public static final class Builder {
    private final List<Call> calls = new ArrayList<>();

    /**
     * Adds a change that was acknowledged, that had no effect by this call, or that got no clear
     * answer.
     */
    public Builder change(
        String operator, String member, long startMs, long endMs, Change change, Outcome outcome) {
      calls.add(
          new ChangeCall(
              operator, member, startMs, endMs, change, outcome, ChangeCall.UNKNOWN_VERSION));
      return this;
    }

    /** Adds a change that was refused because another version is current. */
    public Builder refused(
        String operator,
        String member,
        long startMs,
        long endMs,
        Change change,
        long currentVersion) {
      calls.add(
          new ChangeCall(
              operator, member, startMs, endMs, change, Outcome.REFUSED, currentVersion));
      return this;
    }

    /** Adds a read that was answered. */
    public Builder read(
        String operator, String member, long startMs, long endMs, long version, String id) {
      calls.add(new ReadCall(operator, member, startMs, endMs, version, id));
      return this;
    }

    /** Returns the history so far. */
    public History build() {
      return new History(calls);
    }
  }
}

package gladelug.control.core;

import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.ConfirmRequest;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.EpochStatus;
import gladelug.control.core.message.CoreMessage.KeyEpoch;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Rounds in which a majority of the members confirms that this member still owns its keys. One
 * message covers all keys. A lease counts from the start of the round that confirmed the owner, and
 * a read waits for a round that began after it. Called on the core's thread only; times are of the
 * host's monotonic clock, in ms.
 */
final class ConfirmationRounds {
  /** How many rounds are kept open for responses; the oldest is dropped beyond that. */
  private static final int MAX_OPEN_ROUNDS = 16;

  private static final class ConfirmationRound {
    final long number;
    final long startedAtMs;

    /** By key: the names of the members that confirmed its owner's epoch. */
    final Map<String, Set<String>> confirmedBy = new HashMap<>();

    ConfirmationRound(long number, long startedAtMs) {
      this.number = number;
      this.startedAtMs = startedAtMs;
    }
  }

  private final QuorumConfig config;
  private final RequestSequence requestSequence;
  private final Supplier<MemberSet> members;
  private final Consumer<CoreMessage> sendToAll;
  private final List<ConfirmationRound> rounds = new ArrayList<>();
  private long lastStartedAtMs = CoreHost.NEVER;

  ConfirmationRounds(
      QuorumConfig config,
      RequestSequence requestSequence,
      Supplier<MemberSet> members,
      Consumer<CoreMessage> sendToAll) {
    this.config = config;
    this.requestSequence = requestSequence;
    this.members = members;
    this.sendToAll = sendToAll;
  }

  /**
   * Drops all rounds when a generation begins, so that responses to rounds of the previous
   * generation do not count.
   */
  void clear() {
    rounds.clear();
  }

  /** Makes the next tick start a round. */
  void startAtNextTick() {
    lastStartedAtMs = CoreHost.NEVER;
  }

  /** Returns a number below that of every round that begins from now on. */
  long latestRoundNumber() {
    return requestSequence.latest();
  }

  /**
   * Starts a round for the keys that this member serves if {@code confirmIntervalMs} has passed
   * since the last one.
   */
  void tick(Collection<KeyOwner> owners, long nowMs) {
    if (nowMs - lastStartedAtMs < config.confirmIntervalMs()) return;
    lastStartedAtMs = nowMs;
    List<KeyEpoch> keyEpochs = new ArrayList<>();
    for (KeyOwner owner : owners)
      if (owner.isServing()) keyEpochs.add(new KeyEpoch(owner.key, owner.epoch));
    if (keyEpochs.isEmpty()) return;
    ConfirmationRound round = new ConfirmationRound(requestSequence.next(), nowMs);
    rounds.add(round);
    if (rounds.size() > MAX_OPEN_ROUNDS) rounds.remove(0);
    sendToAll.accept(new ConfirmRequest(round.number, keyEpochs));
  }

  /**
   * Passes the status of each key to its owner. A majority of grants in one round confirms the
   * owner of the key.
   */
  void onResponse(
      String sender, ConfirmResponse response, Function<String, KeyOwner> ownerOf, long nowMs) {
    ConfirmationRound round = find(response.round());
    for (EpochStatus status : response.statuses()) {
      KeyOwner owner = ownerOf.apply(status.key());
      owner.onEpochStatus(sender, status, nowMs);
      if (round == null || !status.granted() || owner.epoch != status.epoch() || !owner.isServing())
        continue;
      Set<String> confirmedBy =
          round.confirmedBy.computeIfAbsent(status.key(), key -> new HashSet<>());
      confirmedBy.add(sender);
      if (confirmedBy.size() >= members.get().majoritySize())
        owner.onRoundConfirmed(round.number, round.startedAtMs);
    }
  }

  private ConfirmationRound find(long number) {
    ConfirmationRound found = null;
    for (ConfirmationRound round : rounds) if (round.number == number) found = round;
    return found;
  }
}

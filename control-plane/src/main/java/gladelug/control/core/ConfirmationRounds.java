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
 * Rounds in which a majority confirms that this member still owns its keys, all keys in one
 * message. A lease counts from when the round began that confirmed the owner, and a read waits for
 * a round that began after it. Only the core's thread calls it; times are of the host's monotonic
 * clock, in ms.
 */
final class ConfirmationRounds {
  /** Rounds whose answers still count; older ones are given up. */
  private static final int MAX_ROUNDS = 16;

  private static final class ConfirmationRound {
    final long number;
    final long startedAtMs;

    /** By key: the members that confirmed its owner's epoch. */
    final Map<String, Set<String>> confirmedBy = new HashMap<>();

    ConfirmationRound(long number, long startedAt) {
      this.number = number;
      this.startedAtMs = startedAt;
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

  /** A generation begins: answers to rounds of the one before don't count. */
  void clear() {
    rounds.clear();
  }

  /** The next tick starts a round. */
  void startAtNextTick() {
    lastStartedAtMs = CoreHost.NEVER;
  }

  /** Rounds that begin from now on have higher numbers. */
  long latestRoundNumber() {
    return requestSequence.latest();
  }

  /** Starts a round for the keys that this member serves, once the interval is over. */
  void tick(Collection<KeyOwner> owners, long now) {
    if (now - lastStartedAtMs < config.confirmIntervalMs()) return;
    lastStartedAtMs = now;
    List<KeyEpoch> keyEpochs = new ArrayList<>();
    for (KeyOwner owner : owners)
      if (owner.isServing()) keyEpochs.add(new KeyEpoch(owner.key, owner.epoch));
    if (keyEpochs.isEmpty()) return;
    ConfirmationRound round = new ConfirmationRound(requestSequence.next(), now);
    rounds.add(round);
    if (rounds.size() > MAX_ROUNDS) rounds.remove(0);
    sendToAll.accept(new ConfirmRequest(round.number, keyEpochs));
  }

  /** Hands each key's answer to its owner; a majority of one round confirms the key's owner. */
  void onResponse(
      String sender, ConfirmResponse response, Function<String, KeyOwner> ownerOf, long now) {
    ConfirmationRound round = find(response.round());
    for (EpochStatus status : response.statuses()) {
      KeyOwner owner = ownerOf.apply(status.key());
      owner.onEpochStatus(sender, status, now);
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

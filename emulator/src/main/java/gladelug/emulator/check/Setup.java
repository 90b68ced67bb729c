package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import java.util.List;

/**
 * The initial state of a checked world. memberCount: the number of founders; spareCount: machines
 * that only ask to join; isFounded: whether the founders already know the first generation;
 * randomSeed: the seed of the members' own random choices, 0 for the smallest choice each time;
 * keys: the keys that the run covers; witnessCount: how many founders, the last ones, have no disk
 * and therefore only vote.
 */
record Setup(
    int memberCount,
    int spareCount,
    boolean isFounded,
    long randomSeed,
    List<String> keys,
    QuorumConfig config,
    Mutation mutation,
    int witnessCount) {
  /**
   * Returns a setup with two spares and the keys of configuration and membership, with no rule
   * disabled.
   */
  static Setup of(int memberCount, boolean isFounded, long randomSeed) {
    QuorumConfig config =
        QuorumConfig.builder()
            .acknowledgementMode(QuorumConfig.AcknowledgementMode.CONTACT)
            .targetMembers(memberCount)
            .replaceDeadAfterMs(2 * QuorumConfig.DEFAULT.peerTimeoutMs())
            .build();
    return new Setup(
        memberCount,
        2,
        isFounded,
        randomSeed,
        List.of(StateKeys.CONFIGURATION, StateKeys.CORE),
        config,
        Mutation.NONE,
        0);
  }

  /**
   * Returns a setup from empty disks in which some founders have no disk, with enough other
   * machines to make up the first members. A process that restarts without what it stored is no
   * founder any more, as on a deployment that tells the first start from later ones.
   */
  static Setup withWitnesses(int memberCount, int witnessCount, long randomSeed) {
    return of(memberCount, false, randomSeed).withSpares(witnessCount).witnesses(witnessCount);
  }

  private Setup witnesses(int count) {
    return new Setup(memberCount, spareCount, isFounded, randomSeed, keys, config, mutation, count);
  }

  /** Returns whether the machine at this position is a founder without a disk. */
  boolean isWitness(int index) {
    return index < memberCount && index >= memberCount - witnessCount;
  }

  Setup with(Mutation newMutation) {
    return new Setup(
        memberCount, spareCount, isFounded, randomSeed, keys, config, newMutation, witnessCount);
  }

  Setup withKeys(List<String> newKeys) {
    return new Setup(
        memberCount, spareCount, isFounded, randomSeed, newKeys, config, mutation, witnessCount);
  }

  Setup withSpares(int newSpareCount) {
    return new Setup(
        memberCount, newSpareCount, isFounded, randomSeed, keys, config, mutation, witnessCount);
  }
}

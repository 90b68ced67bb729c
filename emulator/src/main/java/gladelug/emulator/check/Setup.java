package gladelug.emulator.check;

import gladelug.common.message.StateKeys;
import gladelug.control.core.QuorumConfig;
import java.util.List;

/**
 * The initial state of a checked world. memberCount: the number of founders; spareCount: machines
 * that only ask to join; isFounded: whether the founders already know the first generation;
 * randomSeed: the seed of the members' own random choices, 0 for the smallest choice each time;
 * keys: the keys that the run covers.
 */
record Setup(
    int memberCount,
    int spareCount,
    boolean isFounded,
    long randomSeed,
    List<String> keys,
    QuorumConfig config,
    Mutation mutation) {
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
        Mutation.NONE);
  }

  Setup with(Mutation newMutation) {
    return new Setup(memberCount, spareCount, isFounded, randomSeed, keys, config, newMutation);
  }

  Setup withKeys(List<String> newKeys) {
    return new Setup(memberCount, spareCount, isFounded, randomSeed, newKeys, config, mutation);
  }

  Setup withSpares(int newSpareCount) {
    return new Setup(memberCount, newSpareCount, isFounded, randomSeed, keys, config, mutation);
  }
}

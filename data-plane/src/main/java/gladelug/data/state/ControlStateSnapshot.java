package gladelug.data.state;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;

/**
 * The control state as this process has received it: an immutable snapshot, replaced as a whole.
 * Version numbers only rise; 0 means that no value has been received.
 *
 * @param prefixSharingSince number of the configuration in which the sharing of cached prefixes
 *     between tenants last restarted; 0 if it never did
 */
public record ControlStateSnapshot(
    long configurationNumber,
    String configurationDigest,
    Configuration configuration,
    long prefixSharingSince,
    long weightsNumber,
    Weights weights,
    long replicasNumber,
    Replicas replicas,
    long generation,
    CoreMemberList core) {
  public static final ControlStateSnapshot NONE =
      new ControlStateSnapshot(
          0, "", Configuration.EMPTY, 0, 0, Weights.NONE, 0, Replicas.NONE, 0, CoreMemberList.NONE);

  ControlStateSnapshot withConfiguration(
      long number, String digest, Configuration configuration, long sharingSince) {
    return new ControlStateSnapshot(
        number,
        digest,
        configuration,
        sharingSince,
        weightsNumber,
        weights,
        replicasNumber,
        replicas,
        generation,
        core);
  }

  ControlStateSnapshot withWeights(long number, Weights weights) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        number,
        weights,
        replicasNumber,
        replicas,
        generation,
        core);
  }

  ControlStateSnapshot withReplicas(long number, Replicas replicas) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        weightsNumber,
        weights,
        number,
        replicas,
        generation,
        core);
  }

  ControlStateSnapshot withCore(long generation, CoreMemberList core) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        weightsNumber,
        weights,
        replicasNumber,
        replicas,
        generation,
        core);
  }

  /** Returns whether a configuration and a list of replicas have been received. */
  public boolean isComplete() {
    return configurationNumber > 0 && replicasNumber > 0;
  }
}

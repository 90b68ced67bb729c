package gladelug.data.state;

import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.CoreMemberList;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;

/**
 * The control state as this process has received it: one immutable snapshot, replaced as a whole.
 * Numbers only rise. A number of 0 means that no value has been received.
 *
 * @param prefixSharingSince the number of the configuration with which the tenants that share
 *     cached prefixes began anew, 0 where they never did
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
      long n, String digest, Configuration configuration, long sharingSince) {
    return new ControlStateSnapshot(
        n,
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

  ControlStateSnapshot withWeights(long n, Weights weights) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        n,
        weights,
        replicasNumber,
        replicas,
        generation,
        core);
  }

  ControlStateSnapshot withReplicas(long n, Replicas replicas) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        weightsNumber,
        weights,
        n,
        replicas,
        generation,
        core);
  }

  ControlStateSnapshot withCore(long g, CoreMemberList c) {
    return new ControlStateSnapshot(
        configurationNumber,
        configurationDigest,
        configuration,
        prefixSharingSince,
        weightsNumber,
        weights,
        replicasNumber,
        replicas,
        g,
        c);
  }

  public boolean isComplete() {
    return configurationNumber > 0 && replicasNumber > 0;
  }
}

package gladelug.control.instances;

import gladelug.common.Result;
import gladelug.common.configuration.Replicas;
import io.smallrye.mutiny.Uni;

/** The source of the list of replicas: the platform, independent of its protocol. */
public interface InstanceListSource {
  /**
   * Fetches the complete list. Fails if the platform does not answer; an invalid answer yields
   * findings. May complete on any thread.
   */
  Uni<Result<Replicas>> fetchList();

  /** Returns the interval between polls, in ms. */
  long pollIntervalMs();
}

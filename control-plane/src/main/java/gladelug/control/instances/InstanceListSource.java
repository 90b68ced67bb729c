package gladelug.control.instances;

import gladelug.common.Result;
import gladelug.common.configuration.Replicas;
import io.smallrye.mutiny.Uni;

/** Where the list of replicas comes from: the platform, by whatever protocol it speaks. */
public interface InstanceListSource {
  /**
   * Asks for the whole list. Fails where the platform doesn't answer; an answer that makes no sense
   * is findings. May complete on any thread.
   */
  Uni<Result<Replicas>> fetchList();

  /** How often it is asked, in ms. */
  long pollIntervalMs();
}

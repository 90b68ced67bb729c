/*
 * How replicas are asked what they run and told what to run, by whatever they speak. What a replica was told may have
 * been taken even where no answer came.
 */
package gladelug.control.duty;

import gladelug.kernel.configuration.Replicas.Replica;
import io.smallrye.mutiny.Uni;
import java.util.Map;

public interface ReplicaOrders {
  /** weights: by model, what it runs; loading: it is just taking other ones. */
  record Said(boolean loading, Map<String, String> weights) {}

  /**
   * Whether asking costs nothing to speak of; else the list is believed and only those told
   * something are asked.
   */
  boolean askAlways();

  /** Fails where the replica is silent or another one. */
  Uni<Said> ask(Replica r);

  /**
   * In the name of the holder, under its fence; true where the replica says that it runs these
   * already.
   */
  Uni<Boolean> order(Replica r, String holder, long fence, String model, String weights);
}

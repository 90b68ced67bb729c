package gladelug.data.request;

import gladelug.data.request.RequestState.Phase;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Tests of RequestState. */
final class RequestStateTest {
  /**
   * The transitions that the request thread, a deadline and a leaving caller may attempt
   * concurrently.
   */
  public static final class ConcurrentTransitions {
    private final RequestState state = new RequestState();

    @Operation
    public boolean handOver() {
      return state.transition(Phase.WAITING, Phase.FORWARDED);
    }

    @Operation
    public boolean refuse() {
      return state.transition(Phase.WAITING, Phase.ENDED);
    }

    @Operation
    public boolean firstPiece() {
      return state.transition(Phase.FORWARDED, Phase.STREAMING);
    }

    @Operation
    public boolean notRunThere() {
      return state.transition(Phase.FORWARDED, Phase.WAITING);
    }

    @Operation
    public boolean end() {
      return state.end();
    }

    @Operation
    public Phase at() {
      return state.phase();
    }
  }

  @Test
  void everyInterleavingIsEquivalentToASequentialOrder() {
    new ModelCheckingOptions()
        .iterations(5)
        .invocationsPerIteration(100)
        .threads(3)
        .actorsPerThread(3)
        .check(ConcurrentTransitions.class);
  }
}

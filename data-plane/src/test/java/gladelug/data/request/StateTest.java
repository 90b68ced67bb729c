package gladelug.data.request;

import gladelug.data.request.RequestState.Phase;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Tests of State. */
final class StateTest {
  /** The steps that the request thread, a deadline and a caller going away may take at once. */
  public static final class Fates {
    private final RequestState s = new RequestState();

    @Operation
    public boolean handOver() {
      return s.transition(Phase.WAITING, Phase.FORWARDED);
    }

    @Operation
    public boolean refuse() {
      return s.transition(Phase.WAITING, Phase.ENDED);
    }

    @Operation
    public boolean firstPiece() {
      return s.transition(Phase.FORWARDED, Phase.STREAMING);
    }

    @Operation
    public boolean notRunThere() {
      return s.transition(Phase.FORWARDED, Phase.WAITING);
    }

    @Operation
    public boolean end() {
      return s.end();
    }

    @Operation
    public Phase at() {
      return s.phase();
    }
  }

  @Test
  void everyInterleavingIsAsIfOneAfterTheOther() {
    new ModelCheckingOptions()
        .iterations(5)
        .invocationsPerIteration(100)
        .threads(3)
        .actorsPerThread(3)
        .check(Fates.class);
  }
}

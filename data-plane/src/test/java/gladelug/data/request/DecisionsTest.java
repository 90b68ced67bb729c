package gladelug.data.request;

import gladelug.data.request.RecentDecisions.FindResult;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Decisions. */
final class DecisionsTest {
  /** One thread begins requests, others ask. */
  public static final class Asked {
    private final RecentDecisions d = new RecentDecisions(2, "r", 0xabcdL);

    @Operation(nonParallelGroup = "order thread")
    public String begin() {
      return d.begin(0).id;
    }

    @Operation
    public String find(@Param(gen = IntGen.class, conf = "0:3") int n) {
      return d.find("r.abcd." + n).getClass().getSimpleName();
    }
  }

  @Test
  void whoAsksWhileRequestsBeginIsToldTheTruth() {
    new ModelCheckingOptions()
        .iterations(5)
        .invocationsPerIteration(100)
        .threads(2)
        .actorsPerThread(4)
        .check(Asked.class);
  }

  @Test
  void remembersTheLastAndSaysWhatBecameOfOthers() {
    RecentDecisions ds = new RecentDecisions(4, "r1", 0xabcdL);
    for (int i = 0; i < 6; i++) ds.begin(0);
    Assertions.assertTrue(ds.find("r1.abcd.5") instanceof FindResult.Present);
    Assertions.assertTrue(ds.find("r1.abcd.2") instanceof FindResult.Present);
    Assertions.assertTrue(ds.find("r1.abcd.1") instanceof FindResult.Overwritten);
    Assertions.assertTrue(ds.find("r1.abcd.6") instanceof FindResult.Unknown);
    Assertions.assertTrue(ds.find("r1.abce.5") instanceof FindResult.OtherRun);
    for (String text : new String[] {"", "r1", "r1.abcd.x", "r1.zz.1", "r1.abcd.-1", "a.b.c.d"})
      Assertions.assertTrue(ds.find(text) instanceof FindResult.Malformed, text);
  }
}

package gladelug.emulator;

import java.nio.file.Files;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the first start of a fleet of real processes. */
final class FirstStartTest {
  /** Kills the member before the bootstrap members can agree: a process takes longer to start. */
  private static final long LOST_AFTER_MS = 300;

  private static final long BACK_AFTER_MS = 1000;

  /** Guards against a fleet that never forms when a bootstrap member loses its disk. */
  @ParameterizedTest
  @ValueSource(strings = {"control-1", "control-3"})
  void aFleetFormsAlthoughABootstrapMemberReturnsWithAnEmptyDisk(String lost) throws Exception {
    Deployment deployment = Deployment.small(lost.equals("control-1") ? 23 : 24);
    try (Fleet fleet =
        new Fleet(deployment, Files.createTempDirectory("gladelug-first"), 11, "summary")) {
      fleet.bootstrap();
      for (ChildProcess child : fleet.children.values()) child.start();
      Fleet.pause(LOST_AFTER_MS);
      fleet.children.get(lost).kill();
      fleet.loseDisk(lost);
      Fleet.pause(BACK_AFTER_MS);
      fleet.children.get(lost).start();
      fleet.awaitServing();
    }
  }
}

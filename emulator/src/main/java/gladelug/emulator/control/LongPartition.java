package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import java.util.Set;

/**
 * The owner of the configuration is cut off from everybody but operators for long, in silence,
 * while operators change and read at all members.
 *
 * <p>A long silent cut of one core member.
 */
public final class LongPartition implements ControlFaultRun.FaultScenario {
  private static final long BEFORE_PARTITION_MS = 3000;
  private static final long AFTER_PARTITION_MS = 6000;
  private final long partitionMs;

  /** Cuts for so many milliseconds. */
  public LongPartition(long partitionMs) {
    this.partitionMs = partitionMs;
  }

  @Override
  public void play(ControlFaultRun day) {
    day.keepChanging(2);
    day.keepReading();
    Fleet.pause(BEFORE_PARTITION_MS);
    String owner = day.ownerOfConfiguration();
    Set<String> others = day.allNodesExcept(owner);
    day.print("cut off " + owner + " for " + partitionMs + " ms");
    day.fleet.wires.split(Set.of(owner), others);
    Fleet.pause(partitionMs);
    day.fleet.wires.mend();
    day.print("mended");
    Fleet.pause(AFTER_PARTITION_MS);
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}

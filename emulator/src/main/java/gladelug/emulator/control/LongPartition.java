package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import java.util.Set;

/**
 * Drops all packets between the owner of the configuration and every other machine for a long time,
 * while operators, whom it can still reach, change and read the configuration at all members.
 */
public final class LongPartition implements ControlFaultRun.FaultScenario {
  private static final long BEFORE_PARTITION_MS = 3000;
  private static final long AFTER_PARTITION_MS = 6000;
  private final long partitionMs;

  /** Creates a scenario with a partition of the given length. */
  public LongPartition(long partitionMs) {
    this.partitionMs = partitionMs;
  }

  @Override
  public void play(ControlFaultRun run) {
    run.keepChanging(2);
    run.keepReading();
    Fleet.pause(BEFORE_PARTITION_MS);
    String owner = run.ownerOfConfiguration();
    Set<String> others = run.allNodesExcept(owner);
    run.print("partition " + owner + " for " + partitionMs + " ms");
    run.fleet.links.cutBetween(Set.of(owner), others);
    Fleet.pause(partitionMs);
    run.fleet.links.heal();
    run.print("mended");
    Fleet.pause(AFTER_PARTITION_MS);
  }

  @Override
  public long maxGapMs() {
    return 12_000;
  }
}

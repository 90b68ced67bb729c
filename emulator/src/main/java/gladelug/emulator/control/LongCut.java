package gladelug.emulator.control;

import gladelug.emulator.Fleet;
import java.util.Set;

/**
 * The owner of the configuration is cut off from everybody but operators for long, in silence,
 * while operators change and read at all members.
 *
 * <p>A long silent cut of one core member.
 */
public final class LongCut implements ControlDay.Trouble {
  private static final long BEFORE_MS = 3000;
  private static final long AFTER_MS = 6000;
  private final long cutMs;

  /** Cuts for so many milliseconds. */
  public LongCut(long cutMs) {
    this.cutMs = cutMs;
  }

  @Override
  public void play(ControlDay day) {
    day.keepChanging(2);
    day.keepReading();
    Fleet.pause(BEFORE_MS);
    String owner = day.ownerOfConfiguration();
    Set<String> others = day.everybodyBut(owner);
    day.say("cut off " + owner + " for " + cutMs + " ms");
    day.fleet.links.cutBetween(Set.of(owner), others);
    Fleet.pause(cutMs);
    day.fleet.links.heal();
    day.say("mended");
    Fleet.pause(AFTER_MS);
  }

  @Override
  public long longestGapMs() {
    return 12_000;
  }
}

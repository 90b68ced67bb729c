/*
 * The operators of a checked core: they send values nobody sent before and read the newest one,
 * through the door of any machine.
 */
package gladelug.rehearsal.check;

import gladelug.control.core.ChangeAnswer;
import gladelug.kernel.Digest;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Sends changes and reads and hands the answers to the rules. */
final class Operators {
  private static final long WHATEVER_IS_THERE = -1;

  private final World world;
  private int sent;
  private int done;
  private int reads;

  Operators(World world) {
    this.world = world;
  }

  int sent() {
    return sent;
  }

  int done() {
    return done;
  }

  int reads() {
    return reads;
  }

  void propose(CheckedMachine door, String key, boolean onTheOneKept) {
    String name = "value " + ++sent;
    byte[] body = name.getBytes(StandardCharsets.UTF_8);
    String digest = Digest.hex(body);
    long match = onTheOneKept ? door.node.kept(key).getKey() : WHATEVER_IS_THERE;
    Consumer<ChangeAnswer> answer =
        a -> {
          door.events.add(name + " answered " + a);
          if (a instanceof ChangeAnswer.Done) done++;
          world.rules.answered(key, digest, name, a);
        };
    door.run(() -> door.node.change(key, match, body, answer));
  }

  void read(CheckedMachine door, String key) {
    long least = world.rules.newestTold(key);
    door.history = Mixing.mix(door.history, least);
    door.run(
        () ->
            door.node.readNewest(
                key,
                x -> {
                  door.events.add("read answered " + (x.owned() ? x.number() : "no owner"));
                  if (x.owned()) reads++;
                  world.rules.read(door.name, key, least, x);
                }));
  }

  void swap(CheckedMachine owner, String out, String in) {
    owner.run(
        () -> {
          String refusal =
              owner.node.swap(out, in, a -> owner.events.add("replacement answered " + a));
          if (!refusal.isEmpty()) owner.events.add(refusal);
        });
  }
}

package gladelug.emulator.check;

import gladelug.common.Digest;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operators of a checked core: they send values nobody sent before and read the newest one,
 * through the door of any machine.
 *
 * <p>Sends changes and reads and hands the answers to the rules.
 */
final class Operators {
  private final World world;
  private final List<ChangeRequest> requests = new ArrayList<>();
  private int done;
  private int reads;

  Operators(World world) {
    this.world = world;
  }

  int done() {
    return done;
  }

  int reads() {
    return reads;
  }

  /** onTheOneKept: only if the newest number is the one that this door has on disk. */
  void propose(CheckedMachine door, String key, boolean onTheOneKept) {
    String name = "value " + (requests.size() + 1);
    byte[] body = name.getBytes(StandardCharsets.UTF_8);
    ChangeRequest request =
        onTheOneKept
            ? ChangeRequest.basedOnNumber(key, door.node.storedValue(key).getKey(), body)
            : ChangeRequest.withoutBase(key, ChangeRequest.ANY_NUMBER, body);
    requests.add(request);
    send(door, request, name);
  }

  /** Sends once more what was sent on a number; the back-th last request, whatever became of it. */
  void resend(CheckedMachine door, long back) {
    int at = requests.size() - 1 - (int) back;
    if (at < 0 || requests.get(at).requiredNumber() == ChangeRequest.ANY_NUMBER) return;
    send(door, requests.get(at), "value " + (at + 1));
  }

  private void send(CheckedMachine door, ChangeRequest request, String name) {
    String digest = Digest.hex(request.body());
    Consumer<ChangeResult> answer =
        result -> {
          door.events.add(name + " answered " + result);
          if (result instanceof ChangeResult.Acknowledged) done++;
          world.rules.answered(request.key(), digest, name, result);
        };
    world.rules.sent(digest);
    door.run(() -> door.node.change(request, answer));
  }

  void read(CheckedMachine door, String key) {
    long least = world.rules.newestTold(key);
    door.history = Mixing.mix(door.history, least);
    door.run(
        () ->
            door.node.readNewest(
                key,
                x -> {
                  door.events.add("read answered " + (x.hasOwner() ? x.number() : "no owner"));
                  if (x.hasOwner()) reads++;
                  world.rules.read(door.name, key, least, x);
                }));
  }

  void swap(CheckedMachine owner, String out, String in) {
    owner.run(
        () -> {
          String refusal =
              owner.node.replaceMember(
                  out, in, result -> owner.events.add("replacement answered " + result));
          if (!refusal.isEmpty()) owner.events.add(refusal);
        });
  }
}

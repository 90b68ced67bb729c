package gladelug.emulator.check;

import gladelug.common.Digest;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The operators of a checked core. They send new values and read the newest one through any
 * machine, and pass the answers to the rules.
 */
final class OperatorActions {
  private final CheckedWorld world;
  private final List<ChangeRequest> requests = new ArrayList<>();
  private int acknowledgedCount;
  private int readCount;

  OperatorActions(CheckedWorld world) {
    this.world = world;
  }

  int acknowledgedCount() {
    return acknowledgedCount;
  }

  int readCount() {
    return readCount;
  }

  /**
   * Sends a new value. basedOnStored: the change requires the number that this member has on disk
   * to be current.
   */
  void propose(CheckedMachine member, String key, boolean basedOnStored) {
    String name = "value " + (requests.size() + 1);
    byte[] body = name.getBytes(StandardCharsets.UTF_8);
    ChangeRequest request =
        basedOnStored
            ? ChangeRequest.basedOnNumber(key, member.node.storedValue(key).getKey(), body)
            : ChangeRequest.withoutBase(key, ChangeRequest.ANY_NUMBER, body);
    requests.add(request);
    send(member, request, name);
  }

  /**
   * Sends an earlier request again that required a number. stepsBack: how many requests back, 0 for
   * the last.
   */
  void resend(CheckedMachine member, long stepsBack) {
    int index = requests.size() - 1 - (int) stepsBack;
    if (index < 0 || requests.get(index).requiredNumber() == ChangeRequest.ANY_NUMBER) return;
    send(member, requests.get(index), "value " + (index + 1));
  }

  private void send(CheckedMachine member, ChangeRequest request, String name) {
    String digest = Digest.hex(request.body());
    Consumer<ChangeResult> answer =
        result -> {
          member.events.add(name + " answered " + result);
          if (result instanceof ChangeResult.Acknowledged) acknowledgedCount++;
          world.rules.onAnswer(request.key(), digest, name, result);
        };
    world.rules.onSent(digest);
    member.run(() -> member.node.change(request, answer));
  }

  void read(CheckedMachine member, String key) {
    long minNumber = world.rules.newestTold(key);
    member.history = HashMixer.mix(member.history, minNumber);
    member.run(
        () ->
            member.node.readNewest(
                key,
                answer -> {
                  member.events.add(
                      "read answered " + (answer.hasOwner() ? answer.number() : "no owner"));
                  if (answer.hasOwner()) readCount++;
                  world.rules.onRead(member.name, key, minNumber, answer);
                }));
  }

  void replaceMember(CheckedMachine owner, String leaving, String joining) {
    owner.run(
        () -> {
          String refusal =
              owner.node.replaceMember(
                  leaving, joining, result -> owner.events.add("replacement answered " + result));
          if (!refusal.isEmpty()) owner.events.add(refusal);
        });
  }
}

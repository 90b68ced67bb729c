package gladelug.control.core.register;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.CoreHost;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests {@link RegisterStore}: how much it writes, and that it reads back what was stored. */
final class RegisterStoreTest {
  private static final String KEY = "policy";

  private record Write(String name, byte[] state, Runnable onDurable) {}

  /** A disk that records writes in order; the test decides when each becomes durable. */
  private static final class Disk implements CoreHost {
    final List<Write> writes = new ArrayList<>();
    int completedCount;

    void completeNext() {
      writes.get(completedCount++).onDurable.run();
    }

    void completeAll() {
      while (completedCount < writes.size()) completeNext();
    }

    /** Returns what is read after a power failure with this many writes durable. */
    Map<String, byte[]> durableAfter(int count) {
      Map<String, byte[]> durable = new HashMap<>();
      for (Write write : writes.subList(0, count)) durable.put(write.name, write.state);
      return durable;
    }

    int lastWriteBytes() {
      return writes.get(writes.size() - 1).state.length;
    }

    @Override
    public void sync(String key, byte[] state, Runnable done) {
      writes.add(new Write(key, state, done));
    }

    @Override
    public long nowMs() {
      return 0;
    }

    @Override
    public long random(long below) {
      return 0;
    }

    @Override
    public long wallClockMs() {
      return 0;
    }

    @Override
    public void send(String member, CoreMessage.Envelope message) {}

    @Override
    public void sendTo(Address to, CoreMessage.Envelope message) {}

    @Override
    public List<Address> contactAddresses() {
      return List.of();
    }

    @Override
    public void pushUpdate(String node, StateUpdate message) {}

    @Override
    public void onMembersChanged(MemberSet message) {}

    @Override
    public void logEvent(String name, Object... pairs) {}
  }

  private static VersionedValue value(VersionedValue before, int size, int content) {
    byte[] body = new byte[size];
    Arrays.fill(body, (byte) content);
    return before.next(Digest.hex(body), body);
  }

  /** Serializes and parses a register, as for one received from another member. */
  private static Register serializeAndParse(Register register) {
    return Register.of(register.toBytes());
  }

  @Test
  void aChangeOfOwnersWritesTheEpochsWithoutTheValue() {
    Disk disk = new Disk();
    RegisterStore store = new RegisterStore(disk, Map.of());
    VersionedValue large = value(VersionedValue.NONE, 1_500_000, 1);
    store.put(KEY, new Register(5, 5, large), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() >= 1_500_000);
    disk.completeAll();
    store.put(KEY, new Register(6, 5, large), () -> {});
    Assertions.assertTrue(
        disk.lastWriteBytes() < 200, "bytes written for a promise: " + disk.lastWriteBytes());
    store.put(KEY, serializeAndParse(new Register(6, 6, large)), () -> {});
    Assertions.assertTrue(
        disk.lastWriteBytes() < 200, "bytes written for the same value: " + disk.lastWriteBytes());
    store.put(KEY, new Register(6, 6, value(large, 1_500_000, 2)), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() >= 1_500_000, "a change writes the complete value");
  }

  @Test
  void aCompleteRegisterIsWrittenWhileTheValueMayNotBeDurable() {
    Disk disk = new Disk();
    RegisterStore store = new RegisterStore(disk, Map.of());
    VersionedValue seventh = value(VersionedValue.NONE, 4000, 1), eighth = value(seventh, 4000, 2);
    store.put(KEY, new Register(1, 1, seventh), () -> {});
    store.put(KEY, new Register(2, 1, seventh), () -> {});
    Assertions.assertTrue(
        disk.lastWriteBytes() > 4000, "the write of the value is still in flight");
    disk.completeAll();
    // an owner's write that no other member accepted, replaced by the next owner's older value
    store.put(KEY, new Register(2, 2, eighth), () -> {});
    store.put(KEY, new Register(3, 3, seventh), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() > 4000, "the older value was overwritten");
    disk.completeAll();
    Assertions.assertEquals(
        seventh.digest(),
        new RegisterStore(disk, disk.durableAfter(disk.writes.size())).get(KEY).value().digest());
  }

  @Test
  void afterAPowerFailureTheLastDurableRegisterIsReadBack() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      Disk disk = new Disk();
      RegisterStore store = new RegisterStore(disk, Map.of());
      List<Register> history = new ArrayList<>(List.of(Register.EMPTY));
      Register register = Register.EMPTY;
      long epoch = 0;
      for (int i = 0; i < 60; i++) {
        epoch += random.nextInt(3);
        register =
            switch (random.nextInt(4)) {
              case 0 -> new Register(epoch, register.acceptedEpoch(), register.value());
              case 1 -> new Register(epoch, epoch, register.value());
              case 2 -> new Register(epoch, epoch, value(register.value(), 10, random.nextInt(3)));
              default ->
                  new Register(
                      epoch,
                      epoch,
                      serializeAndParse(history.get(random.nextInt(history.size()))).value());
            };
        store.put(KEY, register, () -> {});
        history.add(register);
        while (disk.completedCount < disk.writes.size() && random.nextBoolean())
          disk.completeNext();
      }
      for (int count = 0; count <= disk.writes.size(); count++)
        Assertions.assertArrayEquals(
            history.get(count).toBytes(),
            new RegisterStore(disk, disk.durableAfter(count)).get(KEY).toBytes(),
            "seed " + seed + ", power lost after write " + count);
    }
  }
}

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

/** Tests of KeptCells: how much is written, and that what is read back is what was kept. */
final class RegisterStoreTest {
  private static final String KEY = "policy";

  private record Write(String name, byte[] state, Runnable onDurable) {}

  /** A disk that keeps what it is handed, in order, until the test has it last. */
  private static final class Disk implements CoreHost {
    final List<Write> writes = new ArrayList<>();
    int completedCount;

    void completeNext() {
      writes.get(completedCount++).onDurable.run();
    }

    void completeAll() {
      while (completedCount < writes.size()) completeNext();
    }

    /** What is read after a loss of power with so many writes done. */
    Map<String, byte[]> durableAfter(int count) {
      Map<String, byte[]> durable = new HashMap<>();
      for (Write w : writes.subList(0, count)) durable.put(w.name, w.state);
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
    public void send(String member, CoreMessage.Envelope m) {}

    @Override
    public void sendTo(Address to, CoreMessage.Envelope m) {}

    @Override
    public List<Address> contactAddresses() {
      return List.of();
    }

    @Override
    public void pushUpdate(String node, StateUpdate m) {}

    @Override
    public void onMembersChanged(MemberSet m) {}

    @Override
    public void logEvent(String name, Object... pairs) {}
  }

  private static VersionedValue value(VersionedValue before, int size, int content) {
    byte[] body = new byte[size];
    Arrays.fill(body, (byte) content);
    return before.next(Digest.hex(body), body);
  }

  /** Serialised and read again, as what comes from another member is. */
  private static Register serializeAndParse(Register cell) {
    return Register.of(cell.toBytes());
  }

  @Test
  void aChangeOfOwnersWritesEpochsAndNoCopyOfTheValue() {
    Disk disk = new Disk();
    RegisterStore kept = new RegisterStore(disk, Map.of());
    VersionedValue large = value(VersionedValue.NONE, 1_500_000, 1);
    kept.put(KEY, new Register(5, 5, large), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() >= 1_500_000);
    disk.completeAll();
    kept.put(KEY, new Register(6, 5, large), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() < 200, "a promise: " + disk.lastWriteBytes());
    kept.put(KEY, serializeAndParse(new Register(6, 6, large)), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() < 200, "the value again: " + disk.lastWriteBytes());
    kept.put(KEY, new Register(6, 6, value(large, 1_500_000, 2)), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() >= 1_500_000, "a change");
  }

  @Test
  void nothingShortIsWrittenOnAValueThatMayNotLast() {
    Disk disk = new Disk();
    RegisterStore kept = new RegisterStore(disk, Map.of());
    VersionedValue seventh = value(VersionedValue.NONE, 4000, 1), eighth = value(seventh, 4000, 2);
    kept.put(KEY, new Register(1, 1, seventh), () -> {});
    kept.put(KEY, new Register(2, 1, seventh), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() > 4000, "the value before it is still on its way");
    disk.completeAll();
    // the owner's write that nobody else took, and the next owner's older value over it
    kept.put(KEY, new Register(2, 2, eighth), () -> {});
    kept.put(KEY, new Register(3, 3, seventh), () -> {});
    Assertions.assertTrue(disk.lastWriteBytes() > 4000, "the older value was overwritten");
    disk.completeAll();
    Assertions.assertEquals(
        seventh.digest(),
        new RegisterStore(disk, disk.durableAfter(disk.writes.size())).get(KEY).value().digest());
  }

  @Test
  void whereverThePowerGoesTheCellKeptLastBeforeIsReadBack() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      Disk disk = new Disk();
      RegisterStore kept = new RegisterStore(disk, Map.of());
      List<Register> history = new ArrayList<>(List.of(Register.EMPTY));
      Register cell = Register.EMPTY;
      long epoch = 0;
      for (int i = 0; i < 60; i++) {
        epoch += random.nextInt(3);
        cell =
            switch (random.nextInt(4)) {
              case 0 -> new Register(epoch, cell.acceptedEpoch(), cell.value());
              case 1 -> new Register(epoch, epoch, cell.value());
              case 2 -> new Register(epoch, epoch, value(cell.value(), 10, random.nextInt(3)));
              default ->
                  new Register(
                      epoch,
                      epoch,
                      serializeAndParse(history.get(random.nextInt(history.size()))).value());
            };
        kept.put(KEY, cell, () -> {});
        history.add(cell);
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

package gladelug.common.disk;

import gladelug.common.disk.RecordRing.DamagedRingException;
import gladelug.common.disk.RecordRing.Entry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of RecordRing. */
final class RecordRingTest {
  private static final class InMemoryStorage implements Storage {
    final byte[][] files = new byte[4][4096];

    @Override
    public int fileCount() {
      return 4;
    }

    @Override
    public int fileBytes() {
      return 4096;
    }

    @Override
    public byte[] read(int file) {
      return files[file].clone();
    }

    @Override
    public void write(int file, int offset, byte[] bytes) {
      System.arraycopy(bytes, 0, files[file], offset, bytes.length);
    }

    @Override
    public void sync(int file) {}
  }

  private static Entry entry(String key, int value) {
    return new Entry(key, ("v" + value).getBytes(StandardCharsets.UTF_8));
  }

  private static String liveValue(RecordRing ring, String key) {
    return new String(ring.live().get(key), StandardCharsets.UTF_8);
  }

  @Test
  void wrapsAroundManyTimesAndKeepsLiveEntries() throws IOException {
    InMemoryStorage storage = new InMemoryStorage();
    RecordRing ring = RecordRing.open(storage);
    ring.write(List.of(entry("old", 7)));
    for (int i = 0; i < 200; i++) {
      ring.write(List.of(entry("k" + i % 3, i)));
      RecordRing reopened = RecordRing.open(storage);
      Assertions.assertEquals("v" + i, liveValue(reopened, "k" + i % 3));
      Assertions.assertEquals("v7", liveValue(reopened, "old"));
    }
  }

  @Test
  void aTornLastFrameIsDroppedAndEarlierFramesAreKept() throws IOException {
    for (int writes = 1; writes < 40; writes++) {
      InMemoryStorage storage = new InMemoryStorage();
      RecordRing ring = RecordRing.open(storage);
      for (int i = 0; i < writes; i++) ring.write(List.of(entry("a", i)));
      byte[][] before = new byte[4][];
      for (int i = 0; i < 4; i++) before[i] = storage.files[i].clone();
      ring.write(List.of(entry("a", 1000)));
      for (int i = 0; i < 4; i++)
        for (int offset = 0; offset < 4096; offset += 512)
          if (!Arrays.equals(
              before[i], offset, offset + 512, storage.files[i], offset, offset + 512))
            storage.files[i][offset + 25] ^= 0x55;
      Assertions.assertEquals(
          "v" + (writes - 1), liveValue(RecordRing.open(storage), "a"), "after " + writes);
    }
  }

  @Test
  void damageBeforeTheLastFrameIsNotTakenForATornFrame() throws IOException {
    for (int damagedFrame = 0; damagedFrame < 5; damagedFrame++) {
      InMemoryStorage storage = new InMemoryStorage();
      RecordRing ring = RecordRing.open(storage);
      for (int i = 0; i < 6; i++) ring.write(List.of(entry("a", i)));
      storage.files[0][damagedFrame * 512 + 30] ^= 1;
      Assertions.assertThrows(
          DamagedRingException.class, () -> RecordRing.open(storage), "frame " + damagedFrame);
    }
  }

  @Test
  void aFrameOfAnUnknownKindIsReportedAsDamage() throws IOException {
    InMemoryStorage storage = new InMemoryStorage();
    RecordRing ring = RecordRing.open(storage);
    ring.write(List.of(entry("a", 1)));
    ring.write(List.of(entry("a", 2)));
    ByteBuffer frame = ByteBuffer.wrap(storage.files[0], 512, 512);
    int length = frame.getInt(512 + 8);
    frame.put(512 + 20, (byte) 7);
    CRC32C sum = new CRC32C();
    sum.update(storage.files[0], 512 + 8, 13 + length);
    frame.putInt(512 + 4, (int) sum.getValue());
    DamagedRingException found =
        Assertions.assertThrows(DamagedRingException.class, () -> RecordRing.open(storage));
    Assertions.assertTrue(found.getMessage().contains("unknown kind 7"), found.getMessage());
  }
}

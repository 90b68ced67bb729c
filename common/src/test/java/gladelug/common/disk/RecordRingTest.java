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
  private static final class Paper implements Storage {
    final byte[][] f = new byte[4][4096];

    @Override
    public int fileCount() {
      return 4;
    }

    @Override
    public int fileBytes() {
      return 4096;
    }

    @Override
    public byte[] read(int i) {
      return f[i].clone();
    }

    @Override
    public void write(int i, int at, byte[] b) {
      System.arraycopy(b, 0, f[i], at, b.length);
    }

    @Override
    public void sync(int i) {}
  }

  private static Entry e(String k, int v) {
    return new Entry(k, ("v" + v).getBytes(StandardCharsets.UTF_8));
  }

  private static String get(RecordRing r, String k) {
    return new String(r.live().get(k), StandardCharsets.UTF_8);
  }

  @Test
  void comesRoundManyTimesAndKeepsWhatIsAlive() throws IOException {
    Paper p = new Paper();
    RecordRing r = RecordRing.open(p);
    r.write(List.of(e("old", 7)));
    for (int i = 0; i < 200; i++) {
      r.write(List.of(e("k" + i % 3, i)));
      RecordRing s = RecordRing.open(p);
      Assertions.assertEquals("v" + i, get(s, "k" + i % 3));
      Assertions.assertEquals("v7", get(s, "old"));
    }
  }

  @Test
  void everyTornTailIsCutAndEveryEarlierFrameKept() throws IOException {
    for (int n = 1; n < 40; n++) {
      Paper p = new Paper();
      RecordRing r = RecordRing.open(p);
      for (int i = 0; i < n; i++) r.write(List.of(e("a", i)));
      byte[][] before = new byte[4][];
      for (int i = 0; i < 4; i++) before[i] = p.f[i].clone();
      r.write(List.of(e("a", 1000)));
      for (int i = 0; i < 4; i++)
        for (int j = 0; j < 4096; j += 512)
          if (!Arrays.equals(before[i], j, j + 512, p.f[i], j, j + 512)) p.f[i][j + 25] ^= 0x55;
      Assertions.assertEquals("v" + (n - 1), get(RecordRing.open(p), "a"), "after " + n);
    }
  }

  @Test
  void damageBeforeTheTailIsNeverTakenForATornTail() throws IOException {
    for (int bad = 0; bad < 5; bad++) {
      Paper p = new Paper();
      RecordRing r = RecordRing.open(p);
      for (int i = 0; i < 6; i++) r.write(List.of(e("a", i)));
      p.f[0][bad * 512 + 30] ^= 1;
      Assertions.assertThrows(DamagedRingException.class, () -> RecordRing.open(p), "frame " + bad);
    }
  }

  @Test
  void aFrameOfAnUnknownKindIsDamageAndNotRead() throws IOException {
    Paper p = new Paper();
    RecordRing r = RecordRing.open(p);
    r.write(List.of(e("a", 1)));
    r.write(List.of(e("a", 2)));
    ByteBuffer frame = ByteBuffer.wrap(p.f[0], 512, 512);
    int length = frame.getInt(512 + 8);
    frame.put(512 + 20, (byte) 7);
    CRC32C sum = new CRC32C();
    sum.update(p.f[0], 512 + 8, 13 + length);
    frame.putInt(512 + 4, (int) sum.getValue());
    DamagedRingException found =
        Assertions.assertThrows(DamagedRingException.class, () -> RecordRing.open(p));
    Assertions.assertTrue(found.getMessage().contains("unknown kind 7"), found.getMessage());
  }
}

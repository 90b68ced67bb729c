package gladelug.control.core.register;

import gladelug.common.Clock;
import gladelug.common.disk.RecordRing;
import gladelug.common.disk.Storage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of DiskDuty: a disk that takes nothing for a while, and one that is closed while it is
 * written.
 */
final class DiskWriterTest {
  /**
   * A medium in memory that refuses so many writes, and calls something in the middle of each sync.
   */
  private static final class MemoryStorage implements Storage {
    final byte[][] files = new byte[2][1 << 16];
    final AtomicInteger writesToRefuse = new AtomicInteger();
    final AtomicInteger refusedWrites = new AtomicInteger();
    Runnable onSync = () -> {};

    @Override
    public int fileCount() {
      return files.length;
    }

    @Override
    public int fileBytes() {
      return files[0].length;
    }

    @Override
    public byte[] read(int file) {
      return files[file].clone();
    }

    @Override
    public void write(int file, int at, byte[] b) throws IOException {
      if (writesToRefuse.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
        refusedWrites.incrementAndGet();
        System.arraycopy(b, 0, files[file], at, b.length / 2);
        throw new IOException("No space left on device");
      }
      System.arraycopy(b, 0, files[file], at, b.length);
    }

    @Override
    public void sync(int file) {
      onSync.run();
    }
  }

  @Test
  void whatAFullDiskRefusedIsWrittenOnceItTakesBytesAgain() throws Exception {
    MemoryStorage p = new MemoryStorage();
    p.writesToRefuse.set(3);
    List<String> failed = new ArrayList<>();
    CompletableFuture<Void> first = new CompletableFuture<>(), second = new CompletableFuture<>();
    try (DiskWriter d =
        new DiskWriter(RecordRing.open(p), Clock.monotonic(), Runnable::run, failed::add)) {
      d.enqueue("a", new byte[] {1}, () -> first.complete(null));
      d.enqueue("b", new byte[] {2}, () -> second.complete(null));
      first.get(10, TimeUnit.SECONDS);
      second.get(10, TimeUnit.SECONDS);
      Assertions.assertEquals(0, d.stalledMs());
    }
    Assertions.assertEquals(3, p.refusedWrites.get());
    Assertions.assertEquals(List.of(), failed, "a full disk is no reason to end");
    RecordRing again = RecordRing.open(p);
    Assertions.assertArrayEquals(new byte[] {1}, again.live().get("a"));
    Assertions.assertArrayEquals(new byte[] {2}, again.live().get("b"));
  }

  @Test
  void closingDoesNotInterruptWhatIsBeingWritten() throws Exception {
    MemoryStorage p = new MemoryStorage();
    CountDownLatch within = new CountDownLatch(1), go = new CountDownLatch(1);
    List<Boolean> interrupted = new ArrayList<>();
    p.onSync =
        () -> {
          within.countDown();
          try {
            go.await(10, TimeUnit.SECONDS);
            interrupted.add(false);
          } catch (InterruptedException e) {
            interrupted.add(true);
          }
        };
    CompletableFuture<Void> done = new CompletableFuture<>();
    List<String> failed = new ArrayList<>();
    DiskWriter d =
        new DiskWriter(RecordRing.open(p), Clock.monotonic(), Runnable::run, failed::add);
    d.enqueue("a", new byte[] {1}, () -> done.complete(null));
    Assertions.assertTrue(within.await(10, TimeUnit.SECONDS));
    d.close();
    go.countDown();
    done.get(10, TimeUnit.SECONDS);
    Assertions.assertEquals(List.of(false), interrupted);
    Assertions.assertEquals(List.of(), failed);
  }
}

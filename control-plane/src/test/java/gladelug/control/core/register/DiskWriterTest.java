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
 * Tests {@link DiskWriter} with a disk that refuses writes for a while, and closing it during a
 * write.
 */
final class DiskWriterTest {
  /**
   * In-memory storage that refuses a given number of writes, writing half of the bytes each time,
   * and runs a callback during each sync.
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
    public void write(int file, int at, byte[] bytes) throws IOException {
      if (writesToRefuse.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
        refusedWrites.incrementAndGet();
        System.arraycopy(bytes, 0, files[file], at, bytes.length / 2);
        throw new IOException("No space left on device");
      }
      System.arraycopy(bytes, 0, files[file], at, bytes.length);
    }

    @Override
    public void sync(int file) {
      onSync.run();
    }
  }

  @Test
  void writesRefusedByAFullDiskAreRetriedUntilTheySucceed() throws Exception {
    MemoryStorage storage = new MemoryStorage();
    storage.writesToRefuse.set(3);
    List<String> failed = new ArrayList<>();
    CompletableFuture<Void> first = new CompletableFuture<>(), second = new CompletableFuture<>();
    try (DiskWriter writer =
        new DiskWriter(RecordRing.open(storage), Clock.monotonic(), Runnable::run, failed::add)) {
      writer.enqueue("a", new byte[] {1}, () -> first.complete(null));
      writer.enqueue("b", new byte[] {2}, () -> second.complete(null));
      first.get(10, TimeUnit.SECONDS);
      second.get(10, TimeUnit.SECONDS);
      Assertions.assertEquals(0, writer.stalledMs());
    }
    Assertions.assertEquals(3, storage.refusedWrites.get());
    Assertions.assertEquals(List.of(), failed, "a full disk does not count as failed");
    RecordRing again = RecordRing.open(storage);
    Assertions.assertArrayEquals(new byte[] {1}, again.live().get("a"));
    Assertions.assertArrayEquals(new byte[] {2}, again.live().get("b"));
  }

  @Test
  void closingDoesNotInterruptAWriteInProgress() throws Exception {
    MemoryStorage storage = new MemoryStorage();
    CountDownLatch syncStarted = new CountDownLatch(1), mayFinish = new CountDownLatch(1);
    List<Boolean> interrupted = new ArrayList<>();
    storage.onSync =
        () -> {
          syncStarted.countDown();
          try {
            mayFinish.await(10, TimeUnit.SECONDS);
            interrupted.add(false);
          } catch (InterruptedException e) {
            interrupted.add(true);
          }
        };
    CompletableFuture<Void> done = new CompletableFuture<>();
    List<String> failed = new ArrayList<>();
    DiskWriter writer =
        new DiskWriter(RecordRing.open(storage), Clock.monotonic(), Runnable::run, failed::add);
    writer.enqueue("a", new byte[] {1}, () -> done.complete(null));
    Assertions.assertTrue(syncStarted.await(10, TimeUnit.SECONDS));
    writer.close();
    mayFinish.countDown();
    done.get(10, TimeUnit.SECONDS);
    Assertions.assertEquals(List.of(false), interrupted);
    Assertions.assertEquals(List.of(), failed);
  }
}

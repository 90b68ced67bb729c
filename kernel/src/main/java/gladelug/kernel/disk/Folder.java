/*
 * The one data folder: a lock so that two processes never share it, the identity of the disk, and
 * the ring's files, preallocated so that a full disk shows at start-up and not later.
 */
package gladelug.kernel.disk;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.kernel.Kernel;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

public final class Folder implements Medium, AutoCloseable {
  private static final int FILES = 4;
  private final Path dir;
  private final int size;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final FileChannel[] files = new FileChannel[FILES];

  public Folder(Path dir, int size) {
    this.dir = dir;
    this.size = size;
    try {
      Files.createDirectories(dir);
      lockFile =
          FileChannel.open(
              dir.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock l = null;
      try {
        l = lockFile.tryLock();
      } catch (OverlappingFileLockException e) {
        // held by this very process: the same answer
      }
      lock = l;
    } catch (IOException e) {
      throw new Kernel.CannotStart("data folder " + dir + " cannot be used: " + e, e);
    }
    if (lock == null)
      throw new Kernel.CannotStart("data folder " + dir + " is in use by another process");
  }

  public Path dir() {
    return dir;
  }

  public JsonObject identity() {
    Path p = dir.resolve("identity.json");
    if (!Files.exists(p)) return null;
    try {
      return Json.parse(Files.readString(p)).asObject();
    } catch (IOException | RuntimeException e) {
      throw new Kernel.CannotStart("identity.json in " + dir + " cannot be read: " + e, e);
    }
  }

  /** Replaced whole: written aside, synced, renamed, folder synced. */
  public void identity(JsonObject o) {
    try {
      Path t = dir.resolve("identity.json.new");
      try (FileChannel c =
          FileChannel.open(
              t,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        c.write(ByteBuffer.wrap(o.toString().getBytes(StandardCharsets.UTF_8)));
        c.force(true);
      }
      Files.move(t, dir.resolve("identity.json"), StandardCopyOption.ATOMIC_MOVE);
      syncDir();
    } catch (IOException e) {
      throw new Kernel.CannotStart("data folder " + dir + " cannot be written: " + e, e);
    }
  }

  private void syncDir() throws IOException {
    try (FileChannel c = FileChannel.open(dir, StandardOpenOption.READ)) {
      c.force(true);
    }
  }

  /**
   * Makes what is missing and opens the files; any file of the wrong size is a finding of its own.
   */
  public Folder prepare() {
    byte[] zero = new byte[1 << 20];
    try {
      for (int i = 0; i < FILES; i++) {
        Path p = dir.resolve("ring-" + i);
        boolean fresh = !Files.exists(p) || Files.size(p) < size && identity() == null;
        if (!fresh && Files.size(p) != size)
          throw new Kernel.CannotStart(
              "ring file " + p + " has " + Files.size(p) + " bytes and should have " + size);
        try (RandomAccessFile f = new RandomAccessFile(p.toFile(), "rw")) {
          for (long at = 0; fresh && at < size; at += zero.length)
            f.write(zero, 0, (int) Math.min(zero.length, size - at));
          if (fresh) f.getFD().sync();
        }
        files[i] = FileChannel.open(p, StandardOpenOption.READ, StandardOpenOption.WRITE);
      }
      syncDir();
    } catch (IOException e) {
      throw new Kernel.CannotStart("data folder " + dir + " cannot hold the ring: " + e, e);
    }
    return this;
  }

  @Override
  public int files() {
    return FILES;
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public byte[] read(int file) throws IOException {
    ByteBuffer b = ByteBuffer.allocate(size);
    while (b.hasRemaining() && files[file].read(b, b.position()) >= 0) {
      // until all of it is read
    }
    return b.array();
  }

  @Override
  public void write(int file, int at, byte[] b) throws IOException {
    ByteBuffer x = ByteBuffer.wrap(b);
    while (x.hasRemaining()) files[file].write(x, at + x.position());
  }

  @Override
  public void sync(int file) throws IOException {
    files[file].force(false);
  }

  @Override
  public void close() {
    try {
      for (FileChannel f : files) if (f != null) f.close();
      lock.release();
      lockFile.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

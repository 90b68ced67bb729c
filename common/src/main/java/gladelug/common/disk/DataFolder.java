package gladelug.common.disk;

import gladelug.common.ServiceRegistry;
import java.io.IOException;
import java.io.InputStream;
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

/**
 * The one data folder: a lock so that two processes never share it, the identity of the disk, and
 * the ring's files, preallocated so that a full disk shows at start-up and not later.
 */
public final class DataFolder implements Storage, AutoCloseable {
  private static final int FILE_COUNT = 4, CHUNK_BYTES = 1 << 20;
  private static final String IDENTITY_FILE = "identity.json";
  private final Path directory;
  private int ringFileBytes;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final FileChannel[] files = new FileChannel[FILE_COUNT];

  /** size: of each of the ring's files in bytes, where the folder is made now. */
  public DataFolder(Path dir, int size) {
    this.directory = dir;
    this.ringFileBytes = size;
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
      throw new ServiceRegistry.StartupException("data folder " + dir + " cannot be used: " + e, e);
    }
    if (lock == null)
      throw new ServiceRegistry.StartupException(
          "data folder " + dir + " is in use by another process");
  }

  public Path directory() {
    return directory;
  }

  /** The text of identity.json, or null where there is none. */
  public String readIdentity() {
    Path file = directory.resolve(IDENTITY_FILE);
    if (!Files.exists(file)) return null;
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          IDENTITY_FILE + " in " + directory + " cannot be read: " + e, e);
    }
  }

  /** Replaced whole: written aside, synced, renamed, folder synced. */
  public void writeIdentity(String text) {
    try {
      Path aside = directory.resolve(IDENTITY_FILE + ".new");
      try (FileChannel channel =
          FileChannel.open(
              aside,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        channel.force(true);
      }
      Files.move(aside, directory.resolve(IDENTITY_FILE), StandardCopyOption.ATOMIC_MOVE);
      syncDirectory();
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " cannot be written: " + e, e);
    }
  }

  private void syncDirectory() throws IOException {
    try (FileChannel c = FileChannel.open(directory, StandardOpenOption.READ)) {
      c.force(true);
    }
  }

  /**
   * Makes the ring's files and opens them, in a folder without an identity. What an earlier attempt
   * left unfinished is made whole; a file that holds anything is left as it is. True where none
   * holds anything.
   */
  public boolean createRingFiles() {
    boolean blank = true;
    try {
      for (int i = 0; i < FILE_COUNT; i++) {
        Path file = ringFile(i);
        boolean whole = Files.exists(file) && Files.size(file) == ringFileBytes;
        if (whole) blank &= isZeroFilled(file);
        else preallocate(file);
        files[i] = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
      }
      syncDirectory();
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " cannot hold the ring: " + e, e);
    }
    return blank;
  }

  private void preallocate(Path file) throws IOException {
    if (Files.exists(file) && !isZeroFilled(file))
      throw new ServiceRegistry.StartupException(
          "ring file "
              + file
              + " holds state but has "
              + Files.size(file)
              + " bytes and there is no "
              + IDENTITY_FILE
              + " to say how many it should have");
    byte[] zeros = new byte[CHUNK_BYTES];
    try (RandomAccessFile out = new RandomAccessFile(file.toFile(), "rw")) {
      out.setLength(0);
      for (long at = 0; at < ringFileBytes; at += CHUNK_BYTES)
        out.write(zeros, 0, (int) Math.min(CHUNK_BYTES, ringFileBytes - at));
      out.getFD().sync();
    }
  }

  private static boolean isZeroFilled(Path file) throws IOException {
    try (InputStream in = Files.newInputStream(file)) {
      for (byte[] part = in.readNBytes(CHUNK_BYTES);
          part.length > 0;
          part = in.readNBytes(CHUNK_BYTES)) for (byte b : part) if (b != 0) return false;
    }
    return true;
  }

  /**
   * Opens the ring's files in a folder that has an identity, of the size that it names. They were
   * all there before it was written, so one that is missing or has another size is damage.
   */
  public void openRingFiles(int ringFile) {
    ringFileBytes = ringFile;
    try {
      for (int i = 0; i < FILE_COUNT; i++) {
        Path file = ringFile(i);
        if (!Files.exists(file))
          throw new ServiceRegistry.StartupException("ring file " + file + " is missing");
        if (Files.size(file) != ringFileBytes)
          throw new ServiceRegistry.StartupException(
              "ring file "
                  + file
                  + " has "
                  + Files.size(file)
                  + " bytes and should have "
                  + ringFileBytes);
        files[i] = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
      }
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " cannot be opened: " + e, e);
    }
  }

  private Path ringFile(int number) {
    return directory.resolve("ring-" + number);
  }

  @Override
  public int fileCount() {
    return FILE_COUNT;
  }

  @Override
  public int fileBytes() {
    return ringFileBytes;
  }

  @Override
  public byte[] read(int file) throws IOException {
    ByteBuffer b = ByteBuffer.allocate(ringFileBytes);
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

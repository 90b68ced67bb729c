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
 * A process's data folder. It contains a lock file, so that two processes never share it, the
 * identity of the disk, and the ring files, which are preallocated so that a full disk is detected
 * at start-up and not later.
 */
public final class DataFolder implements Storage, AutoCloseable {
  private static final int FILE_COUNT = 4, CHUNK_BYTES = 1 << 20;
  private static final String IDENTITY_FILE = "identity.json";
  private final Path directory;
  private int ringFileBytes;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final FileChannel[] files = new FileChannel[FILE_COUNT];

  /**
   * Creates the folder if it doesn't exist and locks it.
   *
   * @param ringFileBytes size of each ring file that {@link #createRingFiles} makes
   */
  public DataFolder(Path directory, int ringFileBytes) {
    this.directory = directory;
    this.ringFileBytes = ringFileBytes;
    try {
      Files.createDirectories(directory);
      lockFile =
          FileChannel.open(
              directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      FileLock acquired = null;
      try {
        acquired = lockFile.tryLock();
      } catch (OverlappingFileLockException e) {
        // held by this process: treated as held by another one
      }
      lock = acquired;
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " cannot be used: " + e, e);
    }
    if (lock == null)
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " is in use by another process");
  }

  public Path directory() {
    return directory;
  }

  /** Returns the text of identity.json, or null if the file doesn't exist. */
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

  /** Replaces identity.json atomically: writes and syncs a temporary file, then renames it. */
  public void writeIdentity(String text) {
    try {
      Path temporaryFile = directory.resolve(IDENTITY_FILE + ".new");
      try (FileChannel channel =
          FileChannel.open(
              temporaryFile,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        channel.force(true);
      }
      Files.move(temporaryFile, directory.resolve(IDENTITY_FILE), StandardCopyOption.ATOMIC_MOVE);
      syncDirectory();
    } catch (IOException e) {
      throw new ServiceRegistry.StartupException(
          "data folder " + directory + " cannot be written: " + e, e);
    }
  }

  private void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /**
   * Creates and opens the ring files in a folder without an identity. Files that an earlier attempt
   * left incomplete are completed; files that contain data are left unchanged.
   *
   * @return whether all files contain only zeros
   */
  public boolean createRingFiles() {
    boolean blank = true;
    try {
      for (int i = 0; i < FILE_COUNT; i++) {
        Path file = ringFile(i);
        boolean isComplete = Files.exists(file) && Files.size(file) == ringFileBytes;
        if (isComplete) blank &= isZeroFilled(file);
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
      for (long offset = 0; offset < ringFileBytes; offset += CHUNK_BYTES)
        out.write(zeros, 0, (int) Math.min(CHUNK_BYTES, ringFileBytes - offset));
      out.getFD().sync();
    }
  }

  private static boolean isZeroFilled(Path file) throws IOException {
    try (InputStream in = Files.newInputStream(file)) {
      for (byte[] chunk = in.readNBytes(CHUNK_BYTES);
          chunk.length > 0;
          chunk = in.readNBytes(CHUNK_BYTES)) for (byte b : chunk) if (b != 0) return false;
    }
    return true;
  }

  /**
   * Opens the ring files in a folder that has an identity, which states their size. The files are
   * created before the identity is written, so a missing file or one of another size is damage.
   */
  public void openRingFiles(int ringFileSize) {
    ringFileBytes = ringFileSize;
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
    ByteBuffer buffer = ByteBuffer.allocate(ringFileBytes);
    while (buffer.hasRemaining() && files[file].read(buffer, buffer.position()) >= 0) {
      // until the whole file is read
    }
    return buffer.array();
  }

  @Override
  public void write(int file, int offset, byte[] bytes) throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining()) files[file].write(buffer, offset + buffer.position());
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

package gladelug.common.disk;

import java.io.IOException;

/**
 * Abstracts a disk: a few preallocated files of equal size. A write is durable only once its file
 * is synced. Tests implement it with torn and lost writes, stalls and failures.
 */
public interface Storage {
  /** Returns the number of files. */
  int fileCount();

  /** Returns the size of each file in bytes. */
  int fileBytes();

  /** Reads a whole file. */
  byte[] read(int file) throws IOException;

  /** Writes bytes at an offset; they are durable after {@link #sync}. */
  void write(int file, int offset, byte[] bytes) throws IOException;

  /** Makes all earlier writes to the file durable. */
  void sync(int file) throws IOException;
}

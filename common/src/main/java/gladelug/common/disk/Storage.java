package gladelug.common.disk;

import java.io.IOException;

/**
 * The seam to a disk: a few files of one size, made before use. What is written lasts only once the
 * file is synced. Tests put a medium here that tears, loses, stalls and fails.
 */
public interface Storage {
  int fileCount();

  int fileBytes();

  byte[] read(int file) throws IOException;

  void write(int file, int at, byte[] b) throws IOException;

  void sync(int file) throws IOException;
}

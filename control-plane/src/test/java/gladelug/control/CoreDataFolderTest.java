package gladelug.control;

import gladelug.common.ServiceRegistry;
import gladelug.common.disk.DataFolder;
import gladelug.common.disk.RecordRing;
import gladelug.control.core.config.MemberSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Data folders as a member may find them: fresh, half made, damaged, somebody else's, of a newer or
 * an earlier release. Whatever can't be used is a finding with its place, and is left as it is.
 */
final class CoreDataFolderTest {
  private static final int RING_FILE_MB = 1, STEP = 512, HEAD = 21;
  private static final String NAME = "a", IDENTITY = "identity.json";

  @TempDir Path parent;
  private Path data;

  @BeforeEach
  void name() {
    data = parent.resolve("data");
  }

  /** Opens the folder, does something and ends, as a process does. */
  private CoreDataFolder opened(String name) {
    return CoreDataFolder.open(name, data.toString(), RING_FILE_MB, List.<MemberSet.Member>of());
  }

  private String used() throws IOException {
    try (CoreDataFolder disk = opened(NAME)) {
      disk.ring().write(List.of(new RecordRing.Entry("some/key", new byte[] {1, 2, 3})));
      return disk.diskId();
    }
  }

  private Map<String, byte[]> files() throws IOException {
    Map<String, byte[]> files = new TreeMap<>();
    try (Stream<Path> list = Files.list(data)) {
      for (Path file : list.toList())
        files.put(file.getFileName().toString(), Files.readAllBytes(file));
    }
    return files;
  }

  /** The start fails, says these words, and leaves each file as it was. */
  private void refuses(String name, String... words) throws IOException {
    Map<String, byte[]> before = files();
    ServiceRegistry.StartupException found =
        Assertions.assertThrows(ServiceRegistry.StartupException.class, () -> opened(name).close());
    for (String word : words)
      Assertions.assertTrue(found.getMessage().contains(word), word + " in " + found.getMessage());
    Map<String, byte[]> after = files();
    Assertions.assertEquals(before.keySet(), after.keySet());
    before.forEach((file, bytes) -> Assertions.assertArrayEquals(bytes, after.get(file), file));
  }

  private void identity(String text) throws IOException {
    Files.writeString(data.resolve(IDENTITY), text);
  }

  @Test
  void aFolderKeepsItsIdAndStateAndTheSizeItWasMadeWith() throws IOException {
    String id = used();
    try (CoreDataFolder again =
        CoreDataFolder.open(NAME, data.toString(), 2 * RING_FILE_MB, List.of())) {
      Assertions.assertEquals(id, again.diskId());
      Assertions.assertArrayEquals(new byte[] {1, 2, 3}, again.ring().live().get("some/key"));
    }
  }

  @Test
  void aFolderHalfMadeIsMadeWhole() throws IOException {
    Files.createDirectories(data);
    Files.write(data.resolve("ring-0"), new byte[RING_FILE_MB << 20]);
    Files.write(data.resolve("ring-1"), new byte[1000]);
    used();
    Assertions.assertEquals(RING_FILE_MB << 20, Files.size(data.resolve("ring-1")));
    Files.delete(data.resolve(IDENTITY));
    Files.write(data.resolve("ring-0"), new byte[RING_FILE_MB << 20]);
    used();
  }

  @Test
  void anIdentityThatIsDamagedForeignOrNewerIsAFinding() throws IOException {
    String id = used();
    refuses("b", "belongs to a");
    String good = Files.readString(data.resolve(IDENTITY));
    for (String bad :
        new String[] {
          "", "{", "[]", "{\"name\":\"a\"}", good.replace(id, ""), good.replace("\"a\"", "7")
        }) {
      identity(bad);
      refuses(NAME, IDENTITY);
    }
    identity(good.replace("\"format\":1", "\"format\":2"));
    refuses(NAME, IDENTITY, "format", "newer release");
    identity(good);
    Assertions.assertEquals(id, used());
  }

  @Test
  void aFolderOfAReleaseBeforeFormatsIsOpened() throws IOException {
    String id = used();
    identity(Files.readString(data.resolve(IDENTITY)).replace("\"format\":1,", ""));
    Assertions.assertEquals(id, used());
  }

  @Test
  void aRingFileThatIsMissingShortOrEmptiedIsAFinding() throws IOException {
    used();
    Path first = data.resolve("ring-0");
    byte[] good = Files.readAllBytes(first);
    Files.delete(first);
    refuses(NAME, "ring-0", "missing");
    Files.write(first, Arrays.copyOf(good, good.length - 1));
    refuses(NAME, "ring-0", "bytes");
    Files.write(first, new byte[good.length]);
    refuses(NAME, "damaged", "no file of the ring holds a frame");
    Files.write(first, good);
    used();
  }

  @Test
  void aRottenFrameIsAFinding() throws IOException {
    used();
    used();
    Path first = data.resolve("ring-0");
    byte[] good = Files.readAllBytes(first);
    for (int frame = 0; frame < 2; frame++) {
      byte[] bad = good.clone();
      bad[frame * STEP + HEAD] ^= 1;
      Files.write(first, bad);
      refuses(NAME, "damaged");
    }
  }

  @Test
  void stateWithoutAnIdentityIsNobodysAndIsKept() throws IOException {
    used();
    Files.delete(data.resolve(IDENTITY));
    refuses(NAME, IDENTITY);
    byte[] ring = Files.readAllBytes(data.resolve("ring-0"));
    Files.write(data.resolve("ring-0"), Arrays.copyOf(ring, ring.length / 2));
    refuses(NAME, "ring-0", IDENTITY);
  }

  @Test
  void stateThatCantBeReadIsAFindingWithItsName() throws IOException {
    used();
    try (CoreDataFolder disk = opened(NAME)) {
      disk.ring().write(List.of(new RecordRing.Entry("cell/policy", new byte[] {1, 2, 3})));
      disk.ring().write(List.of(new RecordRing.Entry("members", new byte[] {9})));
    }
    refuses(NAME, "damaged", "cell/policy", "members");
  }

  @Test
  void aFolderInUseIsAFindingAndAFailedStartLetsItGo() throws IOException {
    used();
    try (CoreDataFolder disk = opened(NAME)) {
      Assertions.assertThrows(ServiceRegistry.StartupException.class, () -> opened(NAME));
      Assertions.assertFalse(disk.diskId().isEmpty());
    }
    refuses("b", "belongs to a");
    used();
  }

  @Test
  void aFolderThatIsAFileIsAFinding() throws IOException {
    Files.createDirectories(parent);
    Files.writeString(data, "x");
    Assertions.assertThrows(
        ServiceRegistry.StartupException.class, () -> new DataFolder(data, 1 << 20));
  }
}

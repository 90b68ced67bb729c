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
 * Tests {@link CoreDataFolder} with folders that are empty, partly created, damaged, of another
 * member, or of a newer or earlier release. A folder that cannot be used must fail the start with a
 * message that names the place, and must stay unchanged.
 */
final class CoreDataFolderTest {
  private static final int RING_FILE_MB = 1, FRAME_ALIGNMENT_BYTES = 512, FRAME_HEADER_BYTES = 21;
  private static final String NAME = "a", IDENTITY = "identity.json";

  @TempDir Path parent;
  private Path data;

  @BeforeEach
  void setDataFolder() {
    data = parent.resolve("data");
  }

  /** Opens the folder as a starting process does. */
  private CoreDataFolder open(String name) {
    return CoreDataFolder.open(name, data.toString(), RING_FILE_MB, List.<MemberSet.Member>of());
  }

  private String writeAndClose() throws IOException {
    try (CoreDataFolder disk = open(NAME)) {
      disk.ring().write(List.of(new RecordRing.Entry("some/key", new byte[] {1, 2, 3})));
      return disk.diskId();
    }
  }

  private Map<String, byte[]> readFiles() throws IOException {
    Map<String, byte[]> files = new TreeMap<>();
    try (Stream<Path> list = Files.list(data)) {
      for (Path file : list.toList())
        files.put(file.getFileName().toString(), Files.readAllBytes(file));
    }
    return files;
  }

  /**
   * Asserts that the start fails with a message containing these texts and leaves each file
   * unchanged.
   */
  private void assertRefuses(String name, String... expectedTexts) throws IOException {
    Map<String, byte[]> before = readFiles();
    ServiceRegistry.StartupException failure =
        Assertions.assertThrows(ServiceRegistry.StartupException.class, () -> open(name).close());
    for (String text : expectedTexts)
      Assertions.assertTrue(
          failure.getMessage().contains(text), text + " in " + failure.getMessage());
    Map<String, byte[]> after = readFiles();
    Assertions.assertEquals(before.keySet(), after.keySet());
    before.forEach((file, bytes) -> Assertions.assertArrayEquals(bytes, after.get(file), file));
  }

  private void writeIdentity(String text) throws IOException {
    Files.writeString(data.resolve(IDENTITY), text);
  }

  @Test
  void aReopenedFolderKeepsItsIdItsStateAndItsOriginalSize() throws IOException {
    String id = writeAndClose();
    try (CoreDataFolder again =
        CoreDataFolder.open(NAME, data.toString(), 2 * RING_FILE_MB, List.of())) {
      Assertions.assertEquals(id, again.diskId());
      Assertions.assertArrayEquals(new byte[] {1, 2, 3}, again.ring().live().get("some/key"));
    }
  }

  @Test
  void anIncompletelyCreatedFolderIsCompleted() throws IOException {
    Files.createDirectories(data);
    Files.write(data.resolve("ring-0"), new byte[RING_FILE_MB << 20]);
    Files.write(data.resolve("ring-1"), new byte[1000]);
    writeAndClose();
    Assertions.assertEquals(RING_FILE_MB << 20, Files.size(data.resolve("ring-1")));
    Files.delete(data.resolve(IDENTITY));
    Files.write(data.resolve("ring-0"), new byte[RING_FILE_MB << 20]);
    writeAndClose();
  }

  @Test
  void anIdentityThatIsDamagedForeignOrNewerIsRefused() throws IOException {
    String id = writeAndClose();
    assertRefuses("b", "belongs to a");
    String good = Files.readString(data.resolve(IDENTITY));
    for (String bad :
        new String[] {
          "", "{", "[]", "{\"name\":\"a\"}", good.replace(id, ""), good.replace("\"a\"", "7")
        }) {
      writeIdentity(bad);
      assertRefuses(NAME, IDENTITY);
    }
    writeIdentity(good.replace("\"format\":1", "\"format\":2"));
    assertRefuses(NAME, IDENTITY, "format", "newer release");
    writeIdentity(good);
    Assertions.assertEquals(id, writeAndClose());
  }

  @Test
  void aFolderWithoutFormatVersionIsOpened() throws IOException {
    String id = writeAndClose();
    writeIdentity(Files.readString(data.resolve(IDENTITY)).replace("\"format\":1,", ""));
    Assertions.assertEquals(id, writeAndClose());
  }

  @Test
  void aRingFileThatIsMissingTruncatedOrZeroedIsRefused() throws IOException {
    writeAndClose();
    Path first = data.resolve("ring-0");
    byte[] good = Files.readAllBytes(first);
    Files.delete(first);
    assertRefuses(NAME, "ring-0", "missing");
    Files.write(first, Arrays.copyOf(good, good.length - 1));
    assertRefuses(NAME, "ring-0", "bytes");
    Files.write(first, new byte[good.length]);
    assertRefuses(NAME, "damaged", "no file of the ring holds a frame");
    Files.write(first, good);
    writeAndClose();
  }

  @Test
  void aCorruptFrameIsRefused() throws IOException {
    writeAndClose();
    writeAndClose();
    Path first = data.resolve("ring-0");
    byte[] good = Files.readAllBytes(first);
    for (int frame = 0; frame < 2; frame++) {
      byte[] bad = good.clone();
      bad[frame * FRAME_ALIGNMENT_BYTES + FRAME_HEADER_BYTES] ^= 1;
      Files.write(first, bad);
      assertRefuses(NAME, "damaged");
    }
  }

  @Test
  void stateWithoutAnIdentityIsRefusedAndKept() throws IOException {
    writeAndClose();
    Files.delete(data.resolve(IDENTITY));
    assertRefuses(NAME, IDENTITY);
    byte[] ring = Files.readAllBytes(data.resolve("ring-0"));
    Files.write(data.resolve("ring-0"), Arrays.copyOf(ring, ring.length / 2));
    assertRefuses(NAME, "ring-0", IDENTITY);
  }

  @Test
  void malformedEntriesAreReportedByName() throws IOException {
    writeAndClose();
    try (CoreDataFolder disk = open(NAME)) {
      disk.ring().write(List.of(new RecordRing.Entry("cell/policy", new byte[] {1, 2, 3})));
      disk.ring().write(List.of(new RecordRing.Entry("members", new byte[] {9})));
    }
    assertRefuses(NAME, "damaged", "cell/policy", "members");
  }

  @Test
  void aFolderInUseIsRefusedAndAFailedStartReleasesIt() throws IOException {
    writeAndClose();
    try (CoreDataFolder disk = open(NAME)) {
      Assertions.assertThrows(ServiceRegistry.StartupException.class, () -> open(NAME));
      Assertions.assertFalse(disk.diskId().isEmpty());
    }
    assertRefuses("b", "belongs to a");
    writeAndClose();
  }

  @Test
  void aFileInPlaceOfTheFolderIsRefused() throws IOException {
    Files.createDirectories(parent);
    Files.writeString(data, "x");
    Assertions.assertThrows(
        ServiceRegistry.StartupException.class, () -> new DataFolder(data, 1 << 20));
  }
}

package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.disk.RecordRing;
import gladelug.common.message.StateUpdate;
import gladelug.control.CoreDataFolder;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.AppliedChanges;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterStore;
import gladelug.control.core.register.VersionedValue;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Stored data stays readable: a data folder that an earlier release wrote is opened by the
 * product's ordinary way, and each record in it is compared with literals.
 *
 * <p>The folder is in data-folder-22b10e2.zip, named after the commit whose classes wrote it by
 * {@link #write}. The files in it are the ring's four of 1 MiB each, the identity and the lock
 * file; the records went round from the first file of the ring into the second.
 *
 * <p>The archive is never made anew: a later release that needs another one adds it beside this
 * one, with its own test. Names and values are literals here, not the product's constants, so that
 * a changed constant shows.
 */
final class StoredDataOfAnEarlierReleaseTest {
  private static final String ARCHIVE = "data-folder-22b10e2.zip";
  private static final String NAME = "core-a", DISK = "1c941a5a5e71bf5b622e1738";
  private static final int RING_FILE_MB = 1, LARGE_BODY_BYTES = 100_000;

  private static final String IDENTITY =
      "{\"format\":1,\"name\":\"core-a\",\"disk\":\""
          + DISK
          + "\",\"ringFile\":1048576,\"founders\":["
          + "{\"name\":\"core-a\",\"records\":\"10.0.0.1:4001\",\"operator\":\"10.0.0.1:4003\"},"
          + "{\"name\":\"core-b\",\"records\":\"10.0.0.2:4001\",\"operator\":\"10.0.0.2:4003\"},"
          + "{\"name\":\"core-c\",\"records\":\"10.0.0.3:4001\",\"operator\":\"10.0.0.3:4003\"}]}";

  @TempDir Path parent;

  /** A host that writes each record to a ring at once, and does nothing else. */
  private record RingHost(RecordRing ring) implements CoreHost {
    @Override
    public void sync(String key, byte[] state, Runnable done) {
      try {
        ring.write(List.of(new RecordRing.Entry(key, state)));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      done.run();
    }

    @Override
    public long nowMs() {
      return 0;
    }

    @Override
    public long random(long below) {
      return 0;
    }

    @Override
    public long wallClockMs() {
      return 0;
    }

    @Override
    public void send(String member, CoreMessage.Envelope message) {}

    @Override
    public void sendTo(Address to, CoreMessage.Envelope message) {}

    @Override
    public List<Address> contactAddresses() {
      return List.of();
    }

    @Override
    public void pushUpdate(String node, StateUpdate message) {}

    @Override
    public void onMembersChanged(MemberSet members) {}

    @Override
    public void logEvent(String name, Object... pairs) {}
  }

  private static MemberSet.Member member(String name, String disk, int host) {
    return new MemberSet.Member(
        name, disk, Address.of("10.0.0." + host + ":4001"), Address.of("10.0.0." + host + ":4003"));
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static VersionedValue next(
      VersionedValue before, String body, long base, long takenAt, String takenBy, String summary) {
    return before.next(Digest.hex(body), text(body), base, takenAt, takenBy, summary);
  }

  /**
   * Writes the records of the archive to a member's ring, by the classes that write them in a
   * running member. The archive holds the folder that this made from an empty one, opened with the
   * three founders; disk: the id which that folder was given.
   */
  private static void write(RecordRing ring, String disk) {
    RingHost host = new RingHost(ring);
    Runnable nothing = () -> {};
    MemberSet first =
        new MemberSet(
            1,
            List.of(member(NAME, disk, 1), member("core-b", "b1", 2), member("core-c", "c1", 3)));
    MemberSet present =
        new MemberSet(
            3,
            List.of(member(NAME, disk, 1), member("core-b", "b2", 2), member("core-c", "c1", 3)));
    MemberSet next =
        new MemberSet(
            4,
            List.of(member(NAME, disk, 1), member("core-b", "b2", 2), member("core-d", "d1", 4)));
    host.sync("pinned", first.toBytes(), nothing);
    host.sync("members", present.toBytes(), nothing);

    RegisterStore cells = new RegisterStore(host, Map.of());
    VersionedValue policy =
        next(
            VersionedValue.NONE,
            "{\"services\":[]}",
            AppliedChanges.NO_BASE,
            1_700_000_000_000L,
            NAME,
            "first");
    cells.put("policy", new Register(3298534883584L, 3298534883584L, policy), nothing);
    policy = next(policy, "{\"services\":[],\"n\":2}", 41, 1_700_000_001_000L, "core-b", "grew");
    policy =
        next(
            policy,
            "{\"services\":[],\"n\":3}",
            42,
            1_700_000_002_000L,
            "core-b",
            "caf\u00e9 \u2192 3");
    cells.put("policy", new Register(3298534883841L, 3298534883841L, policy), nothing);
    cells.put("policy", new Register(3298534884354L, 3298534884098L, policy), nothing);

    VersionedValue weights = VersionedValue.NONE;
    for (int i = 0; i < 520; i++)
      weights = next(weights, "{\"named\":{}}", i, 1000 + i, NAME, "w" + i);
    cells.put("weights", new Register(3298534883584L, 3298534883584L, weights), nothing);

    VersionedValue replicas = VersionedValue.NONE;
    for (int i = 1; i <= 12; i++) {
      byte[] body = new byte[LARGE_BODY_BYTES];
      Arrays.fill(body, (byte) ('a' + i));
      replicas = replicas.next(Digest.hex(body), body);
      cells.put("replicas", new Register(3298534883584L, 3298534883584L, replicas), nothing);
    }
    VersionedValue core = VersionedValue.NONE.next(Digest.hex(next.toBytes()), next.toBytes());
    cells.put("core", new Register(3298534883585L, 3298534883585L, core), nothing);
    cells.put("shares", new Register(3298534883586L, 0, VersionedValue.NONE), nothing);
    VersionedValue commander = next(VersionedValue.NONE, "core-c", 0, 5, "core-c", "");
    cells.put("commander/east", new Register(3298534883584L, 3298534883584L, commander), nothing);
    cells.put("commander/east", new Register(3298534883842L, 3298534883584L, commander), nothing);
    host.sync("sealed", next.toBytes(), nothing);
  }

  private static CoreDataFolder opened(Path folder) {
    return CoreDataFolder.open(NAME, folder.toString(), RING_FILE_MB, List.of());
  }

  /** The folder of the earlier release, unpacked. */
  private Path unpacked() throws IOException {
    Path folder = Files.createDirectory(parent.resolve("data"));
    try (InputStream file = StoredDataOfAnEarlierReleaseTest.class.getResourceAsStream(ARCHIVE);
        ZipInputStream zip = new ZipInputStream(file)) {
      for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry())
        Files.copy(zip, folder.resolve(entry.getName()));
    }
    return folder;
  }

  private static String told(Register cell) {
    VersionedValue value = cell.value();
    return cell.promisedEpoch()
        + " "
        + cell.acceptedEpoch()
        + " "
        + value.number()
        + " "
        + value.digest();
  }

  private static List<String> history(Register cell) {
    return cell.value().history().stream()
        .map(
            entry ->
                String.join(
                    " ",
                    String.valueOf(entry.number()),
                    entry.digest(),
                    String.valueOf(entry.appliedAtMs()),
                    entry.appliedBy(),
                    entry.summary()))
        .toList();
  }

  private static List<String> taken(Register cell) {
    return cell.value().appliedChanges().entries().stream()
        .map(taken -> taken.number() + " " + taken.digest() + " " + taken.base())
        .toList();
  }

  private static String body(Register cell) {
    return new String(cell.value().body(), StandardCharsets.UTF_8);
  }

  private static String told(MemberSet members) {
    return members.generation()
        + members.all().stream()
            .map(
                member ->
                    " "
                        + member.name()
                        + "="
                        + member.diskId()
                        + "="
                        + member.recordsAddress()
                        + "/"
                        + member.operatorAddress())
            .collect(Collectors.joining());
  }

  private static void is(Register cell, String told, List<String> history, List<String> taken) {
    Assertions.assertEquals(told, told(cell));
    Assertions.assertEquals(history, history(cell));
    Assertions.assertEquals(taken, taken(cell));
  }

  @Test
  void theIdentityIsRead() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      Assertions.assertEquals(DISK, disk.diskId());
      Assertions.assertEquals(IDENTITY, disk.folder().readIdentity());
      Assertions.assertEquals(1_048_576, disk.ring().fileBytes());
      Assertions.assertEquals(
          "0 core-a==10.0.0.1:4001/10.0.0.1:4003 core-b==10.0.0.2:4001/10.0.0.2:4003"
              + " core-c==10.0.0.3:4001/10.0.0.3:4003",
          told(new MemberSet(0, disk.bootstrapMembers())));
    }
  }

  @Test
  void allRecordsAreThereAndNoneIsAFinding() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      Map<String, byte[]> live = disk.ring().live();
      Map<String, String> digests = new TreeMap<>();
      live.forEach((name, record) -> digests.put(name, Digest.hex(record)));
      Map<String, String> expected = new TreeMap<>();
      expected.put(
          "cell/commander/east",
          "59c7a4cc6eeee868fdf351f6cfb6def54ac4eee4c0d020b4894224b79be4cfa4");
      expected.put("cell/core", "b7b706a88ce5540ad62d410931d6ed1cb3df2f8e5f4d91ab7438aaa8fb753d06");
      expected.put(
          "cell/policy", "96079b80c2e52fdc2219b7d0eda31599b6c9301e2acb4d8d3d29c65c1f2a72d7");
      expected.put(
          "cell/replicas", "62704bb56370d883833636ffd5389c7df07a77fbd77857bf5bbddf80bbb3fea7");
      expected.put(
          "cell/shares", "56f83bd3acd2e7d9aea91f0b8ac3bf531e5827e51d418219443eee6325e696d0");
      expected.put(
          "cell/weights", "46a5c8a71b2bd924bf842c38e611e8d88b7f53826da01d0cf980fca6d0bf02f4");
      expected.put(
          "epochs/commander/east",
          "58afd074b8782c4b4ad34d4ba423ea2a0ff38cfc9953349e220fe37416a58dda");
      expected.put(
          "epochs/policy", "8bd5dc3b7056df13c4d7addb53286d28e8336775b90ded8f1120ce798ec2edf7");
      expected.put("members", "148a595313e92975f90d4f952db2b4b2e421c7b5860ea47673e5681ce2439ea2");
      expected.put("pinned", "e2991828090916b7ee940bda41f17a5e44c9da46bc732288457f5a51c7076994");
      expected.put("sealed", "3caaffb28744f04a58e6857dabdd2af6453e1f6235f37a223085fa55818a3057");
      Assertions.assertEquals(expected, digests);
      Assertions.assertEquals(List.of(), DurableState.validate(live, NAME, disk.diskId()));
    }
  }

  @Test
  void aValueIsReadWithItsHistoryItsTakenChangesAndItsLaterEpochs() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      RegisterStore cells = new RegisterStore(new RingHost(disk.ring()), disk.ring().live());
      Register policy = cells.get("policy");
      is(
          policy,
          "3298534884354 3298534884098 3"
              + " ff5b0cc70c2af66c1533727faa1c74e16372544c61ef56534ab538b687c8c891",
          List.of(
              "1 cb4f1ff5576b203a6563c2cabfce3283391758135eb0d8885d69075303c39c4e"
                  + " 1700000000000 core-a first",
              "2 589cc4b9d3bb5ba910d0de281dcd15fa907ab4be9d1c9bf0595ad3a297319a46"
                  + " 1700000001000 core-b grew",
              "3 ff5b0cc70c2af66c1533727faa1c74e16372544c61ef56534ab538b687c8c891"
                  + " 1700000002000 core-b caf\u00e9 \u2192 3"),
          List.of(
              "2 589cc4b9d3bb5ba910d0de281dcd15fa907ab4be9d1c9bf0595ad3a297319a46 41",
              "3 ff5b0cc70c2af66c1533727faa1c74e16372544c61ef56534ab538b687c8c891 42"));
      Assertions.assertEquals("{\"services\":[],\"n\":3}", body(policy));
      Assertions.assertEquals(-1, policy.value().appliedChanges().highestDroppedBase());

      Register commander = cells.get("commander/east");
      String digest = "3fe5952485ae0a8827e071e863fe02d5888285b0503002e947c50178cd6c4661";
      is(
          commander,
          "3298534883842 3298534883584 1 " + digest,
          List.of("1 " + digest + " 5 core-c "),
          List.of("1 " + digest + " 0"));
      Assertions.assertEquals("core-c", body(commander));
    }
  }

  @Test
  void theWholeListOfTakenChangesIsReadAndWhatHadToMakeRoom() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      Register weights =
          new RegisterStore(new RingHost(disk.ring()), disk.ring().live()).get("weights");
      String digest = "6a5dcb6447bc85f950cf03ae4e921fb9c7a37be08e5e17a0574170f40ee3a460";
      List<String> history =
          IntStream.rangeClosed(489, 520)
              .mapToObj(n -> n + " " + digest + " " + (n + 999) + " core-a w" + (n - 1))
              .toList();
      List<String> taken =
          IntStream.rangeClosed(9, 520).mapToObj(n -> n + " " + digest + " " + (n - 1)).toList();
      is(weights, "3298534883584 3298534883584 520 " + digest, history, taken);
      Assertions.assertEquals("{\"named\":{}}", body(weights));
      Assertions.assertEquals(7, weights.value().appliedChanges().highestDroppedBase());
    }
  }

  @Test
  void aLargeValueAndAKeyWithoutOneAreRead() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      RegisterStore cells = new RegisterStore(new RingHost(disk.ring()), disk.ring().live());
      Register replicas = cells.get("replicas");
      Assertions.assertEquals(
          "3298534883584 3298534883584 12"
              + " f45333393d79f473d706f3b1d97ee05244ac4636f2a209bad56588294b5854e4",
          told(replicas));
      Assertions.assertEquals("m".repeat(100_000), body(replicas));
      Assertions.assertEquals(List.of(), taken(replicas));
      Assertions.assertEquals(12, history(replicas).size());
      Assertions.assertEquals(
          "1 768b54e315c41a8d1ae3a29f677bff3b327e238e98e644dc7d566442f5920f8d 0  ",
          history(replicas).get(0));
      is(cells.get("shares"), "3298534883586 0 0 ", List.of(), List.of());
      Assertions.assertEquals(0, cells.get("shares").value().body().length);
      Assertions.assertEquals(6, cells.versions().size());
    }
  }

  @Test
  void theMembersTheSealAndThePinAreRead() throws IOException {
    try (CoreDataFolder disk = opened(unpacked())) {
      Map<String, byte[]> live = disk.ring().live();
      String self = " core-a=1c941a5a5e71bf5b622e1738=10.0.0.1:4001/10.0.0.1:4003";
      String next =
          "4"
              + self
              + " core-b=b2=10.0.0.2:4001/10.0.0.2:4003 core-d=d1=10.0.0.4:4001/10.0.0.4:4003";
      Assertions.assertEquals(
          "1"
              + self
              + " core-b=b1=10.0.0.2:4001/10.0.0.2:4003 core-c=c1=10.0.0.3:4001/10.0.0.3:4003",
          told(MemberSet.of(live.get("pinned"))));
      Assertions.assertEquals(
          "3"
              + self
              + " core-b=b2=10.0.0.2:4001/10.0.0.2:4003 core-c=c1=10.0.0.3:4001/10.0.0.3:4003",
          told(MemberSet.of(live.get("members"))));
      Assertions.assertEquals(next, told(MemberSet.of(live.get("sealed"))));
      Register core = RegisterStore.read(live, "core");
      Assertions.assertEquals(
          "3298534883585 3298534883585 1"
              + " 3caaffb28744f04a58e6857dabdd2af6453e1f6235f37a223085fa55818a3057",
          told(core));
      Assertions.assertEquals(next, told(MemberSet.of(core.value().body())));
    }
  }

  /** So an earlier release can read it too, where one has to be put back. */
  @Test
  void thisReleaseWritesTheSameBytes() throws IOException {
    List<MemberSet.Member> founders =
        List.of(member(NAME, "", 1), member("core-b", "", 2), member("core-c", "", 3));
    try (CoreDataFolder earlier = opened(unpacked());
        CoreDataFolder now =
            CoreDataFolder.open(NAME, parent.resolve("now").toString(), RING_FILE_MB, founders)) {
      write(now.ring(), earlier.diskId());
      Map<String, byte[]> before = earlier.ring().live();
      Map<String, byte[]> after = now.ring().live();
      Assertions.assertEquals(before.keySet(), after.keySet());
      before.forEach((name, record) -> Assertions.assertArrayEquals(record, after.get(name), name));
      Assertions.assertEquals(
          earlier.folder().readIdentity(),
          now.folder().readIdentity().replace(now.diskId(), earlier.diskId()));
    }
  }
}

package gladelug.control.core.register;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.Finding;
import gladelug.common.configuration.PrefixSharing;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests {@link DurableState}, and parsing registers and member sets from malformed bytes. */
final class DurableStateTest {
  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final MemberSet MEMBERS =
      new MemberSet(3, List.of(new MemberSet.Member("a", "disk-a", ADDRESS, ADDRESS)));

  private static byte[] registerBytes() {
    byte[] body = {1, 2, 3};
    VersionedValue value = VersionedValue.NONE;
    for (int i = 0; i < 3; i++)
      value = value.next(Digest.hex(body), body, i, 7, "a", "what it changed");
    return new Register(5, 4, value).toBytes();
  }

  private static byte[] registerBytesWithSharing() {
    VersionedValue value = Register.of(registerBytes()).value();
    return new Register(5, 4, value.withSharing(PrefixSharing.startingAt(2))).toBytes();
  }

  private static byte[] epochBytes() {
    return EpochRecord.of(Register.of(registerBytes())).toBytes();
  }

  private static List<Finding> validate(String key, byte[] bytes) {
    return DurableState.validate(Map.of(key, bytes), "a", "disk-a");
  }

  @Test
  void stateWrittenByThisReleaseIsValid() {
    Map<String, byte[]> state =
        Map.of(
            "cell/policy",
            registerBytes(),
            "cell/other",
            registerBytesWithSharing(),
            "epochs/policy",
            epochBytes(),
            DurableState.ACTIVE_MEMBERS,
            MEMBERS.toBytes(),
            DurableState.SEALED_FOR,
            MEMBERS.toBytes(),
            DurableState.BOOTSTRAP_SET,
            MEMBERS.toBytes(),
            DurableState.BOOTSTRAP_VOTE,
            BootstrapVote.ofEarlierRelease(MEMBERS).toBytes(),
            "a-name-of-another-release",
            new byte[9]);
    Assertions.assertEquals(List.of(), DurableState.validate(state, "a", "disk-a"));
  }

  @Test
  void aTruncatedOrOverlongEntryIsReportedUnderItsName() {
    Map<String, byte[]> state =
        Map.of(
            "cell/policy",
            registerBytes(),
            "cell/other",
            registerBytesWithSharing(),
            "epochs/policy",
            epochBytes(),
            DurableState.ACTIVE_MEMBERS,
            MEMBERS.toBytes(),
            DurableState.SEALED_FOR,
            MEMBERS.toBytes());
    for (String key : state.keySet()) {
      byte[] good = state.get(key);
      byte[] longer = Arrays.copyOf(good, good.length + 1);
      for (byte[] bad : List.of(new byte[0], Arrays.copyOf(good, good.length - 1), longer)) {
        List<Finding> findings = validate(key, bad);
        Assertions.assertEquals(1, findings.size(), key);
        Assertions.assertEquals(key, findings.get(0).place());
      }
      Assertions.assertTrue(validate(key, longer).get(0).what().contains("newer release"));
    }
  }

  @Test
  void stateOfAnotherDiskIsReported() {
    List<Finding> findings =
        DurableState.validate(
            Map.of(DurableState.ACTIVE_MEMBERS, MEMBERS.toBytes()), "a", "disk-b");
    Assertions.assertEquals(1, findings.size());
    Assertions.assertTrue(findings.get(0).what().contains("disk-a"), findings::toString);
  }

  /**
   * Guards against parsers that fail with anything but an IOException, or allocate by a corrupt
   * length field.
   */
  @Test
  void corruptBytesAreParsedOrRefusedWithAnIoException() {
    Random random = new Random(1);
    byte[] register = registerBytes();
    byte[] members = MEMBERS.toBytes();
    for (int i = 0; i < 20_000; i++) {
      byte[] bad = (i % 2 == 0 ? register : members).clone();
      for (int j = 0; j <= i % 3; j++) bad[random.nextInt(bad.length)] = (byte) random.nextInt();
      try {
        if (i % 2 == 0) Register.parse(bad);
        else MemberSet.parse(bad);
      } catch (IOException e) {
        // refused
      }
    }
  }
}

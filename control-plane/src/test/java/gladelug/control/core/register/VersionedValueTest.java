package gladelug.control.core.register;

import gladelug.common.configuration.PrefixSharing;
import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of VersionedValue: what of shared prefixes is kept with a value. */
final class VersionedValueTest {
  private static final VersionedValue PLAIN = VersionedValue.NONE.next("d", new byte[] {1});
  private static final PrefixSharing SHARING = new PrefixSharing(7, Set.of(5L, -3L), true);

  @Test
  void sharingIsReadAsItWasWrittenAndEndsTheValue() {
    Register register = new Register(3, 2, PLAIN.withSharing(SHARING));
    Assertions.assertEquals(SHARING, Register.of(register.toBytes()).value().sharing());
    byte[] longer = Arrays.copyOf(register.toBytes(), register.toBytes().length + 1);
    Assertions.assertThrows(RuntimeException.class, () -> Register.of(longer));
  }

  @Test
  void aValueWithoutItIsWrittenAsReleasesBeforeDid() {
    byte[] plain = new Register(3, 2, PLAIN).toBytes();
    byte[] with = new Register(3, 2, PLAIN.withSharing(SHARING)).toBytes();
    Assertions.assertArrayEquals(plain, Arrays.copyOf(with, plain.length));
    Assertions.assertEquals(PrefixSharing.UNRECORDED, Register.of(plain).value().sharing());
  }

  @Test
  void theNextValueRecordsItsOwn() {
    Assertions.assertEquals(
        PrefixSharing.UNRECORDED, PLAIN.withSharing(SHARING).next("e", new byte[] {2}).sharing());
  }
}

package gladelug.control.core;

import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage.Envelope;
import java.io.IOException;
import java.util.ArrayList;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Assertions;

/**
 * Tests that a damaged message between members is either read as some message or refused with an
 * IOException.
 */
final class CoreMessageFuzzTest {
  private static final String SEED = "20261205";

  @Provide
  Arbitrary<String> names() {
    return Arbitraries.of(new ArrayList<>(PublishedNamesTest.examples().keySet()));
  }

  /** Replaces four consecutive bytes, which may be a length or a count. */
  @Property(tries = 10_000, seed = SEED)
  void aDamagedMessageIsReadOrRefused(
      @ForAll("names") String name,
      @ForAll @DoubleRange(max = 0.99) double position,
      @ForAll int replacement)
      throws IOException {
    byte[] bytes = PublishedNamesTest.bytes(PublishedNamesTest.examples().get(name));
    int start = (int) (position * bytes.length);
    for (int i = start; i < Math.min(bytes.length, start + Integer.BYTES); i++)
      bytes[i] = (byte) (replacement >>> Byte.SIZE * (i - start));
    Envelope read;
    try {
      read = WireRecord.decode(bytes, Envelope::read);
    } catch (IOException refused) {
      return;
    }
    Envelope again = WireRecord.decode(WireRecord.encode(read), Envelope::read);
    Assertions.assertArrayEquals(WireRecord.encode(read), WireRecord.encode(again));
  }
}

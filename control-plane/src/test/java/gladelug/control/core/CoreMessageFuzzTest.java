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

/** Messages between members under damage: read as some message, or refused with an IOException. */
final class CoreMessageFuzzTest {
  private static final String SEED = "20261205";

  @Provide
  Arbitrary<String> names() {
    return Arbitraries.of(new ArrayList<>(PublishedNamesTest.examples().keySet()));
  }

  /** Four bytes in a row are other ones, as a length or a count may be. */
  @Property(tries = 10_000, seed = SEED)
  void aDamagedMessageIsReadOrRefused(
      @ForAll("names") String name, @ForAll @DoubleRange(max = 0.99) double place, @ForAll int put)
      throws IOException {
    byte[] bytes = PublishedNamesTest.bytes(PublishedNamesTest.examples().get(name));
    int from = (int) (place * bytes.length);
    for (int i = from; i < Math.min(bytes.length, from + Integer.BYTES); i++)
      bytes[i] = (byte) (put >>> Byte.SIZE * (i - from));
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

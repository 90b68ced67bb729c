package gladelug.common.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Assertions;

/**
 * Every record between processes under damage: it is read as some record, or refused with an
 * IOException, and nothing else comes of it, however much a length in it claims.
 */
final class WireRecordFuzzTest {
  private static final String SEED = "20261205";
  private static final int MOST_DAMAGES = 4;
  private static final int MOST_BYTES = 64;

  /** So many bytes at a place are put in the place of others. */
  record Damage(double place, int cut, byte[] put) {
    byte[] applyTo(byte[] bytes) {
      int from = (int) (place * bytes.length);
      int to = Math.min(bytes.length, from + cut);
      byte[] out = Arrays.copyOf(bytes, from + put.length + bytes.length - to);
      System.arraycopy(put, 0, out, from, put.length);
      System.arraycopy(bytes, to, out, from + put.length, bytes.length - to);
      return out;
    }
  }

  @Provide
  Arbitrary<String> names() {
    return Arbitraries.of(new ArrayList<>(PublishedNamesTest.examples().keySet()));
  }

  @Provide
  Arbitrary<List<Damage>> damages() {
    Arbitrary<byte[]> lengths =
        Arbitraries.of(
            new byte[] {0x7f, -1, -1, -1}, new byte[] {-1, -1, -1, -1}, new byte[] {0, 0, 1, 0});
    Arbitrary<byte[]> any = Arbitraries.bytes().array(byte[].class).ofMaxSize(8);
    return Combinators.combine(
            Arbitraries.doubles().between(0, 0.99),
            Arbitraries.integers().between(0, 8),
            Arbitraries.oneOf(lengths, any))
        .as(Damage::new)
        .list()
        .ofMaxSize(MOST_DAMAGES);
  }

  private static void readOrRefuse(String name, byte[] bytes) {
    try {
      Assertions.assertNotNull(PublishedNamesTest.read(name, bytes));
    } catch (IOException refused) {
      Assertions.assertNotNull(refused);
    }
  }

  @Property(tries = 5000, seed = SEED)
  void aDamagedRecordIsReadOrRefused(
      @ForAll("names") String name, @ForAll("damages") List<Damage> damages) {
    byte[] bytes = WireRecord.encode(PublishedNamesTest.examples().get(name));
    for (Damage damage : damages) bytes = damage.applyTo(bytes);
    readOrRefuse(name, bytes);
  }

  @Property(tries = 2000, seed = SEED)
  void anyBytesAreReadOrRefused(@ForAll("names") String name, @ForAll byte[] bytes) {
    readOrRefuse(name, Arrays.copyOf(bytes, Math.min(bytes.length, MOST_BYTES)));
  }
}

package gladelug.data.relay;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Names of mechanisms that experiments switch off. */
final class MechanismTest {
  @Test
  void everyNameIsParsedAndMechanismsAreOnUnlessNamed() {
    for (Mechanism mechanism : Mechanism.values()) {
      Set<Mechanism> off = Mechanism.parse(List.of(mechanism.settingName()));
      Assertions.assertEquals(Set.of(mechanism), off);
      Assertions.assertTrue(RelaySettings.DEFAULTS.isEnabled(mechanism));
      Assertions.assertFalse(RelaySettings.builder().without(off).build().isEnabled(mechanism));
    }
  }

  @Test
  void unknownAndRepeatedNamesAreRejected() {
    String unknown =
        Assertions.assertThrows(
                IllegalArgumentException.class, () -> Mechanism.parse(List.of("luck")))
            .getMessage();
    Assertions.assertTrue(unknown.contains("luck") && unknown.contains("store-save"), unknown);
    Assertions.assertThrows(
        IllegalArgumentException.class, () -> Mechanism.parse(List.of("retries", "retries")));
  }
}

package gladelug.common;

import static gladelug.common.Log.line;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Log. */
final class LogTest {
  @Test
  void aLineBreakInAValueIsEscaped() {
    Assertions.assertEquals(
        "event=x a=1 b=\"two words\\u000aand \\\"more\\\"\" c=\"\"",
        line("x", "a", 1, "b", "two words\nand \"more\"", "c", ""));
  }
}

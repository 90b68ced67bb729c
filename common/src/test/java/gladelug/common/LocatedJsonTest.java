package gladelug.common;

import static gladelug.common.LocatedJson.parse;

import gladelug.common.LocatedJson.Fields;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of LocatedJson. */
final class LocatedJsonTest {
  @Test
  void everyFindingHasItsPlace() {
    Findings findings = new Findings();
    LocatedJson json =
        ((Result.Good<LocatedJson>) parse("{\"a\": 1,\n \"b\": [\"x\", 3],\n \"zz\": true}"))
            .value();
    Fields f = json.fields(findings);
    f.text("a");
    f.texts("b", true);
    f.integer("c", 1, 5);
    f.reportUnknownFields();
    Assertions.assertEquals(
        """
            line 1, column 7 (a): must be a text
            line 2, column 13 (b[1]): must be a text that is not empty
            line 1, column 1 (top): misses the field c
            line 3, column 8 (zz): is not a known field
            """,
        findings.toString());
  }

  @Test
  void brokenTextAndDoubledFieldsAreFindings() {
    Assertions.assertTrue(parse("{\"a\": }").toString().startsWith("line 1, column 7: not JSON"));
    Assertions.assertTrue(parse("{\"a\": 1, \"a\": 2}").toString().contains("given twice"));
  }
}

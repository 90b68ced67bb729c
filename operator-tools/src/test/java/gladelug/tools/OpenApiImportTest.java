package gladelug.tools;

import static gladelug.tools.OpenApiImport.convert;

import com.eclipsesource.json.JsonObject;
import gladelug.common.Findings;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests the conversion of OpenAPI documents into routes. */
final class OpenApiImportTest {
  @Test
  void operationsBecomeRoutesAndTheOthersAreReported() {
    Findings findings = new Findings();
    JsonObject json =
        convert(
            """
                openapi: 3.0.1
                info: {title: t, version: '1'}
                paths:
                  /headline:
                    post: {operationId: headline, x-repeatable: true, x-expiry-ms: 4000,
                      responses: {'200': {description: ok}}}
                    get: {operationId: look, responses: {'200': {description: ok}}}
                  /stop/{id}:
                    post: {operationId: stop, parameters: [{name: id, in: path, required: true,
                      schema: {type: string}}], responses: {'200': {description: ok}}}
                  /caption/draft:
                    post: {responses: {'200': {description: ok}}}
                """,
            "desk-model",
            findings);
    Assertions.assertEquals(
        """
            [{"name":"headline","path":"/headline","service":"desk-model","expiryMs":4000,"repeatable":true},\
            {"name":"caption-draft","path":"/caption/draft","service":"desk-model"}]""",
        json.get("mappings").toString());
    String text = findings.toString();
    for (String expected :
        new String[] {
          "paths./headline.get: is left out: requests are sent with POST only",
          "paths./stop/{id}.post: is left out",
          "paths./caption/draft.post: has no operationId"
        }) Assertions.assertTrue(text.contains(expected), text);
  }

  @Test
  void anUnreadableDocumentIsReportedAsAFinding() {
    Findings findings = new Findings();
    Assertions.assertEquals(
        "[]", convert("not: [an, api", "m", findings).get("mappings").toString());
    Assertions.assertFalse(findings.isEmpty());
  }
}

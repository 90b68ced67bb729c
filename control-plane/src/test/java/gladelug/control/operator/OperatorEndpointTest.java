package gladelug.control.operator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Digest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The product's own listener for operators over loopback: one member that is a core by itself. */
@Timeout(120)
final class OperatorEndpointTest {
  private static final String CONFIGURATION = "/v1/configuration";
  private static final String EMPTY = "{\"services\":[],\"mappings\":[],\"tenants\":[]}";
  private static final int TRIES = 60;

  private final HttpClient http = HttpClient.newHttpClient();
  private OneMemberCore member;
  @TempDir Path data;

  @AfterEach
  void stopMember() {
    member.close();
  }

  private void start(int bootstrapMembers) {
    member = new OneMemberCore(data, bootstrapMembers);
  }

  private void startAlone() throws Exception {
    start(1);
    int status = 0;
    for (int i = 0; i < TRIES && status != 200; i++) status = get(CONFIGURATION).statusCode();
    Assertions.assertEquals(200, status);
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + member.operatorAddress + path));
  }

  private HttpResponse<String> get(String path) throws Exception {
    return http.send(request(path).build(), BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String ifMatch, byte[] body) throws Exception {
    return http.send(
        request(CONFIGURATION)
            .header("If-Match", ifMatch)
            .POST(BodyPublishers.ofByteArray(body))
            .build(),
        BodyHandlers.ofString());
  }

  private void assertApplied(String ifMatch, byte[] body, long number, boolean repeated)
      throws Exception {
    HttpResponse<String> answer = post(ifMatch, body);
    JsonObject said = Json.parse(answer.body()).asObject();
    Assertions.assertEquals(200, answer.statusCode(), answer.body());
    Assertions.assertEquals(number, said.getLong("number", -1));
    Assertions.assertEquals(repeated, said.getBoolean("repeated", !repeated));
  }

  private String statusOf(long number, byte[] body) throws Exception {
    String path = CONFIGURATION + "/numbers/" + number + "?digest=" + Digest.hex(body);
    return Json.parse(get(path).body()).asObject().getString("fate", "");
  }

  /** A valid configuration; the spaces at its end make it another text. */
  private static byte[] configuration(int spaces) {
    return (EMPTY + " ".repeat(spaces)).getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void whatWasTakenIsAcknowledgedAgainAndAnOlderTextOnTheNewestNumberIsNew() throws Exception {
    startAlone();
    byte[] first = configuration(1), second = configuration(2), rival = configuration(9);
    assertApplied("0", first, 1, false);
    assertApplied("\"1\"", second, 2, false);
    assertApplied("0", first, 1, true);
    Assertions.assertEquals(412, post("0", rival).statusCode());
    assertApplied("2", first, 3, false);
    assertApplied("1", second, 2, true);
    assertApplied("2", first, 3, true);
    assertApplied("*", second, 4, false);
    Assertions.assertEquals("taken", statusOf(1, first));
    Assertions.assertEquals("other", statusOf(1, rival));
    Assertions.assertEquals("not-yet", statusOf(5, rival));
  }

  @Test
  void whatIsNoNumberOrNoTextIsAFinding() throws Exception {
    startAlone();
    for (String bad : new String[] {"x", "-1", "\"0\"0\"", "0,1", "9999999999999999999"})
      Assertions.assertEquals(400, post(bad, configuration(0)).statusCode(), bad);
    byte[] notText = configuration(1);
    notText[notText.length - 1] = (byte) 0xe9;
    HttpResponse<String> answer = post("0", notText);
    Assertions.assertEquals(400, answer.statusCode());
    Assertions.assertTrue(answer.body().contains("UTF-8"), answer.body());
  }

  @Test
  void withoutAMajorityNothingIsShownAndNoNumberIsToldOf() throws Exception {
    start(3);
    Assertions.assertEquals(503, get(CONFIGURATION).statusCode());
    Assertions.assertEquals(503, get("/v1/weights").statusCode());
    Assertions.assertEquals("unknown", statusOf(1, configuration(0)));
    Assertions.assertEquals(503, post("0", configuration(0)).statusCode());
  }
}

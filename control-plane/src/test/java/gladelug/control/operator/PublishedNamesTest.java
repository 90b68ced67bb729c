package gladelug.control.operator;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.Digest;
import gladelug.common.message.StateUpdate;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The paths of the listener for operators and the fields of its answers, held against literals:
 * operators' scripts hold them. One member that is a core by itself, over loopback.
 */
@Timeout(120)
final class PublishedNamesTest {
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
    for (int i = 0; i < TRIES && status != 200; i++)
      status = answer("GET", CONFIGURATION, null, "").statusCode();
    Assertions.assertEquals(200, status);
  }

  private HttpResponse<String> answer(String method, String path, String ifMatch, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + member.operatorAddress + path))
            .method(method, BodyPublishers.ofString(body));
    if (ifMatch != null) request.header("If-Match", ifMatch);
    return http.send(request.build(), BodyHandlers.ofString());
  }

  /** The names of all fields; of a list those of its first entry. */
  private static String fieldNames(JsonValue value) {
    if (value.isArray())
      return "[" + (value.asArray().isEmpty() ? "" : fieldNames(value.asArray().get(0))) + "]";
    if (!value.isObject()) return "";
    List<String> names = new ArrayList<>();
    for (JsonObject.Member member : value.asObject()) {
      String below = fieldNames(member.getValue());
      names.add(member.getName() + (below.isEmpty() ? "" : ":" + below));
    }
    return "{" + String.join(",", names) + "}";
  }

  /** The status, the fields and the outcome of an answer to a call. */
  private String describeAnswer(String method, String path, String ifMatch, String body)
      throws Exception {
    HttpResponse<String> answer = answer(method, path, ifMatch, body);
    JsonValue said = Json.parse(answer.body());
    String outcome = said.asObject().getString("outcome", said.asObject().getString("fate", ""));
    String tag = answer.headers().firstValue("ETag").map(t -> " ETag " + t).orElse("");
    return (answer.statusCode() + " " + fieldNames(said) + " " + outcome + tag).trim();
  }

  private void assertAnswer(
      String expected, String method, String path, String ifMatch, String body) throws Exception {
    Assertions.assertEquals(
        expected, describeAnswer(method, path, ifMatch, body), method + " " + path);
  }

  private String digestQuery(String body) {
    return "?digest=" + Digest.hex(body);
  }

  @Test
  void theConfigurationsPathsAndFieldsHaveTheseNames() throws Exception {
    startAlone();
    String taken = "{outcome,number,repeated,acknowledgedBy,licencesRunOut,waitedMs} taken";
    String value = "{number,value:{services:[],mappings:[],tenants:[]}}";
    assertAnswer("200 {number}  ETag \"0\"", "GET", "/v1/configuration", null, "");
    assertAnswer("200 " + taken + " ETag \"1\"", "POST", "/v1/configuration", "0", EMPTY);
    assertAnswer("200 " + value + "  ETag \"1\"", "GET", "/v1/configuration", null, "");
    assertAnswer("200 " + taken + " ETag \"2\"", "POST", "/v1/policy", "1", EMPTY + " ");
    assertAnswer("200 " + value + "  ETag \"2\"", "GET", "/v1/policy", null, "");
    assertAnswer("428 {outcome,reason} not-taken", "POST", "/v1/configuration", null, EMPTY);
    assertAnswer(
        "412 {outcome,reason,current} not-taken", "POST", "/v1/configuration", "0", EMPTY + "  ");
    assertAnswer(
        "400 {outcome,findings:[{place,what}]} not-taken", "POST", "/v1/policy", "2", "{}");
    for (String path : List.of("/v1/configuration", "/v1/policy")) {
      assertAnswer(
          "200 {key,numbers:[{number,digest,taken,by,changed,acknowledged,firstSeenAt:{}}]}",
          "GET",
          path + "/numbers",
          null,
          "");
      assertAnswer(
          "200 {number,fate} taken", "GET", path + "/numbers/1" + digestQuery(EMPTY), null, "");
      assertAnswer(
          "200 {number,fate} other", "GET", path + "/numbers/1" + digestQuery("x"), null, "");
      assertAnswer(
          "200 {number,fate} not-yet", "GET", path + "/numbers/9" + digestQuery("x"), null, "");
      assertAnswer(
          "400 {outcome,findings:[{place,what}]} not-taken", "GET", path + "/numbers/1", null, "");
    }
  }

  @Test
  void theOtherPathsAndFieldsHaveTheseNames() throws Exception {
    startAlone();
    assertAnswer("200 {ready,reason}", "GET", "/ready", null, "");
    assertAnswer("200 {number}  ETag \"0\"", "GET", "/v1/weights", null, "");
    assertAnswer("200 {number}  ETag \"0\"", "GET", "/v1/replicas", null, "");
    assertAnswer("200 {key,numbers:[]}", "GET", "/v1/weights/numbers", null, "");
    assertAnswer("404 {reason}", "GET", "/v1/nothing", null, "");
    String naming = "{\"service\":\"s\",\"weights\":\"w\"}";
    HttpResponse<String> named = answer("POST", "/v1/weights", null, naming);
    Assertions.assertEquals(400, named.statusCode(), named.body());
    Assertions.assertTrue(named.body().contains("is no model service"), named.body());
    String swap = "{\"out\":\"x\",\"in\":\"y\"}";
    assertAnswer("409 {outcome,reason} not-taken", "POST", "/v1/core/swap", null, swap);
    assertAnswer(
        "400 {outcome,findings:[{place,what}]} not-taken", "POST", "/v1/core/swap", null, "{}");
  }

  @Test
  void theStatusHasTheseFields() throws Exception {
    startAlone();
    StateUpdate.SubscriptionRequest ask =
        new StateUpdate.SubscriptionRequest(
            1,
            "r1",
            2,
            "relay",
            "127.0.0.1:1",
            "127.0.0.1:2",
            "z",
            List.of(new StateUpdate.KnownVersion("policy", 1, 2)),
            List.of(),
            List.of());
    member
        .core
        .ask(
            node -> {
              node.onSubscriptionRequest(ask);
              return "";
            })
        .await()
        .atMost(Duration.ofSeconds(10));
    assertAnswer(
        "200 {generation,members:[{name,records,operator,alive}],"
            + "keys:[{key,owner,epoch,number,digest,licensed,confirmedMsAgo}],"
            + "wouldJoin:[],sealed,retired,active,"
            + "nodes:[{name,role,domain,operator,askedMsAgo,holds:{policy:{number,forMs}}}]}",
        "GET",
        "/v1/status",
        null,
        "");
  }
}

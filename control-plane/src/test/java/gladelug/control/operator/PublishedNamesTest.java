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
 * Checks the paths of the operator endpoint and the fields of its responses against literals,
 * because operators' scripts depend on them. Runs over loopback, with a core of a single member.
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
      status = send("GET", CONFIGURATION, null, "").statusCode();
    Assertions.assertEquals(200, status);
  }

  private HttpResponse<String> send(String method, String path, String ifMatch, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + member.operatorAddress + path))
            .method(method, BodyPublishers.ofString(body));
    if (ifMatch != null) request.header("If-Match", ifMatch);
    return http.send(request.build(), BodyHandlers.ofString());
  }

  /** Returns the names of all fields; for a list, those of its first entry. */
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

  /** Returns the status code, the field names and the outcome of the response to a request. */
  private String describeResponse(String method, String path, String ifMatch, String body)
      throws Exception {
    HttpResponse<String> response = send(method, path, ifMatch, body);
    JsonValue json = Json.parse(response.body());
    String outcome = json.asObject().getString("outcome", json.asObject().getString("fate", ""));
    String tag = response.headers().firstValue("ETag").map(t -> " ETag " + t).orElse("");
    return (response.statusCode() + " " + fieldNames(json) + " " + outcome + tag).trim();
  }

  private void assertResponse(
      String expected, String method, String path, String ifMatch, String body) throws Exception {
    Assertions.assertEquals(
        expected, describeResponse(method, path, ifMatch, body), method + " " + path);
  }

  private String digestQuery(String body) {
    return "?digest=" + Digest.hex(body);
  }

  @Test
  void theConfigurationPathsAndFieldsHaveThePublishedNames() throws Exception {
    startAlone();
    String taken = "{outcome,number,repeated,acknowledgedBy,licencesRunOut,waitedMs} taken";
    String value = "{number,value:{services:[],mappings:[],tenants:[]}}";
    assertResponse("200 {number}  ETag \"0\"", "GET", "/v1/configuration", null, "");
    assertResponse("200 " + taken + " ETag \"1\"", "POST", "/v1/configuration", "0", EMPTY);
    assertResponse("200 " + value + "  ETag \"1\"", "GET", "/v1/configuration", null, "");
    assertResponse("200 " + taken + " ETag \"2\"", "POST", "/v1/policy", "1", EMPTY + " ");
    assertResponse("200 " + value + "  ETag \"2\"", "GET", "/v1/policy", null, "");
    assertResponse("428 {outcome,reason} not-taken", "POST", "/v1/configuration", null, EMPTY);
    assertResponse(
        "412 {outcome,reason,current} not-taken", "POST", "/v1/configuration", "0", EMPTY + "  ");
    assertResponse(
        "400 {outcome,findings:[{place,what}]} not-taken", "POST", "/v1/policy", "2", "{}");
    for (String path : List.of("/v1/configuration", "/v1/policy")) {
      assertResponse(
          "200 {key,numbers:[{number,digest,taken,by,changed,acknowledged,firstSeenAt:{}}]}",
          "GET",
          path + "/numbers",
          null,
          "");
      assertResponse(
          "200 {number,fate} taken", "GET", path + "/numbers/1" + digestQuery(EMPTY), null, "");
      assertResponse(
          "200 {number,fate} other", "GET", path + "/numbers/1" + digestQuery("x"), null, "");
      assertResponse(
          "200 {number,fate} not-yet", "GET", path + "/numbers/9" + digestQuery("x"), null, "");
      assertResponse(
          "400 {outcome,findings:[{place,what}]} not-taken", "GET", path + "/numbers/1", null, "");
    }
  }

  @Test
  void theOtherPathsAndFieldsHaveThePublishedNames() throws Exception {
    startAlone();
    assertResponse("200 {ready,reason}", "GET", "/ready", null, "");
    assertResponse("200 {number}  ETag \"0\"", "GET", "/v1/weights", null, "");
    assertResponse("200 {number}  ETag \"0\"", "GET", "/v1/replicas", null, "");
    assertResponse("200 {key,numbers:[]}", "GET", "/v1/weights/numbers", null, "");
    assertResponse("404 {reason}", "GET", "/v1/nothing", null, "");
    String naming = "{\"service\":\"s\",\"weights\":\"w\"}";
    HttpResponse<String> named = send("POST", "/v1/weights", null, naming);
    Assertions.assertEquals(400, named.statusCode(), named.body());
    Assertions.assertTrue(named.body().contains("is no model service"), named.body());
    String swap = "{\"out\":\"x\",\"in\":\"y\"}";
    assertResponse("409 {outcome,reason} not-taken", "POST", "/v1/core/swap", null, swap);
    assertResponse(
        "400 {outcome,findings:[{place,what}]} not-taken", "POST", "/v1/core/swap", null, "{}");
  }

  @Test
  void theStatusHasThePublishedFields() throws Exception {
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
    assertResponse(
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

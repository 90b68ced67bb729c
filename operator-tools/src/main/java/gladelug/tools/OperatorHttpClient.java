package gladelug.tools;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Blocking HTTP client of the operator commands. Tries the given addresses in order: an address
 * that cannot be reached or responds with 503 is skipped, and any other response is final.
 */
final class OperatorHttpClient implements AutoCloseable {
  /**
   * The outcome of a call.
   *
   * @param status the HTTP status, or 0 when no address responded
   * @param body the response's JSON object, or an object with a "reason" when there is none
   */
  record Response(int status, JsonObject body) {
    boolean isSuccess() {
      return status / 100 == 2;
    }
  }

  private final Vertx vertx = Vertx.vertx();
  private final WebClient webClient =
      WebClient.create(
          vertx, new WebClientOptions().setConnectTimeout(1000).setFollowRedirects(false));

  /** Sends a GET request; see {@link #send}. */
  Response get(List<Address> addresses, String path) {
    return send(HttpMethod.GET, addresses, path, null, Map.of());
  }

  /**
   * Sends a request to the first address that responds with a status other than 503.
   *
   * @param body the request body, or null for none
   * @return the first response other than 503; else the last 503; else a response with status 0
   */
  Response send(
      HttpMethod method,
      List<Address> addresses,
      String path,
      String body,
      Map<String, String> headers) {
    Response last = new Response(0, Json.object().add("reason", "no address given"));
    for (Address address : addresses) {
      var request =
          webClient
              .request(
                  method,
                  new RequestOptions(
                      new RequestOptions()
                          .setHost(address.host())
                          .setPort(address.port())
                          .setURI(path)))
              .timeout(20_000);
      headers.forEach(request::putHeader);
      try {
        var response =
            (body == null ? request.send() : request.sendBuffer(Buffer.buffer(body)))
                .await()
                .atMost(Duration.ofSeconds(25));
        JsonObject json;
        try {
          json = Json.parse(response.bodyAsString()).asObject();
        } catch (RuntimeException e) {
          json = Json.object().add("reason", "the response is not a JSON object");
        }
        last = new Response(response.statusCode(), json);
        if (response.statusCode() != 503) return last;
      } catch (RuntimeException e) {
        if (last.status == 0)
          last = new Response(0, Json.object().add("reason", address + " does not respond"));
      }
    }
    return last;
  }

  @Override
  public void close() {
    vertx.closeAndForget();
  }
}

package gladelug.common.connection;

import gladelug.common.MemoryBudget;
import gladelug.common.connection.HttpCallException.Reason;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of BoundedHttpClient against a misbehaving server. */
@Timeout(60)
final class BoundedHttpClientTest {
  private static final String HOST = "127.9.3.1";
  private static final int MAX_BYTES = 1000, TIMEOUT_MS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final MemoryBudget budget = new MemoryBudget(3 * MAX_BYTES);
  private final BoundedHttpClient client =
      new BoundedHttpClient(vertx, new HttpClientOptions().setMaxPoolSize(1), budget);
  private Consumer<HttpServerRequest> responder = request -> request.response().end();
  private final CompletableFuture<Void> connectionEnded = new CompletableFuture<>();
  private HttpServer server;

  @BeforeEach
  void listen() throws Exception {
    server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  request.connection().closeHandler(closed -> connectionEnded.complete(null));
                  responder.accept(request);
                });
    server.listen(0, HOST).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() {
    client.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private BufferedHttpResponse call(long withinMs) {
    RequestOptions target =
        new RequestOptions().setHost(HOST).setPort(server.actualPort()).setURI("/x");
    return client.send(target, MAX_BYTES, withinMs).await().atMost(Duration.ofSeconds(30));
  }

  private void assertCallFails(Reason reason, long withinMs) {
    HttpCallException failure =
        Assertions.assertThrows(HttpCallException.class, () -> call(withinMs));
    Assertions.assertEquals(reason, failure.reason(), failure.getMessage());
    Assertions.assertEquals(0, budget.reservedBytes());
  }

  private static void writeEndlessly(HttpServerResponse answer) {
    if (answer.closed()) return;
    answer.write(Buffer.buffer(new byte[100])).onSuccess(written -> writeEndlessly(answer));
  }

  @Test
  void aResponseIsBufferedAndItsBytesAreReservedUntilItIsClosed() {
    responder = request -> request.response().setStatusCode(418).putHeader("A", "b").end("hello");
    BufferedHttpResponse answer = call(TIMEOUT_MS);
    Assertions.assertEquals(418, answer.status());
    Assertions.assertEquals("b", answer.header("A"));
    Assertions.assertEquals("hello", answer.body().toString());
    Assertions.assertEquals(5, budget.reservedBytes());
    answer.close();
    Assertions.assertEquals(0, budget.reservedBytes());
  }

  /** Guards against an endless page that fills the heap, as the soak run with seed 600 did. */
  @Test
  void anEndlessResponseIsAbortedAndItsConnectionClosed() {
    responder = request -> writeEndlessly(request.response().setChunked(true));
    assertCallFails(Reason.TOO_LARGE, TIMEOUT_MS);
    connectionEnded.join();
  }

  @Test
  void aSlowlyDrippingResponseTimesOut() {
    responder =
        request -> {
          request.response().setChunked(true);
          vertx.setPeriodic(10, id -> request.response().write("."));
        };
    assertCallFails(Reason.TIMED_OUT, 300);
    connectionEnded.join();
  }

  @Test
  void aResponseBeyondTheMemoryBudgetIsAborted() {
    Assertions.assertTrue(budget.reserve(3 * MAX_BYTES - 4));
    responder = request -> request.response().end("hello");
    HttpCallException failure =
        Assertions.assertThrows(HttpCallException.class, () -> call(TIMEOUT_MS));
    Assertions.assertEquals(Reason.NO_MEMORY, failure.reason());
    Assertions.assertEquals(3 * MAX_BYTES - 4, budget.reservedBytes());
  }

  @Test
  void anIncompleteResponseFails() {
    responder =
        request -> {
          request.response().putHeader("Content-Length", "9").write("half");
          vertx.setTimer(50, id -> request.connection().close());
        };
    assertCallFails(Reason.BROKEN, TIMEOUT_MS);
  }
}

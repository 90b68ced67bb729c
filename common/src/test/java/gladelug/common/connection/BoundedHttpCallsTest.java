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

/** Tests of BoundedHttpClient against a server that answers as no server should. */
@Timeout(60)
final class BoundedHttpCallsTest {
  private static final String HOST = "127.9.3.1";
  private static final int MOST = 1000, IN_TIME_MS = 20_000;

  private final Vertx vertx = Vertx.vertx();
  private final MemoryBudget budget = new MemoryBudget(3 * MOST);
  private final BoundedHttpClient calls =
      new BoundedHttpClient(vertx, new HttpClientOptions().setMaxPoolSize(1), budget);
  private Consumer<HttpServerRequest> answers = request -> request.response().end();
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
                  answers.accept(request);
                });
    server.listen(0, HOST).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @AfterEach
  void end() {
    calls.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private BufferedHttpResponse call(long withinMs) {
    RequestOptions target =
        new RequestOptions().setHost(HOST).setPort(server.actualPort()).setURI("/x");
    return calls.send(target, MOST, withinMs).await().atMost(Duration.ofSeconds(30));
  }

  private void givenUp(Reason reason, long withinMs) {
    HttpCallException failure =
        Assertions.assertThrows(HttpCallException.class, () -> call(withinMs));
    Assertions.assertEquals(reason, failure.reason(), failure.getMessage());
    Assertions.assertEquals(0, budget.reservedBytes());
  }

  private static void endless(HttpServerResponse answer) {
    if (answer.closed()) return;
    answer.write(Buffer.buffer(new byte[100])).onSuccess(written -> endless(answer));
  }

  @Test
  void anAnswerIsTakenWholeAndItsBytesAreReservedUntilItIsClosed() {
    answers = request -> request.response().setStatusCode(418).putHeader("A", "b").end("hello");
    BufferedHttpResponse answer = call(IN_TIME_MS);
    Assertions.assertEquals(418, answer.status());
    Assertions.assertEquals("b", answer.header("A"));
    Assertions.assertEquals("hello", answer.body().toString());
    Assertions.assertEquals(5, budget.reservedBytes());
    answer.close();
    Assertions.assertEquals(0, budget.reservedBytes());
  }

  /** Guards against a page without an end that fills the heap (soak, seed 600). */
  @Test
  void anAnswerWithoutAnEndIsGivenUpAndItsConnectionClosed() {
    answers = request -> endless(request.response().setChunked(true));
    givenUp(Reason.TOO_LARGE, IN_TIME_MS);
    connectionEnded.join();
  }

  @Test
  void anAnswerThatDripsIsGivenUpInTimeThoughSomethingComesAllTheTime() {
    answers =
        request -> {
          request.response().setChunked(true);
          vertx.setPeriodic(10, id -> request.response().write("."));
        };
    givenUp(Reason.TIMED_OUT, 300);
    connectionEnded.join();
  }

  @Test
  void anAnswerForWhichThereIsNoMemoryIsGivenUp() {
    Assertions.assertTrue(budget.reserve(3 * MOST - 4));
    answers = request -> request.response().end("hello");
    HttpCallException failure =
        Assertions.assertThrows(HttpCallException.class, () -> call(IN_TIME_MS));
    Assertions.assertEquals(Reason.NO_MEMORY, failure.reason());
    Assertions.assertEquals(3 * MOST - 4, budget.reservedBytes());
  }

  @Test
  void anAnswerThatBreaksOffIsNone() {
    answers =
        request -> {
          request.response().putHeader("Content-Length", "9").write("half");
          vertx.setTimer(50, id -> request.connection().close());
        };
    givenUp(Reason.BROKEN, IN_TIME_MS);
  }
}

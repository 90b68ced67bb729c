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
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
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
  private static final int MAX_BYTES = 1000, TIMEOUT_MS = 20_000, RESET_DELAY_MS = 200;

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

  /** Answers one call by these bytes, and ends the connection with a FIN or a reset. */
  private BufferedHttpResponse callRawServer(String answer, boolean reset) throws Exception {
    try (ServerSocket rawServer = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      CompletableFuture<Void> answered =
          CompletableFuture.runAsync(
              () -> {
                try (Socket socket = rawServer.accept()) {
                  socket.getInputStream().read();
                  socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                  if (reset) socket.setSoLinger(true, 0);
                  else socket.shutdownOutput();
                  // the client has to have read the answer before the connection is reset
                  Thread.sleep(reset ? RESET_DELAY_MS : 0);
                  if (!reset) socket.getInputStream().readAllBytes();
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      RequestOptions target =
          new RequestOptions().setHost(HOST).setPort(rawServer.getLocalPort()).setURI("/x");
      try {
        return client.send(target, MAX_BYTES, TIMEOUT_MS).await().atMost(Duration.ofSeconds(30));
      } finally {
        answered.handle((done, failure) -> null).get(10, TimeUnit.SECONDS);
      }
    }
  }

  @Test
  void aResponseWithoutALengthIsCompleteOnlyIfItsConnectionEndsInOrder() throws Exception {
    String undelimited = "HTTP/1.1 200 OK\r\n\r\n{}";
    Assertions.assertEquals("{}", callRawServer(undelimited, false).body().toString());
    HttpCallException failure =
        Assertions.assertThrows(HttpCallException.class, () -> callRawServer(undelimited, true));
    Assertions.assertEquals(Reason.BROKEN, failure.reason());
  }

  @Test
  void aResponseThatEndsShortFailsHoweverItsEndIsMarked() {
    for (String head :
        List.of("Content-Length: 9\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}"))
      for (boolean reset : new boolean[] {false, true})
        Assertions.assertEquals(
            Reason.BROKEN,
            Assertions.assertThrows(
                    HttpCallException.class,
                    () -> callRawServer("HTTP/1.1 200 OK\r\n" + head, reset))
                .reason(),
            head);
  }
}

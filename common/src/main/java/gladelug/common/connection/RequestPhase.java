package gladelug.common.connection;

import io.netty.handler.codec.http.HttpRequest;

/**
 * How far the decoder and the listener of a connection are with its current request. Confined to
 * the connection's event loop.
 */
final class RequestPhase {
  private final InboundConnection connection;

  /** Called when a request is received and answered completely. */
  private Runnable exchangeEndListener = () -> {};

  /** The head that the decoder produced since the last {@link #takeHead}. */
  private HttpRequest head;

  private boolean requestEnded;
  private boolean answerEnded;
  private boolean failed;

  /** Contents of the body that the decoder produced since the last {@link #takeContents}. */
  private int contents;

  RequestPhase(InboundConnection connection) {
    this.connection = connection;
  }

  void setExchangeEndListener(Runnable listener) {
    exchangeEndListener = listener;
  }

  /** Returns whether a complete request waits for the end of its answer. */
  boolean isAwaitingAnswer() {
    return requestEnded;
  }

  /** Returns whether the decoder found an error, after which it discards all bytes. */
  boolean hasFailed() {
    return failed;
  }

  void onFailure() {
    failed = true;
  }

  void onHead(HttpRequest request) {
    head = request;
  }

  /** Returns the head of the request that began since the last call, or null. */
  HttpRequest takeHead() {
    HttpRequest taken = head;
    head = null;
    return taken;
  }

  void onContent() {
    contents++;
  }

  /** Returns how many contents the decoder produced since the last call. */
  int takeContents() {
    int taken = contents;
    contents = 0;
    return taken;
  }

  void onRequestEnd() {
    requestEnded = true;
    connection.onRequestComplete();
    endExchange();
  }

  void onAnswerEnd() {
    answerEnded = true;
    endExchange();
  }

  private void endExchange() {
    if (!requestEnded || !answerEnded) return;
    requestEnded = false;
    answerEnded = false;
    connection.onAnswered();
    exchangeEndListener.run();
  }
}

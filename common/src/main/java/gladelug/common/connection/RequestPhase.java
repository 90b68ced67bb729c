package gladelug.common.connection;

/** Which part of a request a connection is about to receive. Confined to its event loop. */
final class RequestPhase {
  private boolean inBody;

  /** Contents of the body that the decoder produced since the last {@link #takeContents}. */
  private int contents;

  boolean isInBody() {
    return inBody;
  }

  void onHead() {
    inBody = true;
  }

  void onContent() {
    contents++;
  }

  void onEnd() {
    inBody = false;
  }

  /** Returns how many contents the decoder produced since the last call. */
  int takeContents() {
    int taken = contents;
    contents = 0;
    return taken;
  }
}

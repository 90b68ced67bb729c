package gladelug.emulator.soak;

/** The kinds of client requests; each has its own route. */
enum RequestKind {
  ASK("unsafe", "/ask/", 6000, 0, 40, false),
  READ("safe", "/read/", 6000, 0, 30, false),
  STREAM("streaming", "/stream/", 12_000, 12, 60, true),
  LONG_STREAM("streaming", "/long/", 20_000, 70, 100, false),
  /** A request with a body of the maximum size that the configuration allows. */
  UPLOAD("unsafe", "/upload/", 8000, 0, 30, false);

  /** The route type in configurations. */
  final String routeType;

  final String path;
  final int deadlineMs;

  /** Number of events in a streamed answer; 0 for an answer with a plain body. */
  final int eventCount;

  /** How long a replica works on a plain body, or on each event of a stream. */
  final int workPerStepMs;

  final boolean resumable;

  RequestKind(
      String routeType, String path, int deadlineMs, int events, int workMs, boolean resumable) {
    this.routeType = routeType;
    this.path = path;
    this.deadlineMs = deadlineMs;
    this.eventCount = events;
    this.workPerStepMs = workMs;
    this.resumable = resumable;
  }

  /** Returns whether a request may run more than once. */
  boolean isRepeatable() {
    return routeType.equals("safe") || resumable;
  }

  static RequestKind ofPath(String path) {
    for (RequestKind kind : values()) if (path.startsWith(kind.path)) return kind;
    return null;
  }
}

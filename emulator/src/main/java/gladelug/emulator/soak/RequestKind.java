package gladelug.emulator.soak;

/** A kind of request, each on a route of its own. */
enum RequestKind {
  ASK("unsafe", "/ask/", 6000, 0, 40, false),
  READ("safe", "/read/", 6000, 0, 30, false),
  STREAM("streaming", "/stream/", 12_000, 12, 60, true),
  LONG_STREAM("streaming", "/long/", 20_000, 70, 100, false),
  /** With a body of the greatest size that the configuration allows. */
  UPLOAD("unsafe", "/upload/", 8000, 0, 30, false);

  /** As configurations name it. */
  final String routeType;

  final String path;
  final int deadlineMs;

  /** How many events its answer streams; 0 for one body. */
  final int eventCount;

  /** How long a replica works on a body, or between two events. */
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

  /** Whether one try of a client may run more than once. */
  boolean isRepeatable() {
    return routeType.equals("safe") || resumable;
  }

  static RequestKind ofPath(String path) {
    for (RequestKind kind : values()) if (path.startsWith(kind.path)) return kind;
    return null;
  }
}

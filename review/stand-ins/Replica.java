import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** A model replica that keeps parts of prompts as PROTOCOL.md says, and tells who made them. */
final class Replica {
  /** How long an answer is spoilt at the most: garble's for_s on the site. */
  private static final int SPOILT_S = 5;

  /** A piece as the site's are, of 50 bytes, without the empty line that ends an event. */
  private static final String SPOILT_LINE = "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n";

  /** How many are written at once. */
  private static final int SPOILT_CHUNKS = 1000;

  /** A kept part: who made it, and when. */
  private record Kept(String tenant, String version, String request) {}

  interface Finding {
    /** A request of a tenant used a part that another made. */
    void used(String request, String tenant, String part, String maker, String makersRequest);
  }

  final String instance;
  final String service;
  final String model;
  final ServerSocket server;
  private final Record record;
  private final Finding finding;
  private final Map<String, Kept> kept = new HashMap<>();
  private final List<String> events = new ArrayList<>();
  private int revision = 1;
  private int sequence;
  volatile int answerBytes;
  volatile int workMs = 20;
  volatile int ran;

  /** The next answer is spoilt. */
  final AtomicBoolean spoilsNext = new AtomicBoolean();

  Replica(String ip, String instance, String service, String model, Record record, Finding finding)
      throws IOException {
    this.instance = instance;
    this.service = service;
    this.model = model;
    this.record = record;
    this.finding = finding;
    server = new ServerSocket(0, 512, InetAddress.getByName(ip));
    Stage.daemon("replica " + instance, this::accept);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  synchronized String listed(String state, String zone) {
    return "{\"BackendService\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\""
        + zone + "\",\"Revision\":\"v1\",\"SlotCount\":96,\"LifecycleState\":\"" + state
        + "\",\"ColdRemainingMs\":0,\"ServingStage\":\"prefill_decode\",\"ModelList\":[{\"Name\":\""
        + model + "\",\"Revision\":" + revision + ",\"AdapterList\":[]}],\"InstanceId\":\""
        + instance + "\"}";
  }

  private void accept() throws IOException {
    while (true) {
      Socket s = server.accept();
      Stage.daemon("connection", () -> serve(s));
    }
  }

  private void serve(Socket s) throws IOException {
    try (s) {
      s.setTcpNoDelay(true);
      InputStream in = Http.buffered(s.getInputStream());
      for (Http.Message q = Http.read(in); q != null && q.whole(); q = Http.read(in))
        answer(q, s.getOutputStream());
    }
  }

  private void answer(Http.Message q, OutputStream out) throws IOException {
    String target = q.line().split(" ")[1];
    String expected = q.header("X-Gladelug-Expect-Instance");
    if (expected != null && !expected.equals(instance)) say(out, 421, "", "{}");
    else if (target.startsWith("/-/report")) say(out, 200, "", report());
    else if (target.startsWith("/-/order")) order(q, out);
    else if (target.startsWith("/-/kv-events")) events(target, q, out);
    else if (target.startsWith("/-/kv-list")) say(out, 200, "", list());
    else if (target.startsWith("/health"))
      say(out, 200, "X-Gladelug-Instance-Id: " + instance + "\r\n", "{}");
    else run(q, out);
  }

  private synchronized String report() {
    return "{\"ServingStage\":\"prefill_decode\",\"ModelList\":[{\"Name\":\"" + model
        + "\",\"Revision\":" + revision + ",\"AdapterList\":[]}],\"IsBusy\":false,\"Sequence\":"
        + sequence + ",\"Queued\":0,\"Active\":0,\"KvUsedTokens\":0,\"KvTotalTokens\":90000,"
        + "\"HandleCount\":0}";
  }

  private void order(Http.Message q, OutputStream out) throws IOException {
    int asked = Integer.parseInt(q.text().replaceAll("(?s).*\"Revision\":(\\d+).*", "$1"));
    record.add("order " + instance + " " + q.text());
    synchronized (this) {
      sequence++;
      revision = asked;
      kept.clear();
    }
    say(out, 202, "", "{}");
  }

  private void events(String target, Http.Message q, OutputStream out) throws IOException {
    int since = Integer.parseInt(target.replaceAll(".*SinceTime=(\\d+).*", "$1"));
    String wait = q.header("Wait-Ms");
    long until = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
    String log;
    int next;
    synchronized (this) {
      for (long left = until - System.nanoTime();
          events.size() <= since && left > 0;
          left = until - System.nanoTime())
        try {
          wait(Math.max(1, left / 1_000_000));
        } catch (InterruptedException e) {
          return;
        }
      next = events.size();
      log = since >= next ? "" : String.join(",", events.subList(since, next));
    }
    say(
        out,
        200,
        "",
        "{\"RestartEpoch\":1,\"NextPageToken\":" + next + ",\"LostCount\":false,\"EventLog\":[" + log
            + "]}");
  }

  private synchronized String list() {
    List<String> held = new ArrayList<>();
    for (String key : kept.keySet()) {
      String[] p = key.split("/", -1);
      held.add("[\"" + p[0] + "\",\"" + p[1] + "\"," + p[2] + ",\"" + model + "\"]");
    }
    return "{\"RestartEpoch\":1,\"NextPageToken\":" + events.size() + ",\"HeldCount\":["
        + String.join(",", held) + "]}";
  }

  private void say(OutputStream out, int status, String headers, String body) throws IOException {
    byte[] b = body.getBytes();
    Http.write(
        out,
        "HTTP/1.1 " + status + " Said\r\nContent-Type: application/json\r\n" + headers
            + "Content-Length: " + b.length + "\r\n",
        b);
  }

  private void run(Http.Message q, OutputStream out) throws IOException {
    String id = q.header("X-Gladelug-Request-Id");
    String tenant = q.header("X-Gladelug-Tenant-Id");
    String version = q.header("X-Gladelug-Expect-Version");
    String echo = "X-Gladelug-Request-Id: " + id + "\r\n";
    String now;
    synchronized (this) {
      now = String.valueOf(revision);
    }
    if (version != null && !version.equals(now)) {
      say(out, 421, echo + "X-Gladelug-Instance-Id: " + instance + "\r\n", "{}");
      return;
    }
    ran++;
    record.add("run " + id + " at " + instance + " tenant " + tenant + " salt "
        + q.header("X-Gladelug-Cache-Salt") + " parts " + q.header("X-Gladelug-Prompt-Prefix")
        + " body " + q.body().length);
    use(q, id, tenant, now);
    if (spoilsNext.getAndSet(false)) {
      spoil(out, echo, id, now);
      return;
    }
    Stage.sleep(workMs);
    byte[] body = answerBytes > 0 ? new byte[answerBytes] : ("answer to " + id).getBytes();
    for (int i = 0; answerBytes > 0 && i < body.length; i++) body[i] = (byte) ('a' + i % 26);
    Http.write(
        out,
        "HTTP/1.1 200 OK\r\n" + echo + "X-Gladelug-Server-Seal: seal-" + instance + "-" + id
            + "\r\nX-Gladelug-Weight-Versions: " + now + "\r\nX-Gladelug-Instance-Load: 0,0,96\r\n"
            + "Content-Length: " + body.length + "\r\n",
        body);
  }

  /**
   * A spoilt answer: a stream whose first event doesn't end, until the caller lets go of it or the
   * trouble is over.
   */
  private void spoil(OutputStream out, String echo, String id, String now) throws IOException {
    record.add("the answer to " + id + " at " + instance + " is spoilt from now on");
    Http.write(
        out,
        "HTTP/1.1 200 OK\r\n" + echo + "X-Gladelug-Server-Seal: seal-" + instance + "-" + id
            + "\r\nX-Gladelug-Weight-Versions: " + now
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        new byte[0]);
    StringBuilder chunks = new StringBuilder();
    for (int i = 0; i < SPOILT_CHUNKS; i++)
      chunks.append(Integer.toHexString(SPOILT_LINE.length())).append("\r\n").append(SPOILT_LINE).append("\r\n");
    byte[] many = chunks.toString().getBytes();
    long from = System.nanoTime();
    long sent = 0;
    Stage.daemon(
        "end of the trouble",
        () -> {
          Stage.sleep(SPOILT_S * 1000L);
          out.close();
        });
    try {
      while (true) {
        out.write(many);
        sent += many.length;
      }
    } finally {
      record.add("the spoilt answer ends after " + sent + " bytes and "
          + (System.nanoTime() - from) / 1_000_000 + " ms");
    }
  }

  /** Looks kept parts up under the request's salt, in order, and keeps those that were not there. */
  private synchronized void use(Http.Message q, String id, String tenant, String version) {
    String salt = q.header("X-Gladelug-Cache-Salt");
    String parts = q.header("X-Gladelug-Prompt-Prefix");
    if (parts == null) return;
    boolean found = true;
    for (String p : parts.split(",")) {
      String[] f = p.trim().split(":");
      String key = salt + "/" + f[0] + "/" + f[1];
      Kept k = kept.get(key);
      found &= k != null;
      if (found) {
        record.add("used " + id + " of " + tenant + " part " + f[0] + " made by " + k.request
            + " of " + k.tenant);
        finding.used(id, tenant, f[0], k.tenant, k.request);
      } else {
        kept.put(key, new Kept(tenant, version, id));
        events.add("[" + (events.size() + 1) + ",\"+\",\"" + salt + "\",\"" + f[0] + "\"," + f[1]
            + ",\"" + model + "\"]");
        notifyAll();
      }
    }
  }
}

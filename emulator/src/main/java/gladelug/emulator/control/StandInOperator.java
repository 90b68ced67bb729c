package gladelug.emulator.control;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import gladelug.emulator.Deployment;
import gladelug.emulator.Fleet;
import gladelug.emulator.control.ChangeLedger.Attempt;
import gladelug.emulator.control.ChangeLedger.Outcome;
import gladelug.emulator.control.ChangeLedger.Reading;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;

/**
 * A stand-in for an operator. Changes and reads the configuration at random core members, sends a
 * change again if the answer was not conclusive, and can lose an answer on purpose by closing the
 * connection after the change was sent. Records everything in the {@link ChangeLedger}.
 */
public final class StandInOperator {
  /** A core member and the host and port where it answers operators. */
  public record Member(String name, String address) {}

  private static final String PATH = "/v1/configuration";

  /**
   * How long an operator waits for an answer before it sends the same request to another member.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  /** Pause before the next try. */
  private static final long RETRY_PAUSE_MS = 50;

  /** The route whose deadline in ms is the marker of the content plus MARKER_BASE_MS. */
  private static final String MARKED_ROUTE = "lookup-stop";

  private static final int MARKER_BASE_MS = 5000;

  private final String name;
  private final Deployment deployment;
  private final ChangeLedger ledger;
  private final Random random;
  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(Duration.ofSeconds(1))
          .version(HttpClient.Version.HTTP_1_1)
          .build();
  private volatile List<Member> members;

  /** Creates an operator that calls the given members in an order drawn from the seed. */
  public StandInOperator(
      String name, Deployment deployment, ChangeLedger ledger, List<Member> members, long seed) {
    this.name = name;
    this.deployment = deployment;
    this.ledger = ledger;
    this.members = List.copyOf(members);
    this.random = new Random(seed);
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Sets the members to be called from now on. */
  public void useMembers(List<Member> now) {
    members = List.copyOf(now);
  }

  private Member anyMember() {
    List<Member> all = members;
    return all.get(random.nextInt(all.size()));
  }

  /** Reads the configuration at a member; returns its number, or -1 if the member gave none. */
  public long read(Member member) {
    long sentAtMs = nowMs();
    Fleet.Answer answer = call(request(member, "").GET().build());
    boolean shown = answer.status() == 200;
    long number = shown ? answer.body().getLong("number", -1) : -1;
    int content = shown && answer.body().get("value") != null ? markerIn(answer.body()) : -1;
    ledger.record(new Reading(member.name(), sentAtMs, nowMs(), answer.status(), number, content));
    return number;
  }

  /**
   * Reads at random members until one shows the configuration; returns its number, or -1 if none
   * does in time.
   */
  public long readAnywhere(long timeoutMs) {
    long deadlineMs = nowMs() + timeoutMs;
    while (nowMs() < deadlineMs) {
      long number = read(anyMember());
      if (number >= 0) return number;
      Fleet.pause(RETRY_PAUSE_MS);
    }
    return -1;
  }

  /**
   * Makes a new change based on the current configuration, and sends it again to other members
   * until the answer is conclusive.
   *
   * @return the last attempt
   */
  public Attempt change(long timeoutMs) {
    return changeOn(readAnywhere(timeoutMs), timeoutMs, false);
  }

  /**
   * Makes a new change based on a number, and sends it until the answer is conclusive.
   *
   * @param loseFirstAnswer whether the operator closes the connection before the first answer
   */
  public Attempt changeOn(long basedOn, long timeoutMs, boolean loseFirstAnswer) {
    int content = ledger.nextContent();
    Attempt first =
        loseFirstAnswer
            ? sendWithoutReading(content, basedOn)
            : send(anyMember(), content, basedOn);
    return isConclusive(first) ? first : sendAgain(first, timeoutMs);
  }

  /**
   * Sends a new change based on a number and closes the connection before the answer.
   *
   * @return the attempt, whose content can be sent again
   */
  public Attempt sendUnanswered(long basedOn) {
    return sendWithoutReading(ledger.nextContent(), basedOn);
  }

  /** Sends an earlier change again until the answer is conclusive; returns the last attempt. */
  public Attempt sendAgain(Attempt earlier, long timeoutMs) {
    long deadlineMs = nowMs() + timeoutMs;
    Attempt attempt = send(anyMember(), earlier.content(), earlier.basedOn());
    while (!isConclusive(attempt) && nowMs() < deadlineMs) {
      Fleet.pause(RETRY_PAUSE_MS);
      attempt = send(anyMember(), earlier.content(), earlier.basedOn());
    }
    return attempt;
  }

  private static boolean isConclusive(Attempt attempt) {
    return attempt.outcome() != Outcome.UNKNOWN && attempt.outcome() != Outcome.NOT_TAKEN;
  }

  private String configurationBody(int content) {
    return deployment.configuration(content, List.of()).toString();
  }

  /** Sends a change once to a member and records the answer. */
  public Attempt send(Member member, int content, long basedOn) {
    long sentAtMs = nowMs();
    HttpRequest request =
        request(member, Long.toString(basedOn))
            .POST(HttpRequest.BodyPublishers.ofString(configurationBody(content)))
            .build();
    Fleet.Answer answer = call(request);
    Outcome outcome = outcomeOf(answer);
    long number =
        switch (outcome) {
          case CONFIRMED -> answer.body().getLong("number", -1);
          case REFUSED_AS_STALE -> answer.body().getLong("current", -1);
          default -> -1;
        };
    return recordAttempt(
        new Attempt(
            name,
            member.name(),
            content,
            basedOn,
            sentAtMs,
            nowMs(),
            outcome,
            answer.status(),
            number));
  }

  /** Sends a change once and closes the connection up to 40 ms later without reading the answer. */
  private Attempt sendWithoutReading(int content, long basedOn) {
    Member member = anyMember();
    long sentAtMs = nowMs();
    String[] hostAndPort = member.address().split(":");
    byte[] body = configurationBody(content).getBytes(StandardCharsets.UTF_8);
    String head =
        "POST "
            + PATH
            + " HTTP/1.1\r\nHost: "
            + member.address()
            + "\r\nIf-Match: "
            + basedOn
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])), 1000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      Fleet.pause(random.nextInt(40));
    } catch (IOException e) {
      // with or without this error, whether the change was taken is not known
    }
    return recordAttempt(
        new Attempt(
            name, member.name(), content, basedOn, sentAtMs, nowMs(), Outcome.UNKNOWN, 0, -1));
  }

  private Attempt recordAttempt(Attempt attempt) {
    ledger.record(attempt);
    return attempt;
  }

  private static HttpRequest.Builder request(Member member, String basedOn) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + member.address() + PATH))
            .timeout(ANSWER_TIMEOUT);
    return basedOn.isEmpty() ? builder : builder.header("If-Match", basedOn);
  }

  private Fleet.Answer call(HttpRequest request) {
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      return new Fleet.Answer(response.statusCode(), parseObject(response.body()), null);
    } catch (IOException e) {
      return new Fleet.Answer(0, Json.object(), null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Fleet.Answer(0, Json.object(), null);
    }
  }

  private static JsonObject parseObject(String text) {
    try {
      JsonValue value = Json.parse(text);
      return value.isObject() ? value.asObject() : Json.object();
    } catch (ParseException e) {
      return Json.object();
    }
  }

  private static Outcome outcomeOf(Fleet.Answer answer) {
    return switch (answer.status()) {
      case 200 -> Outcome.CONFIRMED;
      case 412 -> Outcome.REFUSED_AS_STALE;
      case 503 -> Outcome.NOT_TAKEN;
      case 0, 504 -> Outcome.UNKNOWN;
      default -> answer.status() >= 500 ? Outcome.UNKNOWN : Outcome.REFUSED;
    };
  }

  /** Returns the marker in the configuration that was read, or -1 if there is none. */
  private static int markerIn(JsonObject answer) {
    for (JsonValue route : answer.get("value").asObject().get("mappings").asArray()) {
      if (route.asObject().getString("name", "").equals(MARKED_ROUTE)) {
        return route.asObject().getInt("expiryMs", 0) - MARKER_BASE_MS;
      }
    }
    return -1;
  }
}

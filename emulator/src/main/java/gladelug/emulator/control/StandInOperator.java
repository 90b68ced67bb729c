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
 * A stand-in for an operator: changes the configuration and reads it at core members that it is
 * told of, sends again what it got no clear answer to, and can lose an answer on purpose by going
 * away after the change was sent. All it does goes into the ledger of changes.
 *
 * <p>One operator with a way of its own through the members.
 */
public final class StandInOperator {
  /** A core member as operators call it. */
  public record Member(String name, String address) {}

  private static final String PATH = "/v1/configuration";

  /** How long an operator waits for an answer before it sends the same again elsewhere. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  /** How long an operator waits before it tries the next member. */
  private static final long RETRY_PAUSE_MS = 50;

  /** The route whose deadline carries the marker of a content, and what is added to the marker. */
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

  /** Calls the given members in an order that the seed draws. */
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

  /** The members to be called from now on. */
  public void useMembers(List<Member> now) {
    members = List.copyOf(now);
  }

  private Member anyMember() {
    List<Member> all = members;
    return all.get(random.nextInt(all.size()));
  }

  /** Reads the configuration at a member; -1 for its number where the member gave none. */
  public long read(Member member) {
    long sentAtMs = nowMs();
    Fleet.Answer answer = call(request(member, "").GET().build());
    boolean shown = answer.status() == 200;
    long number = shown ? answer.body().getLong("number", -1) : -1;
    int content = shown && answer.body().get("value") != null ? contentOf(answer.body()) : -1;
    ledger.record(new Reading(member.name(), sentAtMs, nowMs(), answer.status(), number, content));
    return number;
  }

  /** Reads at one member after the other until one shows the configuration; -1 if none does. */
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
   * Sends a new content on what is current, and again at other members until the answer is clear.
   *
   * @return the last attempt
   */
  public Attempt change(long timeoutMs) {
    return changeOn(readAnywhere(timeoutMs), timeoutMs, false);
  }

  /**
   * Sends a new content on a number until the answer is clear.
   *
   * @param loseFirstAnswer whether the operator goes away before the first answer
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
   * Sends a new content on a number and goes away before the answer.
   *
   * @return the attempt, whose content can be sent again
   */
  public Attempt sendUnanswered(long basedOn) {
    return sendWithoutReading(ledger.nextContent(), basedOn);
  }

  /** Sends what was sent before, until the answer is clear. */
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

  private String body(int content) {
    return deployment.configuration(content, List.of()).toString();
  }

  /** Sends a content once to a member and notes the answer. */
  public Attempt send(Member member, int content, long basedOn) {
    long sentAtMs = nowMs();
    HttpRequest request =
        request(member, Long.toString(basedOn))
            .POST(HttpRequest.BodyPublishers.ofString(body(content)))
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

  /** Sends a content once and closes the connection a few milliseconds later, unanswered. */
  private Attempt sendWithoutReading(int content, long basedOn) {
    Member member = anyMember();
    long sentAtMs = nowMs();
    String[] hostAndPort = member.address().split(":");
    byte[] body = body(content).getBytes(StandardCharsets.UTF_8);
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
      // what became of it is not known either way
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
      return new Fleet.Answer(response.statusCode(), parsed(response.body()), null);
    } catch (IOException e) {
      return new Fleet.Answer(0, Json.object(), null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Fleet.Answer(0, Json.object(), null);
    }
  }

  private static JsonObject parsed(String text) {
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

  /** The marker of the content that was read; -1 where there is none. */
  private static int contentOf(JsonObject answer) {
    for (JsonValue route : answer.get("value").asObject().get("mappings").asArray()) {
      if (route.asObject().getString("name", "").equals(MARKED_ROUTE)) {
        return route.asObject().getInt("expiryMs", 0) - MARKER_BASE_MS;
      }
    }
    return -1;
  }
}

package gladelug.data.relay;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.common.Log;
import gladelug.common.configuration.Replicas;
import gladelug.data.request.Prompt;
import gladelug.data.request.Request;
import gladelug.data.request.RequestState;
import gladelug.data.request.ResponseHead;
import io.vertx.core.buffer.Buffer;

/**
 * The native protocol to replicas: a JSON request and an answer of JSON lines. The identity of the
 * replica is verified before a new connection carries a request. Pieces are numbered and checked,
 * the end is explicit, and bytes after it are discarded.
 */
public final class LineExchange implements Exchange {
  private static final int MAX_IDENTITY_CHECKS = 4;
  private final Relay relay;
  private final ReplicaConnections connections;

  public LineExchange(Relay relay, ReplicaConnections connections) {
    this.relay = relay;
    this.connections = connections;
  }

  @Override
  public void send(Request request, Backend backend, Reply reply) {
    openConnection(request, backend, MAX_IDENTITY_CHECKS, reply);
  }

  private void openConnection(Request request, Backend backend, int checksLeft, Reply reply) {
    connections.open(
        backend.replica,
        connection -> {
          String identity = connection.verifiedIdentity();
          if (identityOf(backend).equals(identity)) sendOn(request, backend, connection, reply);
          else if (checksLeft == 0) {
            connection.reset();
            reply.connectionFailed(
                "the identity of " + backend.replica.instance() + " could not be verified", 0);
          } else verify(request, backend, connection, checksLeft, reply);
        },
        why -> reply.connectionFailed("no connection to " + backend.replica.instance(), 1000));
  }

  private static String identityOf(Backend backend) {
    return backend.replica.service() + "/" + backend.replica.instance();
  }

  /**
   * Asks a new connection for the identity of the other end; requests are sent only if it is the
   * expected one.
   */
  private void verify(
      Request request,
      Backend backend,
      ReplicaConnections.Connection connection,
      int checksLeft,
      Reply reply) {
    connection.identify(
        identity -> {
          if (identity.equals(identityOf(backend))) {
            openConnection(request, backend, checksLeft - 1, reply);
            return;
          }
          connection.close();
          Log.warn(
              "circuit-to-another",
              "wanted",
              identityOf(backend),
              "found",
              identity.isEmpty() ? "nobody" : identity,
              "address",
              backend.replica.address());
          reply.connectionFailed(
              "the address of " + backend.replica.instance() + " belongs to another process", 2000);
        });
  }

  private void sendOn(
      Request request, Backend backend, ReplicaConnections.Connection connection, Reply reply) {
    if (!reply.beginSend(
        new Handle() {
          @Override
          public void reset() {
            connection.reset();
          }

          @Override
          public void pause() {
            connection.pause();
          }

          @Override
          public void resume() {
            connection.resume();
          }
        })) {
      connection.reset();
      return;
    }
    connection.send(requestBody(request, backend), new AnswerReader(request, backend, reply));
  }

  private String requestBody(Request request, Backend backend) {
    JsonObject json =
        Json.object()
            .add("order", request.id())
            .add("try", request.tryCount)
            .add("service", request.service.name())
            .add("instance", backend.replica.instance())
            .add("weights", request.weights)
            .add("wall", request.cacheScope)
            .add("prompt", request.prompt instanceof Prompt.Text text ? text.text() : "")
            .add("maxPieces", request.maxPieces);
    if (request.fetchBlocks > 0) {
      JsonArray keys = new JsonArray();
      for (int i = request.matchedBlocks; i < request.matchedBlocks + request.fetchBlocks; i++)
        keys.add(String.format("%016x", request.blockKeys[i]));
      Replicas.Replica holder = relay.snapshot().replicas().find(request.fetchFrom);
      if (holder != null)
        json.add(
            "fetch",
            Json.object()
                .add("from", request.fetchFrom)
                .add("address", holder.address().toString())
                .add("blocks", keys));
    }
    return json.toString();
  }

  private final class AnswerReader implements ReplicaConnections.Answer {
    private final Request request;
    private final Backend backend;
    private final Reply reply;
    private boolean headRead;
    private boolean ended;
    private int pieceCount;

    AnswerReader(Request request, Backend backend, Reply reply) {
      this.request = request;
      this.backend = backend;
      this.reply = reply;
    }

    @Override
    public void refused(int status, String body) {
      if (ended) return;
      if (status != 409) {
        broken("answered " + status);
        return;
      }
      String why = "";
      try {
        JsonObject json = Json.parse(body).asObject();
        if (request.id().equals(json.getString("order", ""))
            && "not-run".equals(json.getString("outcome", "")))
          why = json.getString("reason", "no reason given");
      } catch (RuntimeException malformed) {
        why = "";
      }
      if (why.isEmpty()) {
        broken("answered 409 without reporting not-run for this request");
        return;
      }
      ended = true;
      if (why.startsWith("weights")) backend.weightsByModel.remove(request.model);
      reply.notRun(why, 100);
    }

    @Override
    public void closed(String why) {
      broken(why);
    }

    private void broken(String cause) {
      if (ended) return;
      ended = true;
      reply.broken(cause);
    }

    @Override
    public void line(String line) {
      if (ended) return;
      JsonObject json;
      try {
        json = Json.parse(line).asObject();
      } catch (RuntimeException malformed) {
        broken("a line of the answer is not a JSON object");
        return;
      }
      if (!headRead) {
        if (!request.id().equals(json.getString("order", ""))
            || !backend.replica.instance().equals(json.getString("instance", ""))
            || !request.weights.equals(json.getString("weights", ""))) {
          broken("the answer is for another request, replica or weights");
          return;
        }
        headRead = true;
        reply.head(ResponseHead.EMPTY_OK);
        JsonValue value = json.get("used");
        if (value != null && value.isObject() && request.state.phase() != RequestState.Phase.ENDED)
          request.decision.add("replica", relay.clock.now(), (JsonObject) value);
        return;
      }
      if (json.getBoolean("end", false)) end(json);
      else piece(json);
    }

    private void piece(JsonObject json) {
      JsonValue number = json.get("piece"), text = json.get("text");
      if (number == null
          || !number.isNumber()
          || text == null
          || !text.isString()
          || !number.toString().equals(Integer.toString(pieceCount))) {
        broken("piece " + number + " received, piece " + pieceCount + " expected");
        return;
      }
      pieceCount++;
      reply.piece(
          Buffer.buffer(Json.object().add("piece", number).add("text", text).toString()), "");
    }

    private void end(JsonObject json) {
      JsonValue value = json.get("pieces");
      if (value == null
          || !value.isNumber()
          || !value.toString().equals(Integer.toString(pieceCount))) {
        broken("the end reports " + value + " pieces, received " + pieceCount);
        return;
      }
      ended = true;
      reply.end();
    }
  }
}

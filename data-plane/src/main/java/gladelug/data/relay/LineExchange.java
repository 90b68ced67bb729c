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
 * The product's own protocol to replicas: a request as JSON, an answer of lines. A new connection
 * to a replica verifies the peer's identity before it carries anything. Pieces are numbered and
 * checked, the end is explicit, and a replica's bytes after it are discarded.
 */
public final class LineExchange implements Exchange {
  private static final int MAX_IDENTITY_CHECKS = 4;
  private final Relay relay;
  private final ReplicaConnections connections;

  public LineExchange(Relay r, ReplicaConnections connections) {
    this.relay = r;
    this.connections = connections;
  }

  @Override
  public void send(Request request, Backend backend, Reply to) {
    openConnection(request, backend, MAX_IDENTITY_CHECKS, to);
  }

  private void openConnection(Request request, Backend backend, int checks, Reply to) {
    connections.open(
        backend.replica,
        q -> {
          String is = q.verifiedIdentity();
          if (identityOf(backend).equals(is)) sendOn(request, backend, q, to);
          else if (checks == 0) {
            q.reset();
            to.connectionFailed(
                "circuits to " + backend.replica.instance() + " could not be checked", 0);
          } else verify(request, backend, q, checks, to);
        },
        why -> to.connectionFailed("no circuit to " + backend.replica.instance(), 1000));
  }

  private static String identityOf(Backend backend) {
    return backend.replica.service() + "/" + backend.replica.instance();
  }

  /**
   * The first use of a new connection asks who is there; only the right answer lets requests on it.
   */
  private void verify(
      Request request, Backend backend, ReplicaConnections.Connection q, int checks, Reply to) {
    q.identify(
        is -> {
          if (is.equals(identityOf(backend))) {
            openConnection(request, backend, checks - 1, to);
            return;
          }
          q.close();
          Log.warn(
              "circuit-to-another",
              "wanted",
              identityOf(backend),
              "found",
              is.isEmpty() ? "nobody" : is,
              "address",
              backend.replica.address());
          to.connectionFailed(
              "the address of " + backend.replica.instance() + " is not that replica's", 2000);
        });
  }

  private void sendOn(Request request, Backend backend, ReplicaConnections.Connection q, Reply to) {
    if (!to.beginSend(
        new Handle() {
          @Override
          public void reset() {
            q.reset();
          }

          @Override
          public void pause() {
            q.pause();
          }

          @Override
          public void resume() {
            q.resume();
          }
        })) {
      q.reset();
      return;
    }
    q.send(requestBody(request, backend), new AnswerReader(request, backend, to));
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
            .add("prompt", request.prompt instanceof Prompt.Text t ? t.text() : "")
            .add("maxPieces", request.maxPieces);
    if (request.fetchBlocks > 0) {
      JsonArray array = new JsonArray();
      for (int i = request.matchedBlocks; i < request.matchedBlocks + request.fetchBlocks; i++)
        array.add(String.format("%016x", request.blockKeys[i]));
      Replicas.Replica h = relay.snapshot().replicas().find(request.fetchFrom);
      if (h != null)
        json.add(
            "fetch",
            Json.object()
                .add("from", request.fetchFrom)
                .add("address", h.address().toString())
                .add("blocks", array));
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

    AnswerReader(Request request, Backend backend, Reply to) {
      this.request = request;
      this.backend = backend;
      this.reply = to;
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
          why = json.getString("reason", "none given");
      } catch (RuntimeException malformed) {
        why = "";
      }
      if (why.isEmpty()) {
        broken("answered 409 without saying not-run of this order");
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

    private void broken(String what) {
      if (ended) return;
      ended = true;
      reply.broken(what);
    }

    @Override
    public void line(String x) {
      if (ended) return;
      JsonObject json;
      try {
        json = Json.parse(x).asObject();
      } catch (RuntimeException t) {
        broken("a line that is no piece");
        return;
      }
      if (!headRead) {
        if (!request.id().equals(json.getString("order", ""))
            || !backend.replica.instance().equals(json.getString("instance", ""))
            || !request.weights.equals(json.getString("weights", ""))) {
          broken("the answer is not to this order, from this replica, under these weights");
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
      JsonValue n = json.get("piece"), t = json.get("text");
      if (n == null
          || !n.isNumber()
          || t == null
          || !t.isString()
          || !n.toString().equals(Integer.toString(pieceCount))) {
        broken("piece " + n + " where " + pieceCount + " was due");
        return;
      }
      pieceCount++;
      reply.piece(Buffer.buffer(Json.object().add("piece", n).add("text", t).toString()), "");
    }

    private void end(JsonObject json) {
      JsonValue value = json.get("pieces");
      if (value == null
          || !value.isNumber()
          || !value.toString().equals(Integer.toString(pieceCount))) {
        broken("the end speaks of " + value + " pieces after " + pieceCount);
        return;
      }
      ended = true;
      reply.end();
    }
  }
}

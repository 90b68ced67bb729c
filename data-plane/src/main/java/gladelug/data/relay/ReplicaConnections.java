package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import java.util.function.Consumer;

/**
 * The interface between forwarding and the network: connections to replicas, which can be opened,
 * verified, sent a request, and reset, and which answer with lines, a status or a break. Vert.x is
 * one implementation, the simulator another. All on the request thread.
 */
public interface ReplicaConnections {
  /** For one use: one asking who is there, or one request. */
  interface Connection {
    /** Who the other end of this very connection was found to be, or an empty text. */
    String verifiedIdentity();

    /** Asks SERVICE/INSTANCE on this connection; an empty text where nobody says so in time. */
    void identify(Consumer<String> who);

    void send(String json, Answer to);

    void reset();

    /** The connection, with whatever else is on it. */
    void close();

    void pause();

    void resume();
  }

  /** What comes back for one request. */
  interface Answer {
    /** The answer's status, and the body where it is not 200. */
    void refused(int status, String body);

    void line(String line);

    /** Nothing more will come. */
    void closed(String why);
  }

  void open(Replica to, Consumer<Connection> opened, Consumer<String> failure);
}

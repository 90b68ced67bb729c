package gladelug.data.relay;

import gladelug.common.configuration.Replicas.Replica;
import java.util.function.Consumer;

/**
 * The interface between forwarding and the network: connections to replicas, which can be opened,
 * verified, used for a request and reset, and which answer with lines, a status or a break.
 * Implemented over Vert.x and by the simulator. Runs on the request thread.
 */
public interface ReplicaConnections {
  /** A connection for one exchange: either one identity check or one request. */
  interface Connection {
    /** Returns the verified identity of the other end of this connection, or an empty string. */
    String verifiedIdentity();

    /**
     * Asks the other end for its identity, SERVICE/INSTANCE; passes an empty string if none arrives
     * in time.
     */
    void identify(Consumer<String> onIdentity);

    /** Sends a request on this connection and reads its answer. */
    void send(String json, Answer answer);

    void reset();

    /** Closes the connection, including other exchanges on it. */
    void close();

    void pause();

    void resume();
  }

  /** Receives the answer to one request. */
  interface Answer {
    /** Reports a status other than 200 and the body. */
    void refused(int status, String body);

    void line(String line);

    /** Reports that no more lines will arrive. */
    void closed(String why);
  }

  /** Opens a connection to a replica; exactly one of the callbacks is called. */
  void open(Replica replica, Consumer<Connection> onOpen, Consumer<String> onFailure);
}

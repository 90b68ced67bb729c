/*
 * The one seam between the hand-over and the world: circuits to replicas, which can be opened,
 * asked who is there, told an order, and reset, and which answer with lines, a status or a break. Vert.x is one
 * side of it, the simulator another. All on the order thread.
 */
package gladelug.data.relay;

import gladelug.kernel.policy.Replicas.Replica;
import java.util.function.Consumer;

public interface Circuits {
    /** For one use: one asking who is there, or one order. */
    interface Circuit {
        /** Who the other end of this very connection was found to be, or an empty text. */
        String who();

        /** Asks SERVICE/INSTANCE on this connection; an empty text where nobody says so in time. */
        void identify(Consumer<String> who);

        void order(String json, Answer to);

        void reset();

        /** The connection, with whatever else is on it. */
        void close();

        void pause();

        void resume();
    }

    /** What comes back for one order. */
    interface Answer {
        /** The answer's status, and the body where it is not 200. */
        void refused(int status, String body);

        void line(String line);

        /** Nothing more will come. */
        void over(String why);
    }

    void open(Replica to, Consumer<Circuit> opened, Consumer<String> problem);
}

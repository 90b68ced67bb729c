/*
 * The core's times, all in monotonic milliseconds. The lease bounds how long a cut-off relay may
 * act on old news; takeover has to be well inside it. Measured values stand in docs/measurements.md.
 */
package gladelug.control.core;

public record Tunables(int lease, int alive, int dead, int confirm, int settled, int rank, int attempt, int yields,
    int fate, int queue) {
    public static final Tunables USUAL = new Tunables(2000, 100, 500, 150, 3000, 700, 400, 1000, 8000, 64);
}

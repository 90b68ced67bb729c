package gladelug.emulator.scale;

import java.util.Locale;

/**
 * The sizes that a scale run varies one at a time, each with the points it takes unless told
 * otherwise. The first point of each is the base, at which it stays while another is varied.
 *
 * <p>What a scale run varies.
 */
public enum ScaleSize {
  /** Hollow relays that hold connections to every member of the core. */
  NODES(20, 100, 240, 390),
  /** Hollow model replicas on the platform's list. */
  REPLICAS(12, 40, 80, 160),
  /** Cache events a second, of all replicas together. */
  EVENTS(200, 2000, 5000, 10_000),
  /** Blocks kept, of all replicas together. */
  BLOCKS(12_000, 100_000, 300_000, 600_000),
  /** Tenants in the configuration, a key each. */
  TENANTS(50, 1000, 3000, 7600),
  /** Routes in the configuration. */
  ROUTES(10, 200, 500, 1000),
  /** Configuration changes a minute by the operator door. */
  CHANGES(60, 120, 300, 600),
  /**
   * Leaves of the share tree for which each node reports demand; no more than there are tenants.
   */
  LEAVES(4, 15, 30, 50),
  /** Questions a second to the one index, of all nodes together. */
  LOOKUPS(100, 500, 1500, 3000),
  /** Members of the core. */
  CONTROLS(3, 5, 7, 9);

  private final long[] points;

  ScaleSize(long... points) {
    this.points = points;
  }

  /** The points of a whole run, rising; the first is the base. */
  public long[] points() {
    return points.clone();
  }

  public long base() {
    return points[0];
  }

  /**
   * Whether a running fleet can go from one point to a larger one, so that its points share a
   * fleet.
   */
  public boolean canGrow() {
    return this != REPLICAS && this != BLOCKS && this != CONTROLS;
  }

  /** As it is written in options, tables and files. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Null where no size is called this. */
  public static ScaleSize fromText(String text) {
    for (ScaleSize x : values()) if (x.text().equals(text)) return x;
    return null;
  }
}

package gladelug.emulator.scale;

import java.util.Locale;

/**
 * The sizes that a scale run varies one at a time, each with its default points. The first point is
 * the base, which the size keeps while another is varied.
 */
public enum ScaleSize {
  /** Hollow relays that hold connections to every member of the core. */
  NODES(20, 100, 240, 390),
  /** Hollow model replicas on the platform's list. */
  REPLICAS(12, 40, 80, 160),
  /** Cache events per second of all replicas together. */
  EVENTS(200, 2000, 5000, 10_000),
  /** Cached blocks of all replicas together. */
  BLOCKS(12_000, 100_000, 300_000, 600_000),
  /** Tenants in the configuration, each with one key. */
  TENANTS(50, 1000, 3000, 7600),
  /** Routes in the configuration. */
  ROUTES(10, 200, 500, 1000),
  /** Configuration changes per minute through the operator endpoint. */
  CHANGES(60, 120, 300, 600),
  /**
   * Leaves of the share tree for which each node reports demand; no more than there are tenants.
   */
  LEAVES(4, 15, 30, 50),
  /** Lookups per second to the one index, of all nodes together. */
  LOOKUPS(100, 500, 1500, 3000),
  /** Members of the core. */
  CONTROLS(3, 5, 7, 9);

  private final long[] points;

  ScaleSize(long... points) {
    this.points = points;
  }

  /** Returns the default points in rising order; the first is the base. */
  public long[] points() {
    return points.clone();
  }

  public long base() {
    return points[0];
  }

  /**
   * Returns whether a running fleet can move to a larger point, so that all points share a fleet.
   */
  public boolean canGrow() {
    return this != REPLICAS && this != BLOCKS && this != CONTROLS;
  }

  /** Returns the name used in options, tables and files. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the size of that name, or null if there is none. */
  public static ScaleSize fromText(String text) {
    for (ScaleSize size : values()) if (size.text().equals(text)) return size;
    return null;
  }
}

package gladelug.emulator.scale;

import gladelug.common.Findings;
import gladelug.common.Result;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a scale run is to do, read from its options: nothing is started unless all of it makes
 * sense, and all that doesn't is told together.
 *
 * @param seed of everything drawn
 * @param seconds how long a point is measured
 * @param settleMs how long it is let run before
 * @param points by size that is varied, its points, rising
 * @param roles whose figures are told
 */
public record ScalePlan(
    long seed, int seconds, long settleMs, Map<ScaleSize, List<Long>> points, Set<String> roles) {
  /**
   * Whose processor time and memory is measured; hollow is this process itself, for fairness' sake.
   */
  public static final List<String> ROLES =
      List.of("core-owner", "core-other", "index", "relay", "hollow");

  static final int MAX_PROCESSES = 200, MIN_POINTS = 4;
  private static final long MAX_ADDRESSES = 10_000, SETTLE_MS = 2000, QUICK_SETTLE_MS = 500;

  public ScalePlan {
    points = new EnumMap<>(points);
    roles = new LinkedHashSet<>(roles);
  }

  /** The options as given. */
  public record Options(
      long seed, int seconds, String sizes, List<String> points, String roles, boolean quick) {}

  /** memoryMb: what the machine has. */
  public static Result<ScalePlan> parse(Options options, long memoryMb) {
    Findings findings = new Findings();
    Map<ScaleSize, List<Long>> pointsBySize = new EnumMap<>(ScaleSize.class);
    for (String n : options.sizes.isEmpty() ? sizeNames() : List.of(options.sizes.split(","))) {
      ScaleSize size = ScaleSize.fromText(n);
      if (size == null) findings.add("--sizes", "must be of " + sizeNames() + ", not " + n);
      else pointsBySize.put(size, toList(size.points()));
    }
    if (options.quick)
      pointsBySize.replaceAll((size, values) -> List.of(values.get(0), values.get(1)));
    for (String p : options.points) parsePoints(p, pointsBySize, findings);
    Set<String> roles =
        new LinkedHashSet<>(options.roles.isEmpty() ? ROLES : List.of(options.roles.split(",")));
    for (String r : roles)
      if (!ROLES.contains(r)) findings.add("--roles", "must be of " + ROLES + ", not " + r);
    if (options.seconds < 2 || options.seconds > 60)
      findings.add("--seconds", "must be from 2 to 60, not " + options.seconds);
    int minPoints = options.quick ? 2 : MIN_POINTS;
    pointsBySize.forEach(
        (size, values) -> {
          if (values.size() < minPoints)
            findings.add("--points " + size.text(), "needs at least " + minPoints + " points");
          for (int i = 0; i < values.size(); i++) {
            if (values.get(i) < 1)
              findings.add("--points " + size.text(), "must be at least 1, not " + values.get(i));
            else if (i > 0 && values.get(i) <= values.get(i - 1))
              findings.add("--points " + size.text(), "must rise");
            else checkPoint(size, values.get(i), memoryMb, findings);
          }
        });
    return Result.of(
        findings,
        () ->
            new ScalePlan(
                options.seed,
                options.seconds,
                options.quick ? QUICK_SETTLE_MS : SETTLE_MS,
                pointsBySize,
                roles));
  }

  private static void checkPoint(ScaleSize size, long value, long memoryMb, Findings findings) {
    String place = "--points " + size.text();
    ScalePoint point = ScalePoint.base().with(size, value);
    if (point.processCount() > MAX_PROCESSES)
      findings.add(
          place, value + " takes " + point.processCount() + " processes; at most " + MAX_PROCESSES);
    if (size == ScaleSize.LEAVES && value > ScaleSize.TENANTS.base())
      findings.add(
          place, "each tenant is one, " + ScaleSize.TENANTS.base() + " of them, not " + value);
    if (size == ScaleSize.CONTROLS && value > 9)
      findings.add(place, "a core is founded by at most 9, not " + value);
    if ((size == ScaleSize.NODES || size == ScaleSize.REPLICAS) && value > MAX_ADDRESSES)
      findings.add(place, "at most " + MAX_ADDRESSES + " have an address each, not " + value);
    else if (point.memoryMb() * 2 > memoryMb)
      findings.add(
          place,
          value
              + " may take "
              + point.memoryMb()
              + " MB, more than half of the machine's "
              + memoryMb);
  }

  private static void parsePoints(
      String given, Map<ScaleSize, List<Long>> pointsBySize, Findings findings) {
    int i = given.indexOf('=');
    ScaleSize size = i < 0 ? null : ScaleSize.fromText(given.substring(0, i));
    if (size == null) {
      findings.add(
          "--points", "must be SIZE=N,N,... with a size of " + sizeNames() + ", not " + given);
      return;
    }
    List<Long> values = new ArrayList<>();
    for (String n : given.substring(i + 1).split(","))
      try {
        values.add(Long.parseLong(n));
      } catch (NumberFormatException e) {
        findings.add("--points " + size.text(), "is no whole number: " + n);
      }
    if (pointsBySize.containsKey(size)) pointsBySize.put(size, values);
    else findings.add("--points " + size.text(), "is not among the sizes that are varied");
  }

  private static List<String> sizeNames() {
    List<String> l = new ArrayList<>();
    for (ScaleSize s : ScaleSize.values()) l.add(s.text());
    return l;
  }

  private static List<Long> toList(long[] ns) {
    List<Long> l = new ArrayList<>();
    for (long n : ns) l.add(n);
    return List.copyOf(l);
  }

  /** MB of memory of this machine. */
  public static long totalMemoryMb() {
    return ProcessMeter.totalMemoryKb() >> 10;
  }
}

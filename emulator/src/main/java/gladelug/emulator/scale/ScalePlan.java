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
 * A validated plan of a scale run. Invalid options are all reported together, before anything is
 * started.
 *
 * @param seed the seed of all random numbers
 * @param seconds how long each point is measured
 * @param settleMs how long a fleet runs before it is measured
 * @param points the rising points of each size that is varied
 * @param roles the roles whose figures are reported
 */
public record ScalePlan(
    long seed, int seconds, long settleMs, Map<ScaleSize, List<Long>> points, Set<String> roles) {
  /**
   * The roles whose CPU time and memory are measured; hollow is this process itself, reported so
   * that its share of the machine is visible.
   */
  public static final List<String> ROLES =
      List.of("core-owner", "core-other", "index", "relay", "hollow");

  static final int MAX_PROCESSES = 200, MIN_POINTS = 4;
  private static final long MAX_ADDRESSES = 10_000, SETTLE_MS = 2000, QUICK_SETTLE_MS = 500;

  public ScalePlan {
    points = new EnumMap<>(points);
    roles = new LinkedHashSet<>(roles);
  }

  /** The options as given on the command line. */
  public record Options(
      long seed, int seconds, String sizes, List<String> points, String roles, boolean quick) {}

  /** Parses options for a machine with {@code memoryMb} of memory. */
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
              findings.add("--points " + size.text(), "must be in rising order");
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
          place, value + " needs " + point.processCount() + " processes; at most " + MAX_PROCESSES);
    if (size == ScaleSize.LEAVES && value > ScaleSize.TENANTS.base())
      findings.add(
          place, "each tenant has one, there are " + ScaleSize.TENANTS.base() + ", not " + value);
    if (size == ScaleSize.CONTROLS && value > 9)
      findings.add(place, "a core has at most 9 members at bootstrap, not " + value);
    if ((size == ScaleSize.NODES || size == ScaleSize.REPLICAS) && value > MAX_ADDRESSES)
      findings.add(place, "at most " + MAX_ADDRESSES + " can have an address, not " + value);
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
        findings.add("--points " + size.text(), "is not a whole number: " + n);
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

  /** Returns the memory of this machine in MB. */
  public static long totalMemoryMb() {
    return ProcessMeter.totalMemoryKb() >> 10;
  }
}

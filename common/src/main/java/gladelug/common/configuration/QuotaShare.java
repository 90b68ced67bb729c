package gladelug.common.configuration;

import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A node of the share tree. The children of the root are the tenants; below a tenant stand its
 * shares. A weight counts against the siblings' weights, a lower tier waits for the higher ones, a
 * limit of 0 is none. Which leaf a request belongs to is decided by its route's name.
 */
public record QuotaShare(
    String name,
    String path,
    int weight,
    int tier,
    int limit,
    List<String> routes,
    List<QuotaShare> shares) {
  static final int MAX_DEPTH = 6;

  static QuotaShare read(
      LocatedJson json, String under, int depth, Set<String> taken, Findings findings) {
    LocatedJson.Fields f = json.fields(findings);
    String name = f.text("name");
    String path = under + "/" + name;
    QuotaShare s =
        new QuotaShare(
            name,
            path,
            (int) f.integer("weight", 1, 1, 1_000_000),
            (int) f.integer("tier", 0, 0, 9),
            (int) f.integer("limit", 0, 0, 1_000_000),
            List.copyOf(f.texts("mappings", false)),
            readAll(f.list("shares", false), path, depth + 1, taken, findings));
    f.reportUnknownFields();
    if (name.contains("/")) findings.add(f.place("name"), "must not hold a slash");
    for (QuotaShare c : s.shares) checkLimit(c, s.limit, f.place("shares"), findings);
    if (!s.shares.isEmpty() && !s.routes.isEmpty())
      findings.add(
          f.place("mappings"), "belong to shares at the leaves; this one has shares below it");
    for (String m : s.routes)
      if (!taken.add(m))
        findings.add(f.place("mappings"), "mapping " + m + " is in two shares of this tenant");
    return s;
  }

  static List<QuotaShare> readAll(
      List<LocatedJson> ds, String under, int depth, Set<String> taken, Findings findings) {
    if (depth > MAX_DEPTH && !ds.isEmpty()) {
      findings.add(ds.get(0).place(), "shares are nested deeper than " + MAX_DEPTH);
      return List.of();
    }
    List<QuotaShare> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (LocatedJson json : ds) {
      QuotaShare share = read(json, under, depth, taken, findings);
      if (!names.add(share.name))
        findings.add(json.place(), "two shares are named " + share.name + " here");
      out.add(share);
    }
    return List.copyOf(out);
  }

  /** A share can't have more than what it is a share of. */
  static void checkLimit(QuotaShare share, int limit, String place, Findings findings) {
    if (limit > 0 && share.limit > limit)
      findings.add(
          place,
          "the limit "
              + share.limit
              + " of "
              + share.path
              + " is above that of the share it is in, "
              + limit);
  }

  /** The leaf below here that takes the route, or null. */
  QuotaShare findLeaf(String route) {
    if (routes.contains(route)) return this;
    for (QuotaShare s : shares) {
      QuotaShare l = s.findLeaf(route);
      if (l != null) return l;
    }
    return null;
  }
}

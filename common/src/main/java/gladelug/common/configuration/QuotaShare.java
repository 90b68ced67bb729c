package gladelug.common.configuration;

import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A node of the quota tree. The root's children are the tenants, and each tenant's shares are below
 * it. Capacity is divided among siblings in proportion to their weights, a lower tier waits for the
 * higher ones, and a limit of 0 means no limit. A request belongs to the leaf that names its route.
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
      LocatedJson json,
      String parentPath,
      int depth,
      Set<String> assignedRoutes,
      Findings findings) {
    LocatedJson.Fields fields = json.fields(findings);
    String name = fields.text("name");
    String path = parentPath + "/" + name;
    QuotaShare share =
        new QuotaShare(
            name,
            path,
            (int) fields.integer("weight", 1, 1, 1_000_000),
            (int) fields.integer("tier", 0, 0, 9),
            (int) fields.integer("limit", 0, 0, 1_000_000),
            List.copyOf(fields.texts("mappings", false)),
            readAll(fields.list("shares", false), path, depth + 1, assignedRoutes, findings));
    fields.reportUnknownFields();
    if (name.contains("/")) findings.add(fields.place("name"), "must not contain a slash");
    for (QuotaShare child : share.shares)
      checkLimit(child, share.limit, fields.place("shares"), findings);
    if (!share.shares.isEmpty() && !share.routes.isEmpty())
      findings.add(
          fields.place("mappings"), "belong to shares at the leaves; this share has children");
    for (String route : share.routes)
      if (!assignedRoutes.add(route))
        findings.add(
            fields.place("mappings"), "mapping " + route + " is in two shares of this tenant");
    return share;
  }

  static List<QuotaShare> readAll(
      List<LocatedJson> nodes,
      String parentPath,
      int depth,
      Set<String> assignedRoutes,
      Findings findings) {
    if (depth > MAX_DEPTH && !nodes.isEmpty()) {
      findings.add(nodes.get(0).place(), "shares are nested deeper than " + MAX_DEPTH);
      return List.of();
    }
    List<QuotaShare> children = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (LocatedJson json : nodes) {
      QuotaShare share = read(json, parentPath, depth, assignedRoutes, findings);
      if (!names.add(share.name))
        findings.add(json.place(), "two shares are named " + share.name + " here");
      children.add(share);
    }
    return List.copyOf(children);
  }

  /** Reports a finding if a share's limit exceeds the limit of its parent. */
  static void checkLimit(QuotaShare share, int parentLimit, String place, Findings findings) {
    if (parentLimit > 0 && share.limit > parentLimit)
      findings.add(
          place,
          "the limit "
              + share.limit
              + " of "
              + share.path
              + " is above that of the share it is in, "
              + parentLimit);
  }

  /** Returns the leaf at or below this node that names the route, or null if there is none. */
  QuotaShare findLeaf(String route) {
    if (routes.contains(route)) return this;
    for (QuotaShare child : shares) {
      QuotaShare found = child.findLeaf(route);
      if (found != null) return found;
    }
    return null;
  }
}

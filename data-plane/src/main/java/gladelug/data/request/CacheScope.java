package gladelug.data.request;

import gladelug.common.configuration.Configuration;

/**
 * Defines which requests share cached prefixes, as a text that is part of every prefix key: the
 * tenant name for an isolated tenant, otherwise a text common to all tenants that share prefixes
 * since the same configuration, or a text of the request's own. Two requests find each other's
 * prefixes only if their scopes are equal, wherever the prefixes are stored, so a tenant that must
 * no longer share needs a different scope; see {@link gladelug.common.configuration.PrefixSharing}.
 */
public final class CacheScope {
  /** Cannot be a tenant name: one protocol rejects slashes, the other rejects line breaks. */
  private static final String SHARED_SINCE = "/shared\n";

  private static final String ONE_REQUEST = "/request\n";

  private CacheScope() {}

  /**
   * Returns the scope of a tenant's requests.
   *
   * @param sharingSince number of the configuration in which prefix sharing last restarted, or 0 if
   *     it never did
   */
  public static String of(Configuration.Tenant tenant, long sharingSince) {
    if (tenant.isolated()) return tenant.name();
    return sharingSince == 0 ? "" : SHARED_SINCE + sharingSince;
  }

  /**
   * Returns a scope that a request shares with no other, not even of its own tenant.
   *
   * @param requestId the id under which this system knows the request
   */
  public static String ofOneRequest(String requestId) {
    return ONE_REQUEST + requestId;
  }

  /** Returns whether tenants share this scope. */
  public static boolean isShared(String scope) {
    return scope.isEmpty() || scope.startsWith(SHARED_SINCE);
  }
}

package gladelug.data.request;

import gladelug.common.configuration.Configuration;

/**
 * Among whom a request shares cached prefixes, as a text that is part of every prefix's key: its
 * tenant alone where that is isolated, else all tenants that share since the same configuration.
 * Two requests find each other's prefixes only if their texts are equal, wherever the prefixes lie,
 * so whoever may not share any more needs another text; see {@link
 * gladelug.common.configuration.PrefixSharing}.
 */
public final class CacheScope {
  /** No tenant has such a name: a slash is refused in one protocol, a line's end in the other. */
  private static final String SHARED_SINCE = "/shared\n";

  private CacheScope() {}

  /**
   * The scope of a tenant's requests.
   *
   * @param sharingSince the number of the configuration with which sharing began anew, or 0
   */
  public static String of(Configuration.Tenant tenant, long sharingSince) {
    if (tenant.isolated()) return tenant.name();
    return sharingSince == 0 ? "" : SHARED_SINCE + sharingSince;
  }

  /** Whether this is the scope of tenants that share. */
  public static boolean isShared(String scope) {
    return scope.isEmpty() || scope.startsWith(SHARED_SINCE);
  }
}

package gladelug.data.relay;

/**
 * Criteria by which replicas are compared. All but SUMMARY exist for comparison in measurements.
 */
public enum ChoiceMode {
  /** By estimated time, using the cached prefixes reported by the Cuckoo Summary. */
  SUMMARY,
  /** By the number of requests at each replica. */
  LEAST_LOAD,
  /** By the number of cached blocks at each replica, regardless of load. */
  HOLDER_ALWAYS
}

package gladelug.data.relay;

/** How replicas are compared. All but SUMMARY are there to be measured against it. */
public enum ChoiceMode {
  /** By estimated ms, with what the Cuckoo Summary tells of kept prefixes. */
  SUMMARY,
  /** By the number of requests that each has. */
  LEAST_LOAD,
  /** By the number of blocks that each keeps, whatever it has to do. */
  HOLDER_ALWAYS
}

package gladelug.emulator.history;

/**
 * A compare-and-set of the versioned register. However often it is sent, it remains the same
 * change.
 *
 * @param id the value, different from that of any other change
 * @param baseVersion the version it replaces; it takes effect only while this version is current
 * @param version the version it creates, above baseVersion; two changes may name the same
 */
public record Change(String id, long baseVersion, long version) {
  public Change {
    if (version <= baseVersion)
      throw new IllegalArgumentException(
          id + " creates version " + version + ", which is not above " + baseVersion);
  }
}

package gladelug.emulator.check;

/**
 * Mixes numbers into 64-bit digests and reproducible random choices, by the finalizer of
 * SplitMix64.
 */
final class HashMixer {
  private HashMixer() {}

  static long mix(long a, long b) {
    long hash = a * 0x9E3779B97F4A7C15L + b + 0x632BE59BD9B4E019L;
    hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
    return hash ^ hash >>> 31;
  }
}

package gladelug.emulator;

/** Counts prefix blocks over runs by where they came from. */
final class PrefixBlocks {
  long all;
  long reused;
  long fetched;
  long computed;
  long wrongHints;

  /** Adds the blocks of one run. */
  void add(Ledger.Run run) {
    all += run.blocks;
    reused += run.reused;
    fetched += run.fetched;
    computed += run.computed;
    wrongHints += run.wrongHints;
  }

  /** Returns a share of all blocks in percent; 0 if there are none. */
  double percent(long part) {
    return 100.0 * part / Math.max(1, all);
  }
}

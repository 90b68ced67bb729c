package gladelug.data.index;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The Cuckoo Summary of the HDS paper: a (2, 4) partial-key cuckoo table whose entries combine a
 * fingerprint of the block with the id of the holder. A block's buckets are x = h(block) and y = x
 * xor h(fingerprint). An insert takes a free slot of x, else of y, else displaces random entries up
 * to 300 times; a removal takes out one copy of exactly this fingerprint and holder; a lookup reads
 * both buckets and returns every holder that matches.
 *
 * <p>One addition to the paper is the overflow, which holds what the table cannot place: normally
 * only the ninth and later copies of a block that more than 2b = 8 holders keep. A lookup reads the
 * overflow only when it is not empty. A holder's id takes as many bits as the maximum number of
 * holders needs, up to 10. A lookup sets one bit per holder in a reusable long[], or in a single
 * long for at most 64 holders.
 */
public final class CuckooSummary {
  /** The slots per bucket and the maximum number of displacements per insert, as in the paper. */
  public static final int BUCKET_SLOTS = 4, MAX_DISPLACEMENTS = 300;

  /** The default maximum number of holders, and the largest one supported. */
  public static final int DEFAULT_MAX_HOLDERS = 64, MAX_HOLDERS = 1024;

  /**
   * The copies in the overflow of one fingerprint in one pair of buckets: one bit per holder,
   * further copies of the same holder in a separate array.
   */
  private static final class OverflowCopies {
    final long[] holderBitset;
    int count;
    int[] repeatedHolders = {};

    OverflowCopies(int wordCount) {
      holderBitset = new long[wordCount];
    }

    boolean contains(int holder) {
      return (holderBitset[holder >> 6] & 1L << holder) != 0;
    }

    void add(int holder) {
      count++;
      if (contains(holder)) {
        repeatedHolders = Arrays.copyOf(repeatedHolders, repeatedHolders.length + 1);
        repeatedHolders[repeatedHolders.length - 1] = holder;
      } else holderBitset[holder >> 6] |= 1L << holder;
    }

    boolean remove(int holder) {
      if (!contains(holder)) return false;
      count--;
      for (int i = 0; i < repeatedHolders.length; i++)
        if (repeatedHolders[i] == holder) {
          repeatedHolders[i] = repeatedHolders[repeatedHolders.length - 1];
          repeatedHolders = Arrays.copyOf(repeatedHolders, repeatedHolders.length - 1);
          return true;
        }
      holderBitset[holder >> 6] &= ~(1L << holder);
      return true;
    }

    int firstHolder() {
      int word = 0;
      while (holderBitset[word] == 0) word++;
      return word << 6 | Long.numberOfTrailingZeros(holderBitset[word]);
    }
  }

  /** Slots per bucket, b in the paper: 4; other values only serve comparisons. */
  private final int slotsPerBucket;

  private final int fingerprintWidth;
  private final int fingerprintMask;
  private final int bucketMask;
  private final int[] slots;
  private final SplittableRandom random;
  private final int bitsetWords;
  private final int holderCapacity;
  private final Map<Long, OverflowCopies> overflow = new HashMap<>();

  /**
   * The keys of the overflow by each of their two buckets, to move entries back when a slot of the
   * bucket becomes free.
   */
  private final Map<Integer, List<Long>> overflowByBucket = new HashMap<>();

  /** The value of unplacedEntries when the overflow was last examined and found in order. */
  private int unplacedEntriesWhenChecked = -1;

  private int tableEntries;
  private int overflowEntries;
  private int excessCopies;
  private int unplacedEntries;
  private long displacements;

  /**
   * Creates a table for this many entries at less than 90% occupancy. The number of buckets is a
   * power of two because the second bucket is found by xor.
   */
  public CuckooSummary(long entries, int fingerprintBits, long seed) {
    this(entries, fingerprintBits, BUCKET_SLOTS, seed);
  }

  public CuckooSummary(long entries, int fingerprintBits, int bucketSlots, long seed) {
    this(entries, fingerprintBits, bucketSlots, DEFAULT_MAX_HOLDERS, seed);
  }

  /**
   * Creates a table.
   *
   * @param entries maximum number of entries of all holders together
   * @param fingerprintBits width of a fingerprint, f in the paper; together with the bits of a
   *     holder's id at most 31
   * @param bucketSlots slots per bucket, b in the paper
   * @param maxHolders holder ids are 0 to maxHolders - 1; at most {@link #MAX_HOLDERS}
   * @param seed seed of the random displacements
   */
  public CuckooSummary(
      long entries, int fingerprintBits, int bucketSlots, int maxHolders, long seed) {
    if (maxHolders < 1 || maxHolders > MAX_HOLDERS)
      throw new IllegalArgumentException("cannot index " + maxHolders + " holders");
    if (fingerprintBits < 4 || fingerprintBits > 31 - holderBits(maxHolders))
      throw new IllegalArgumentException(
          "a fingerprint of "
              + fingerprintBits
              + " bits is not supported with "
              + maxHolders
              + " holders");
    holderCapacity = maxHolders;
    bitsetWords = maxHolders + 63 >>> 6;
    slotsPerBucket = bucketSlots;
    long wantedBuckets = Math.max(4, (long) Math.ceil(entries * 1.1 / slotsPerBucket));
    int buckets = 2;
    while (buckets < wantedBuckets && buckets < 1 << 27) buckets <<= 1;
    if (buckets * (long) slotsPerBucket * 9 / 10 < entries) buckets <<= 1;
    fingerprintWidth = fingerprintBits;
    fingerprintMask = (1 << fingerprintWidth) - 1;
    bucketMask = buckets - 1;
    slots = new int[buckets * slotsPerBucket];
    random = new SplittableRandom(seed);
  }

  /** Returns the number of bits that the ids of this many holders take. */
  public static int holderBits(int maxHolders) {
    return Math.max(1, 32 - Integer.numberOfLeadingZeros(maxHolders - 1));
  }

  /** Returns the length in longs of the bitset that a lookup fills: one for each 64 holders. */
  public int bitsetWords() {
    return bitsetWords;
  }

  /**
   * Returns the fingerprint width that the paper gives for a false positive rate: at least log2(2b
   * / rate).
   */
  public static int fingerprintBits(double falsePositiveRate) {
    return (int) Math.ceil(Math.log(2 * BUCKET_SLOTS / falsePositiveRate) / Math.log(2));
  }

  /** Mixes the bits of a 64-bit value (the finalizer of SplitMix64). */
  static long mix(long z) {
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  private int fingerprint(long block) {
    int value = (int) (mix(block) >>> 40) & fingerprintMask;
    return value == 0 ? 1 : value;
  }

  private int firstBucket(long block) {
    return (int) mix(block ^ 0x9e3779b97f4a7c15L) & bucketMask;
  }

  /** Returns h(fingerprint), never 0, so that the two buckets of an entry differ. */
  private int bucketOffset(int fingerprint) {
    int offset = (int) mix(fingerprint * 0x632be59bd9b4e019L) & bucketMask;
    return offset == 0 ? 1 : offset;
  }

  private boolean putInBucket(int bucket, int entry) {
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++)
      if (slots[slot] == 0) {
        slots[slot] = entry;
        tableEntries++;
        return true;
      }
    return false;
  }

  private boolean isFilledWith(int bucket, int fingerprint) {
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++)
      if ((slots[slot] & fingerprintMask) != fingerprint) return false;
    return true;
  }

  /** Inserts an entry, also if an equal one is present. */
  public void insert(long block, int holder) {
    int fingerprint = fingerprint(block),
        first = firstBucket(block),
        second = first ^ bucketOffset(fingerprint),
        entry = holder << fingerprintWidth | fingerprint;
    if (putInBucket(first, entry) || putInBucket(second, entry)) return;
    if (isFilledWith(first, fingerprint) && isFilledWith(second, fingerprint)) {
      excessCopies++;
      addToOverflow(first, entry);
      return;
    }
    int bucket = random.nextBoolean() ? first : second;
    for (int displacement = 0; displacement < MAX_DISPLACEMENTS; displacement++) {
      int slot = bucket * slotsPerBucket + random.nextInt(slotsPerBucket);
      int displaced = slots[slot];
      slots[slot] = entry;
      entry = displaced;
      displacements++;
      bucket ^= bucketOffset(entry & fingerprintMask);
      if (putInBucket(bucket, entry)) return;
    }
    int fingerprintLeft = entry & fingerprintMask;
    if (isFilledWith(bucket, fingerprintLeft)
        && isFilledWith(bucket ^ bucketOffset(fingerprintLeft), fingerprintLeft)) excessCopies++;
    else unplacedEntries++;
    addToOverflow(bucket, entry);
  }

  private long overflowKey(int bucket, int fingerprint) {
    int other = bucket ^ bucketOffset(fingerprint);
    return (long) Math.min(bucket, other) << 32 | fingerprint;
  }

  private void addToOverflow(int bucket, int entry) {
    long key = overflowKey(bucket, entry & fingerprintMask);
    overflow
        .computeIfAbsent(
            key,
            newKey -> {
              int lowBucket = (int) (newKey >>> 32);
              overflowByBucket
                  .computeIfAbsent(lowBucket, bucketIndex -> new ArrayList<>(2))
                  .add(newKey);
              overflowByBucket
                  .computeIfAbsent(
                      lowBucket ^ bucketOffset(entry & fingerprintMask),
                      bucketIndex -> new ArrayList<>(2))
                  .add(newKey);
              return new OverflowCopies(bitsetWords);
            })
        .add(entry >>> fingerprintWidth);
    overflowEntries++;
  }

  private void unindexOverflow(long key) {
    int lowBucket = (int) (key >>> 32);
    unindexOverflow(lowBucket, key);
    unindexOverflow(lowBucket ^ bucketOffset((int) (key & fingerprintMask)), key);
  }

  private void unindexOverflow(int bucket, Long key) {
    List<Long> keys = overflowByBucket.get(bucket);
    keys.remove(key);
    if (keys.isEmpty()) overflowByBucket.remove(bucket);
  }

  /**
   * Returns whether the block's buckets or the overflow hold an entry of this fingerprint and
   * holder. Two blocks of one holder with equal fingerprint and buckets cannot be told apart.
   */
  public boolean contains(long block, int holder) {
    int fingerprint = fingerprint(block),
        first = firstBucket(block),
        second = first ^ bucketOffset(fingerprint),
        entry = holder << fingerprintWidth | fingerprint;
    if (bucketContains(first, entry) || bucketContains(second, entry)) return true;
    OverflowCopies copies =
        overflowEntries > 0 ? overflow.get(overflowKey(first, fingerprint)) : null;
    return copies != null && copies.contains(holder);
  }

  private boolean bucketContains(int bucket, int entry) {
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++)
      if (slots[slot] == entry) return true;
    return false;
  }

  /**
   * Returns whether two blocks have the same fingerprint and buckets, so that entries of one holder
   * cannot be told apart.
   */
  boolean indistinguishable(long blockA, long blockB) {
    int fingerprint = fingerprint(blockA);
    return fingerprint == fingerprint(blockB)
        && overflowKey(firstBucket(blockA), fingerprint)
            == overflowKey(firstBucket(blockB), fingerprint);
  }

  /** Inserts an entry unless {@link #contains} finds it; returns whether it was inserted. */
  public boolean insertOnce(long block, int holder) {
    if (contains(block, holder)) return false;
    insert(block, holder);
    return true;
  }

  /** Removes one copy of exactly this entry; returns false if there is none. */
  public boolean remove(long block, int holder) {
    int fingerprint = fingerprint(block),
        first = firstBucket(block),
        second = first ^ bucketOffset(fingerprint),
        entry = holder << fingerprintWidth | fingerprint;
    if (removeFromBucket(first, entry) || removeFromBucket(second, entry)) {
      if (overflowEntries > 0) moveBack(first, second, fingerprint);
      return true;
    }
    return overflowEntries > 0 && removeFromOverflow(overflowKey(first, fingerprint), holder);
  }

  private boolean removeFromBucket(int bucket, int entry) {
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++)
      if (slots[slot] == entry) {
        slots[slot] = 0;
        tableEntries--;
        return true;
      }
    return false;
  }

  private boolean removeFromOverflow(long key, int holder) {
    OverflowCopies copies = overflow.get(key);
    if (copies == null || !copies.remove(holder)) return false;
    overflowEntries--;
    if (copies.count == 0) {
      overflow.remove(key);
      unindexOverflow(key);
    }
    return true;
  }

  /**
   * Moves an entry of the overflow into the table after a slot of one of these buckets became free.
   */
  private void moveBack(int first, int second, int fingerprint) {
    if (moveBack(overflowKey(first, fingerprint)) || moveBack(first) || moveBack(second)) return;
    if (overflow.isEmpty()) unplacedEntries = 0;
  }

  private boolean moveBack(int bucket) {
    List<Long> keys = overflowByBucket.get(bucket);
    if (keys != null) for (Long key : keys) if (moveBack((long) key)) return true;
    return false;
  }

  private boolean moveBack(long key) {
    OverflowCopies copies = overflow.get(key);
    if (copies == null) return false;
    int fingerprint = (int) (key & fingerprintMask),
        lowBucket = (int) (key >>> 32),
        holder = copies.firstHolder(),
        entry = holder << fingerprintWidth | fingerprint;
    if (!putInBucket(lowBucket, entry)
        && !putInBucket(lowBucket ^ bucketOffset(fingerprint), entry)) return false;
    removeFromOverflow(key, holder);
    return true;
  }

  /** Returns every holder with a matching entry, one bit each; only for at most 64 holders. */
  public long lookup(long block) {
    if (bitsetWords > 1)
      throw new IllegalStateException(
          "a single long cannot represent " + holderCapacity + " holders");
    int fingerprint = fingerprint(block),
        first = firstBucket(block),
        second = first ^ bucketOffset(fingerprint);
    long holders = matchBucket(first, fingerprint) | matchBucket(second, fingerprint);
    if (overflowEntries > 0) {
      OverflowCopies copies = overflow.get(overflowKey(first, fingerprint));
      if (copies != null) holders |= copies.holderBitset[0];
    }
    return holders;
  }

  private long matchBucket(int bucket, int fingerprint) {
    long holders = 0;
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++) {
      int entry = slots[slot];
      if ((entry & fingerprintMask) == fingerprint) holders |= 1L << (entry >>> fingerprintWidth);
    }
    return holders;
  }

  /**
   * Finds every holder with a matching entry.
   *
   * @param found array of {@link #bitsetWords()} longs, overwritten: bit h &amp; 63 of word h
   *     &gt;&gt; 6 stands for holder h
   * @return whether any holder matches
   */
  public boolean lookup(long block, long[] found) {
    if (bitsetWords == 1) return (found[0] = lookup(block)) != 0;
    int fingerprint = fingerprint(block),
        first = firstBucket(block),
        second = first ^ bucketOffset(fingerprint);
    Arrays.fill(found, 0, bitsetWords, 0);
    boolean any = matchBucket(first, fingerprint, found);
    any |= matchBucket(second, fingerprint, found);
    if (overflowEntries > 0) {
      OverflowCopies copies = overflow.get(overflowKey(first, fingerprint));
      if (copies != null) {
        any = true;
        for (int word = 0; word < bitsetWords; word++) found[word] |= copies.holderBitset[word];
      }
    }
    return any;
  }

  private boolean matchBucket(int bucket, int fingerprint, long[] found) {
    boolean any = false;
    int start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++) {
      int entry = slots[slot];
      if ((entry & fingerprintMask) != fingerprint) continue;
      found[entry >>> fingerprintWidth + 6] |= 1L << (entry >>> fingerprintWidth);
      any = true;
    }
    return any;
  }

  /** Removes all entries of a holder. */
  public void clear(int holder) {
    for (int slot = 0; slot < slots.length; slot++)
      if (slots[slot] != 0 && slots[slot] >>> fingerprintWidth == holder) {
        slots[slot] = 0;
        tableEntries--;
      }
    for (Long key : overflow.keySet().toArray(new Long[0]))
      while (removeFromOverflow(key, holder)) {
        // removes every copy
      }
    for (Long key : overflow.keySet().toArray(new Long[0]))
      while (moveBack(key)) {
        // continues while a slot is free
      }
    if (overflow.isEmpty()) unplacedEntries = 0;
  }

  /** Returns the number of entries in the table and the overflow. */
  public int size() {
    return tableEntries + overflowEntries;
  }

  /** Returns the number of entries in the overflow. */
  public int overflowEntries() {
    return overflowEntries;
  }

  /**
   * Returns how many entries ever went to the overflow because both buckets held only copies of
   * their fingerprint.
   */
  public int excessCopies() {
    return excessCopies;
  }

  /**
   * Returns how many entries went to the overflow after 300 displacements since the overflow was
   * last empty.
   */
  public int unplacedEntries() {
    return unplacedEntries;
  }

  /** Returns the number of displacements of all inserts. */
  public long displacements() {
    return displacements;
  }

  /** Returns the number of slots of the table. */
  public int capacity() {
    return slots.length;
  }

  /** Returns the used share of the table's slots, from 0 to 1. */
  public double occupancy() {
    return (double) tableEntries / slots.length;
  }

  /**
   * Counts the entries in the overflow that a larger table would hold: for each fingerprint and
   * pair of buckets, as many as its copies in the buckets fall short of 2b. Copies beyond 2b fit
   * into no table and are not counted.
   */
  public int strayCount() {
    int strays = 0;
    for (Map.Entry<Long, OverflowCopies> entry : overflow.entrySet()) {
      int fingerprint = (int) (entry.getKey() & fingerprintMask),
          lowBucket = (int) (entry.getKey() >>> 32);
      strays +=
          Math.min(
              entry.getValue().count,
              2 * slotsPerBucket
                  - countInBucket(lowBucket, fingerprint)
                  - countInBucket(lowBucket ^ bucketOffset(fingerprint), fingerprint));
    }
    return strays;
  }

  private int countInBucket(int bucket, int fingerprint) {
    int count = 0, start = bucket * slotsPerBucket;
    for (int slot = start; slot < start + slotsPerBucket; slot++)
      if ((slots[slot] & fingerprintMask) == fingerprint) count++;
    return count;
  }

  /**
   * Returns whether the table counts as full, as the paper's table does after 300 displacements, so
   * that a larger one is needed. The overflow is only examined if entries failed to be placed since
   * the last examination found it in order.
   */
  public boolean isFull() {
    if (unplacedEntries <= 64 || unplacedEntries == unplacedEntriesWhenChecked) return false;
    if (strayCount() > Math.max(64, slots.length / 64)) return true;
    unplacedEntriesWhenChecked = unplacedEntries;
    return false;
  }
}

package gladelug.data.index;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Cuckoo Summary from the HDS paper: a (2, 4) partial-key cuckoo table whose entries join a
 * fingerprint to the id of the holder. A block's buckets are x = h(block) and y = x xor
 * h(fingerprint); an insert takes a free slot of x, else of y, else displaces at random up to 300
 * times; a removal takes out one copy of exactly fingerprint and holder; a lookup reads both
 * buckets and gives every holder that matches. The one exception of ours is the overflow: what the
 * table can't place, which on an ordinary day is only the ninth and later copies of a block that
 * more than 2b = 8 holders keep. A lookup reads it only when it holds something. The holder's id
 * takes as many bits as the most holders need, up to 10; a lookup gives a bit a holder in a
 * reusable long[], or in one long where there are at most 64.
 */
public final class CuckooSummary {
  public static final int BUCKET_SLOTS = 4, MAX_DISPLACEMENTS = 300;

  /** Holders where nothing else is said, and the most there may be. */
  public static final int DEFAULT_MAX_HOLDERS = 64, MAX_HOLDERS = 1024;

  /**
   * The overflow's copies of one fingerprint in one pair of buckets: a bit a holder, further copies
   * beside.
   */
  private static final class OverflowCopies {
    final long[] holderBitset;
    int count;
    int[] repeatedHolders = {};

    OverflowCopies(int words) {
      holderBitset = new long[words];
    }

    boolean contains(int h) {
      return (holderBitset[h >> 6] & 1L << h) != 0;
    }

    void add(int h) {
      count++;
      if (contains(h)) {
        repeatedHolders = Arrays.copyOf(repeatedHolders, repeatedHolders.length + 1);
        repeatedHolders[repeatedHolders.length - 1] = h;
      } else holderBitset[h >> 6] |= 1L << h;
    }

    boolean remove(int h) {
      if (!contains(h)) return false;
      count--;
      for (int i = 0; i < repeatedHolders.length; i++)
        if (repeatedHolders[i] == h) {
          repeatedHolders[i] = repeatedHolders[repeatedHolders.length - 1];
          repeatedHolders = Arrays.copyOf(repeatedHolders, repeatedHolders.length - 1);
          return true;
        }
      holderBitset[h >> 6] &= ~(1L << h);
      return true;
    }

    int firstHolder() {
      int w = 0;
      while (holderBitset[w] == 0) w++;
      return w << 6 | Long.numberOfTrailingZeros(holderBitset[w]);
    }
  }

  /** b, slots a bucket: 4 as in the paper; others only to be measured against it. */
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
   * The overflow's keys by each of their two buckets, to be moved back when a slot there comes
   * free.
   */
  private final Map<Integer, List<Long>> overflowByBucket = new HashMap<>();

  private int unplacedEntriesWhenChecked = -1;
  private int tableEntries;
  private int overflowEntries;
  private int excessCopies;
  private int unplacedEntries;
  private long displacements;

  /**
   * Room for this many entries at under 90% occupancy; the bucket count is a power of two because
   * of the xor.
   */
  public CuckooSummary(long entries, int fingerprintBits, long seed) {
    this(entries, fingerprintBits, BUCKET_SLOTS, seed);
  }

  public CuckooSummary(long entries, int fingerprintBits, int bucketSlots, long seed) {
    this(entries, fingerprintBits, bucketSlots, DEFAULT_MAX_HOLDERS, seed);
  }

  /**
   * @param entries the most entries, of all holders together
   * @param fingerprintBits f; with the holder's bits at most 31
   * @param bucketSlots b
   * @param mostHolders holders' ids are 0 to mostHolders - 1; at most {@link #MAX_HOLDERS}
   * @param seed of the displacements
   */
  public CuckooSummary(
      long entries, int fingerprintBits, int bucketSlots, int mostHolders, long seed) {
    if (mostHolders < 1 || mostHolders > MAX_HOLDERS)
      throw new IllegalArgumentException("room for " + mostHolders + " holders");
    if (fingerprintBits < 4 || fingerprintBits > 31 - holderBits(mostHolders))
      throw new IllegalArgumentException(
          "fingerprint of " + fingerprintBits + " bits for " + mostHolders + " holders");
    holderCapacity = mostHolders;
    bitsetWords = mostHolders + 63 >>> 6;
    slotsPerBucket = bucketSlots;
    long want = Math.max(4, (long) Math.ceil(entries * 1.1 / slotsPerBucket));
    int buckets = 2;
    while (buckets < want && buckets < 1 << 27) buckets <<= 1;
    if (buckets * (long) slotsPerBucket * 9 / 10 < entries) buckets <<= 1;
    fingerprintWidth = fingerprintBits;
    fingerprintMask = (1 << fingerprintWidth) - 1;
    bucketMask = buckets - 1;
    slots = new int[buckets * slotsPerBucket];
    random = new SplittableRandom(seed);
  }

  /** How many bits the ids of so many holders take. */
  public static int holderBits(int mostHolders) {
    return Math.max(1, 32 - Integer.numberOfLeadingZeros(mostHolders - 1));
  }

  /** Words of the bitset that a lookup fills: one for each 64 holders. */
  public int bitsetWords() {
    return bitsetWords;
  }

  /** The paper's f for a wished rate of false positives: at least log2(2b / rate). */
  public static int fingerprintBits(double rate) {
    return (int) Math.ceil(Math.log(2 * BUCKET_SLOTS / rate) / Math.log(2));
  }

  static long mix(long z) {
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  private int fingerprint(long block) {
    int v = (int) (mix(block) >>> 40) & fingerprintMask;
    return v == 0 ? 1 : v;
  }

  private int firstBucket(long block) {
    return (int) mix(block ^ 0x9e3779b97f4a7c15L) & bucketMask;
  }

  /** h(fingerprint), never 0 so that the two buckets differ. */
  private int bucketOffset(int fp) {
    int v = (int) mix(fp * 0x632be59bd9b4e019L) & bucketMask;
    return v == 0 ? 1 : v;
  }

  private boolean putInBucket(int bucket, int entry) {
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++)
      if (slots[i] == 0) {
        slots[i] = entry;
        tableEntries++;
        return true;
      }
    return false;
  }

  private boolean isFilledWith(int bucket, int fp) {
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++)
      if ((slots[i] & fingerprintMask) != fp) return false;
    return true;
  }

  public void insert(long block, int holder) {
    int fp = fingerprint(block),
        x = firstBucket(block),
        y = x ^ bucketOffset(fp),
        entry = holder << fingerprintWidth | fp;
    if (putInBucket(x, entry) || putInBucket(y, entry)) return;
    if (isFilledWith(x, fp) && isFilledWith(y, fp)) {
      excessCopies++;
      addToOverflow(x, entry);
      return;
    }
    int i = random.nextBoolean() ? x : y;
    for (int j = 0; j < MAX_DISPLACEMENTS; j++) {
      int s = i * slotsPerBucket + random.nextInt(slotsPerBucket);
      int out = slots[s];
      slots[s] = entry;
      entry = out;
      displacements++;
      i ^= bucketOffset(entry & fingerprintMask);
      if (putInBucket(i, entry)) return;
    }
    int e = entry & fingerprintMask;
    if (isFilledWith(i, e) && isFilledWith(i ^ bucketOffset(e), e)) excessCopies++;
    else unplacedEntries++;
    addToOverflow(i, entry);
  }

  private long overflowKey(int bucket, int fp) {
    int o = bucket ^ bucketOffset(fp);
    return (long) Math.min(bucket, o) << 32 | fp;
  }

  private void addToOverflow(int bucket, int entry) {
    long key = overflowKey(bucket, entry & fingerprintMask);
    overflow
        .computeIfAbsent(
            key,
            k -> {
              int lo = (int) (k >>> 32);
              overflowByBucket.computeIfAbsent(lo, x -> new ArrayList<>(2)).add(k);
              overflowByBucket
                  .computeIfAbsent(
                      lo ^ bucketOffset(entry & fingerprintMask), x -> new ArrayList<>(2))
                  .add(k);
              return new OverflowCopies(bitsetWords);
            })
        .add(entry >>> fingerprintWidth);
    overflowEntries++;
  }

  private void unindexOverflow(long key) {
    int lo = (int) (key >>> 32);
    unindexOverflow(lo, key);
    unindexOverflow(lo ^ bucketOffset((int) (key & fingerprintMask)), key);
  }

  private void unindexOverflow(int bucket, Long key) {
    List<Long> l = overflowByBucket.get(bucket);
    l.remove(key);
    if (l.isEmpty()) overflowByBucket.remove(bucket);
  }

  /**
   * Whether an entry of this fingerprint and holder stands in the block's buckets or the overflow.
   * Two blocks of one holder with equal fingerprint and buckets can't be told apart.
   */
  public boolean contains(long block, int holder) {
    int fp = fingerprint(block),
        x = firstBucket(block),
        y = x ^ bucketOffset(fp),
        entry = holder << fingerprintWidth | fp;
    if (bucketContains(x, entry) || bucketContains(y, entry)) return true;
    OverflowCopies n = overflowEntries > 0 ? overflow.get(overflowKey(x, fp)) : null;
    return n != null && n.contains(holder);
  }

  private boolean bucketContains(int bucket, int entry) {
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++) if (slots[i] == entry) return true;
    return false;
  }

  /**
   * Whether two blocks have the same fingerprint and buckets, so that entries of one holder can't
   * be told apart.
   */
  boolean indistinguishable(long a, long b) {
    int fp = fingerprint(a);
    return fp == fingerprint(b)
        && overflowKey(firstBucket(a), fp) == overflowKey(firstBucket(b), fp);
  }

  /** Inserts unless {@link #contains} already; false where nothing was done. */
  public boolean insertOnce(long block, int holder) {
    if (contains(block, holder)) return false;
    insert(block, holder);
    return true;
  }

  /** Takes out one copy of exactly this entry; false where there is none. */
  public boolean remove(long block, int holder) {
    int fp = fingerprint(block),
        x = firstBucket(block),
        y = x ^ bucketOffset(fp),
        entry = holder << fingerprintWidth | fp;
    if (removeFromBucket(x, entry) || removeFromBucket(y, entry)) {
      if (overflowEntries > 0) moveBack(x, y, fp);
      return true;
    }
    return overflowEntries > 0 && removeFromOverflow(overflowKey(x, fp), holder);
  }

  private boolean removeFromBucket(int bucket, int entry) {
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++)
      if (slots[i] == entry) {
        slots[i] = 0;
        tableEntries--;
        return true;
      }
    return false;
  }

  private boolean removeFromOverflow(long key, int holder) {
    OverflowCopies n = overflow.get(key);
    if (n == null || !n.remove(holder)) return false;
    overflowEntries--;
    if (n.count == 0) {
      overflow.remove(key);
      unindexOverflow(key);
    }
    return true;
  }

  /** A slot came free in x or y: an entry of the overflow that may stand there moves in. */
  private void moveBack(int x, int y, int fp) {
    if (moveBack(overflowKey(x, fp)) || moveBack(x) || moveBack(y)) return;
    if (overflow.isEmpty()) unplacedEntries = 0;
  }

  private boolean moveBack(int bucket) {
    List<Long> keys = overflowByBucket.get(bucket);
    if (keys != null) for (Long k : keys) if (moveBack((long) k)) return true;
    return false;
  }

  private boolean moveBack(long key) {
    OverflowCopies n = overflow.get(key);
    if (n == null) return false;
    int fp = (int) (key & fingerprintMask),
        lo = (int) (key >>> 32),
        h = n.firstHolder(),
        e = h << fingerprintWidth | fp;
    if (!putInBucket(lo, e) && !putInBucket(lo ^ bucketOffset(fp), e)) return false;
    removeFromOverflow(key, h);
    return true;
  }

  /** Every holder with a matching entry, a bit each; only where there are at most 64 holders. */
  public long lookup(long block) {
    if (bitsetWords > 1)
      throw new IllegalStateException("one word doesn't hold " + holderCapacity + " holders");
    int fp = fingerprint(block), x = firstBucket(block), y = x ^ bucketOffset(fp);
    long m = matchBucket(x, fp) | matchBucket(y, fp);
    if (overflowEntries > 0) {
      OverflowCopies n = overflow.get(overflowKey(x, fp));
      if (n != null) m |= n.holderBitset[0];
    }
    return m;
  }

  private long matchBucket(int bucket, int fp) {
    long m = 0;
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++) {
      int e = slots[i];
      if ((e & fingerprintMask) == fp) m |= 1L << (e >>> fingerprintWidth);
    }
    return m;
  }

  /**
   * Every holder with a matching entry.
   *
   * @param into {@link #bitsetWords()} long, overwritten: bit h & 63 of word h >> 6 is holder h's
   * @return whether there is any
   */
  public boolean lookup(long block, long[] into) {
    if (bitsetWords == 1) return (into[0] = lookup(block)) != 0;
    int fp = fingerprint(block), x = firstBucket(block), y = x ^ bucketOffset(fp);
    Arrays.fill(into, 0, bitsetWords, 0);
    boolean any = matchBucket(x, fp, into);
    any |= matchBucket(y, fp, into);
    if (overflowEntries > 0) {
      OverflowCopies n = overflow.get(overflowKey(x, fp));
      if (n != null) {
        any = true;
        for (int w = 0; w < bitsetWords; w++) into[w] |= n.holderBitset[w];
      }
    }
    return any;
  }

  private boolean matchBucket(int bucket, int fp, long[] into) {
    boolean any = false;
    int at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++) {
      int e = slots[i];
      if ((e & fingerprintMask) != fp) continue;
      into[e >>> fingerprintWidth + 6] |= 1L << (e >>> fingerprintWidth);
      any = true;
    }
    return any;
  }

  /** Takes out all of one holder's entries. */
  public void clear(int holder) {
    for (int i = 0; i < slots.length; i++)
      if (slots[i] != 0 && slots[i] >>> fingerprintWidth == holder) {
        slots[i] = 0;
        tableEntries--;
      }
    for (Long k : overflow.keySet().toArray(new Long[0]))
      while (removeFromOverflow(k, holder)) {
        // every copy
      }
    for (Long k : overflow.keySet().toArray(new Long[0]))
      while (moveBack(k)) {
        // as long as there is room
      }
    if (overflow.isEmpty()) unplacedEntries = 0;
  }

  public int size() {
    return tableEntries + overflowEntries;
  }

  public int overflowEntries() {
    return overflowEntries;
  }

  /**
   * Of what ever went to the overflow: further copies of one fingerprint, and entries given up
   * after 300 displacements.
   */
  public int excessCopies() {
    return excessCopies;
  }

  public int unplacedEntries() {
    return unplacedEntries;
  }

  public long displacements() {
    return displacements;
  }

  public int capacity() {
    return slots.length;
  }

  public double occupancy() {
    return (double) tableEntries / slots.length;
  }

  /**
   * Entries in the overflow now that a larger table would hold: of each fingerprint and pair of
   * buckets, as many as are missing to 2b in the buckets. What goes beyond 2b has no place in any
   * table and doesn't count.
   */
  public int strayCount() {
    int n = 0;
    for (Map.Entry<Long, OverflowCopies> e : overflow.entrySet()) {
      int fp = (int) (e.getKey() & fingerprintMask), lo = (int) (e.getKey() >>> 32);
      n +=
          Math.min(
              e.getValue().count,
              2 * slotsPerBucket
                  - countInBucket(lo, fp)
                  - countInBucket(lo ^ bucketOffset(fp), fp));
    }
    return n;
  }

  private int countInBucket(int bucket, int fp) {
    int n = 0, at = bucket * slotsPerBucket;
    for (int i = at; i < at + slotsPerBucket; i++) if ((slots[i] & fingerprintMask) == fp) n++;
    return n;
  }

  /**
   * Past this the table counts as full, as the paper's does after 300 displacements, and a larger
   * one is due. The overflow is looked through only when entries were given up since it was last
   * found in order.
   */
  public boolean isFull() {
    if (unplacedEntries <= 64 || unplacedEntries == unplacedEntriesWhenChecked) return false;
    if (strayCount() > Math.max(64, slots.length / 64)) return true;
    unplacedEntriesWhenChecked = unplacedEntries;
    return false;
  }
}

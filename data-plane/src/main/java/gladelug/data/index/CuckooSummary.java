/*
 * Cuckoo Summary from the HDS paper: a (2, 4) partial-key cuckoo table whose entries join a
 * fingerprint to the id of the holder. A block's buckets are x = h(block) and y = x xor
 * h(fingerprint); an insert takes a free slot of x, else of y, else displaces at random up to 300
 * times; a removal takes out one copy of exactly fingerprint and holder; a lookup reads both
 * buckets and gives every holder that matches. The one exception of ours is the overflow: what
 * the table can't place, which on an ordinary day is only the ninth and later copies of a block
 * that more than 2b = 8 holders keep. A lookup reads it only when it holds something.
 */
package gladelug.data.index;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

public final class CuckooSummary {
    public static final int SLOTS = 4, DISPLACEMENTS = 300, HOLDER_BITS = 6, HOLDERS = 1 << HOLDER_BITS;

    /** b, slots a bucket: 4 as in the paper; others only to be measured against it. */
    private final int b;
    private final int f;
    private final int fpMask;
    private final int mask;
    private final int[] slots;
    private final SplittableRandom random;
    private final int overflowBound;
    private final Map<Long, long[]> overflow = new HashMap<>();
    private int size;
    private int overflowed;
    private int copies;
    private int displacedOut;
    private long displacements;

    /** Room for this many entries at under 90% occupancy; the bucket count is a power of two because of the xor. */
    public CuckooSummary(long entries, int fingerprintBits, long seed) {
        this(entries, fingerprintBits, SLOTS, seed);
    }

    public CuckooSummary(long entries, int fingerprintBits, int bucketSlots, long seed) {
        if (fingerprintBits < 4 || fingerprintBits > 31 - HOLDER_BITS)
            throw new IllegalArgumentException("fingerprint of " + fingerprintBits + " bits");
        b = bucketSlots;
        long want = Math.max(4, (long) Math.ceil(entries * 1.1 / b));
        int buckets = 2;
        while (buckets < want && buckets < 1 << 27) buckets <<= 1;
        if (buckets * (long) b * 9 / 10 < entries) buckets <<= 1;
        f = fingerprintBits;
        fpMask = (1 << f) - 1;
        mask = buckets - 1;
        slots = new int[buckets * b];
        random = new SplittableRandom(seed);
        overflowBound = Math.max(1024, slots.length / 16);
    }

    /** The paper's f for a wished rate of false positives: at least log2(2b / rate). */
    public static int fingerprintBits(double rate) {
        return (int) Math.ceil(Math.log(2 * SLOTS / rate) / Math.log(2));
    }

    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private int fingerprint(long block) {
        int v = (int) (mix(block) >>> 40) & fpMask;
        return v == 0 ? 1 : v;
    }

    private int first(long block) {
        return (int) mix(block ^ 0x9e3779b97f4a7c15L) & mask;
    }

    /** h(fingerprint), never 0 so that the two buckets differ. */
    private int hash(int fp) {
        int v = (int) mix(fp * 0x632be59bd9b4e019L) & mask;
        return v == 0 ? 1 : v;
    }

    private boolean put(int bucket, int entry) {
        int at = bucket * b;
        for (int i = at; i < at + b; i++)
            if (slots[i] == 0) {
                slots[i] = entry;
                size++;
                return true;
            }
        return false;
    }

    private boolean all(int bucket, int fp) {
        int at = bucket * b;
        for (int i = at; i < at + b; i++) if ((slots[i] & fpMask) != fp) return false;
        return true;
    }

    public void insert(long block, int holder) {
        int fp = fingerprint(block), x = first(block), y = x ^ hash(fp), entry = holder << f | fp;
        if (put(x, entry) || put(y, entry)) return;
        if (all(x, fp) && all(y, fp)) {
            copies++;
            spill(x, entry);
            return;
        }
        int i = random.nextBoolean() ? x : y;
        for (int j = 0; j < DISPLACEMENTS; j++) {
            int s = i * b + random.nextInt(b);
            int out = slots[s];
            slots[s] = entry;
            entry = out;
            displacements++;
            i ^= hash(entry & fpMask);
            if (put(i, entry)) return;
        }
        int e = entry & fpMask;
        if (all(i, e) && all(i ^ hash(e), e)) copies++;
        else displacedOut++;
        spill(i, entry);
    }

    private long overflowKey(int bucket, int fp) {
        int o = bucket ^ hash(fp);
        return (long) Math.min(bucket, o) << 32 | fp;
    }

    private void spill(int bucket, int entry) {
        overflow.computeIfAbsent(overflowKey(bucket, entry & fpMask), k -> new long[HOLDERS])[entry >>> f]++;
        overflowed++;
    }

    /** Takes out one copy of exactly this entry; false where there is none. */
    public boolean remove(long block, int holder) {
        int fp = fingerprint(block), x = first(block), y = x ^ hash(fp), entry = holder << f | fp;
        if (take(x, entry) || take(y, entry)) {
            if (overflowed > 0) back(x, y, fp);
            return true;
        }
        return overflowed > 0 && takeOverflow(overflowKey(x, fp), holder);
    }

    private boolean take(int bucket, int entry) {
        int at = bucket * b;
        for (int i = at; i < at + b; i++)
            if (slots[i] == entry) {
                slots[i] = 0;
                size--;
                return true;
            }
        return false;
    }

    private boolean takeOverflow(long key, int holder) {
        long[] n = overflow.get(key);
        if (n == null || n[holder] == 0) return false;
        n[holder]--;
        overflowed--;
        for (long v : n) if (v > 0) return true;
        overflow.remove(key);
        return true;
    }

    /** A slot came free in x or y: an entry of the overflow that may stand there moves in. */
    private void back(int x, int y, int fp) {
        if (back(overflowKey(x, fp))) return;
        if (displacedOut == 0) return;
        for (Long k : overflow.keySet()) {
            int lo = (int) (k >>> 32), hi = lo ^ hash((int) (k & fpMask));
            if ((lo == x || lo == y || hi == x || hi == y) && back(k)) return;
        }
        if (overflow.isEmpty()) displacedOut = 0;
    }

    private boolean back(long key) {
        long[] n = overflow.get(key);
        if (n == null) return false;
        int fp = (int) (key & fpMask), lo = (int) (key >>> 32);
        for (int h = 0; h < HOLDERS; h++) {
            if (n[h] == 0) continue;
            int e = h << f | fp;
            if (!put(lo, e) && !put(lo ^ hash(fp), e)) return false;
            takeOverflow(key, h);
            return true;
        }
        return false;
    }

    /** Every holder with a matching entry, a bit each. */
    public long lookup(long block) {
        int fp = fingerprint(block), x = first(block), y = x ^ hash(fp);
        long m = match(x, fp) | match(y, fp);
        if (overflowed > 0) {
            long[] n = overflow.get(overflowKey(x, fp));
            if (n != null) for (int h = 0; h < HOLDERS; h++) if (n[h] > 0) m |= 1L << h;
        }
        return m;
    }

    private long match(int bucket, int fp) {
        long m = 0;
        int at = bucket * b;
        for (int i = at; i < at + b; i++) {
            int e = slots[i];
            if ((e & fpMask) == fp) m |= 1L << (e >>> f);
        }
        return m;
    }

    /** Takes out all of one holder's entries. */
    public void clear(int holder) {
        for (int i = 0; i < slots.length; i++)
            if (slots[i] != 0 && slots[i] >>> f == holder) {
                slots[i] = 0;
                size--;
            }
        overflow.values().removeIf(n -> {
            overflowed -= (int) n[holder];
            n[holder] = 0;
            for (long v : n) if (v > 0) return false;
            return true;
        });
        for (Long k : overflow.keySet().toArray(new Long[0])) while (back(k)) {
            // as long as there is room
        }
        if (overflow.isEmpty()) displacedOut = 0;
    }

    public int size() {
        return size + overflowed;
    }

    public int overflowed() {
        return overflowed;
    }

    /**
     * Of what ever went to the overflow: further copies of one fingerprint, and entries given up after 300
     * displacements.
     */
    public int copies() {
        return copies;
    }

    public int gaveUp() {
        return displacedOut;
    }

    public long displacements() {
        return displacements;
    }

    public int capacity() {
        return slots.length;
    }

    public double occupancy() {
        return (double) size / slots.length;
    }

    /** Entries in the overflow now whose two buckets are not simply full of the same fingerprint. */
    public int strays() {
        int n = 0;
        for (Map.Entry<Long, long[]> e : overflow.entrySet()) {
            int fp = (int) (e.getKey() & fpMask), lo = (int) (e.getKey() >>> 32);
            if (!all(lo, fp) || !all(lo ^ hash(fp), fp)) for (long v : e.getValue()) n += (int) v;
        }
        return n;
    }

    /** Past this the table counts as full, as the paper's does after 300 displacements, and a larger one is due. */
    public boolean full() {
        return overflowed > overflowBound || displacedOut > 64 && strays() > Math.max(64, slots.length / 64);
    }
}

package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * What control-plane and data-plane processes send each other on a persistent connection. A
 * data-plane process sends a {@link SubscriptionRequest} with the versions it has; the owner of a
 * key answers with a {@link LeaseGrant} where that is the newest number and pushes the newest value
 * otherwise. A subscription request after a push is its acknowledgement.
 */
public sealed interface StateUpdate extends WireRecord {
  record KnownVersion(String key, long epoch, long number) {}

  /**
   * left is what remains of the lease in ms; cutoffLeft, for weights, until nothing starts on old
   * ones.
   */
  record LeaseGrant(String key, long epoch, long number, int remainingMs, int cutoffRemainingMs) {}

  /**
   * What one relay has of a leaf of a service's share tree: requests waiting and requests using a
   * place.
   */
  record QuotaDemand(String service, String leaf, int waiting, int inUse) {}

  /** Places a relay sees at the replicas of a service. */
  record ServiceCapacity(String service, int slots) {}

  /** What a relay may use of a leaf, in thousandths of a place. */
  record QuotaAllotment(String leaf, int milliSlots) {}

  /**
   * ask is the asker's own monotonic time; it comes back so that a lease counts from the asking.
   */
  record SubscriptionRequest(
      long sentAtMs,
      String name,
      long incarnation,
      String role,
      String recordsAddress,
      String operatorAddress,
      String zone,
      List<KnownVersion> knownVersions,
      List<QuotaDemand> demands,
      List<ServiceCapacity> capacities)
      implements StateUpdate {
    @Override
    public int type() {
      return 1;
    }

    @Override
    public void write(DataOutputStream o) throws IOException {
      o.writeLong(sentAtMs);
      o.writeUTF(name);
      o.writeLong(incarnation);
      o.writeUTF(role);
      o.writeUTF(recordsAddress);
      o.writeUTF(operatorAddress);
      o.writeUTF(zone);
      WireRecord.writeList(
          o,
          knownVersions,
          (p, h) -> {
            p.writeUTF(h.key);
            p.writeLong(h.epoch);
            p.writeLong(h.number);
          });
      WireRecord.writeList(
          o,
          demands,
          (p, d) -> {
            p.writeUTF(d.service);
            p.writeUTF(d.leaf);
            p.writeInt(d.waiting);
            p.writeInt(d.inUse);
          });
      WireRecord.writeList(
          o,
          capacities,
          (p, x) -> {
            p.writeUTF(x.service);
            p.writeInt(x.slots);
          });
    }
  }

  /**
   * relays: how many relays the teller heard lately, among which what the fleet may do is shared
   * out.
   */
  record LeaseGrants(long requestSentAtMs, List<LeaseGrant> grants, int relayCount)
      implements StateUpdate {
    @Override
    public int type() {
      return 2;
    }

    @Override
    public void write(DataOutputStream o) throws IOException {
      o.writeLong(requestSentAtMs);
      WireRecord.writeList(
          o,
          grants,
          (p, g) -> {
            p.writeUTF(g.key);
            p.writeLong(g.epoch);
            p.writeLong(g.number);
            p.writeInt(g.remainingMs);
            p.writeInt(g.cutoffRemainingMs);
          });
      o.writeInt(relayCount);
    }
  }

  /**
   * A value whole, or where base is not -1 the changes from the number base, see Delta.
   *
   * @param sharingSince with a configuration, the number of the one with which the tenants that
   *     share cached prefixes began anew, 0 where they never did; below 0 where that isn't told
   */
  record ValuePush(
      String key,
      long epoch,
      long number,
      long baseNumber,
      String digest,
      byte[] value,
      long sharingSince)
      implements StateUpdate {
    private static final long SHARING_NOT_SENT = -1;

    /** A push that tells nothing of shared prefixes. */
    public ValuePush(String key, long epoch, long number, long base, String digest, byte[] value) {
      this(key, epoch, number, base, digest, value, SHARING_NOT_SENT);
    }

    /** The same as releases can read it that know nothing of shared prefixes. */
    public ValuePush withoutSharing() {
      return new ValuePush(key, epoch, number, baseNumber, digest, value);
    }

    @Override
    public int type() {
      return sharingSince < 0 ? 3 : 6;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeUTF(key);
      out.writeLong(epoch);
      out.writeLong(number);
      out.writeLong(baseNumber);
      out.writeUTF(digest);
      WireRecord.writeBlob(out, value);
      if (sharingSince >= 0) out.writeLong(sharingSince);
    }
  }

  /** The receiver could not use a delta and wants the value whole. */
  record FullValueRequest(String key) implements StateUpdate {
    @Override
    public int type() {
      return 4;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeUTF(key);
    }
  }

  /**
   * The fleet-wide division of one service's places for one relay, under the epoch of who divides.
   * Not full: no bounds.
   */
  record CapacityGrant(long epoch, String service, boolean limited, List<QuotaAllotment> allotments)
      implements StateUpdate {
    @Override
    public int type() {
      return 5;
    }

    @Override
    public void write(DataOutputStream o) throws IOException {
      o.writeLong(epoch);
      o.writeUTF(service);
      o.writeBoolean(limited);
      WireRecord.writeList(
          o,
          allotments,
          (p, x) -> {
            p.writeUTF(x.leaf);
            p.writeInt(x.milliSlots);
          });
    }
  }

  static StateUpdate read(int type, DataInputStream in) throws IOException {
    return switch (type) {
      case 1 ->
          new SubscriptionRequest(
              in.readLong(),
              in.readUTF(),
              in.readLong(),
              in.readUTF(),
              in.readUTF(),
              in.readUTF(),
              in.readUTF(),
              WireRecord.readList(
                  in, i -> new KnownVersion(i.readUTF(), i.readLong(), i.readLong())),
              WireRecord.readList(
                  in, i -> new QuotaDemand(i.readUTF(), i.readUTF(), i.readInt(), i.readInt())),
              WireRecord.readList(in, i -> new ServiceCapacity(i.readUTF(), i.readInt())));
      case 2 ->
          new LeaseGrants(
              in.readLong(),
              WireRecord.readList(
                  in,
                  i ->
                      new LeaseGrant(
                          i.readUTF(), i.readLong(), i.readLong(), i.readInt(), i.readInt())),
              in.readInt());
      case 3 ->
          new ValuePush(
              in.readUTF(),
              in.readLong(),
              in.readLong(),
              in.readLong(),
              in.readUTF(),
              WireRecord.readBlob(in));
      case 6 ->
          new ValuePush(
              in.readUTF(),
              in.readLong(),
              in.readLong(),
              in.readLong(),
              in.readUTF(),
              WireRecord.readBlob(in),
              in.readLong());
      case 4 -> new FullValueRequest(in.readUTF());
      case 5 ->
          new CapacityGrant(
              in.readLong(),
              in.readUTF(),
              in.readBoolean(),
              WireRecord.readList(in, i -> new QuotaAllotment(i.readUTF(), i.readInt())));
      default -> throw WireRecord.unknownType(type);
    };
  }
}

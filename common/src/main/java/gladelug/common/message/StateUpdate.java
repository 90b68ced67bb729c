package gladelug.common.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * Messages between control-plane and data-plane processes on a persistent connection. A data-plane
 * process sends a {@link SubscriptionRequest} with the versions that it has; the owner of a key
 * responds with a {@link LeaseGrant} if that version is the newest, else with the newest value. The
 * next subscription request acknowledges a push.
 */
public sealed interface StateUpdate extends WireRecord {
  /** The version of a key's value that the sender has. */
  record KnownVersion(String key, long epoch, long number) {}

  /**
   * A lease on a version.
   *
   * @param remainingMs remaining time of the lease
   * @param cutoffRemainingMs for weights, time until no request may start on the old ones
   */
  record LeaseGrant(String key, long epoch, long number, int remainingMs, int cutoffRemainingMs) {}

  /** A relay's demand on a leaf of a service's quota tree: queued requests and occupied slots. */
  record QuotaDemand(String service, String leaf, int waiting, int inUse) {}

  /** The number of slots that a relay sees at the replicas of a service. */
  record ServiceCapacity(String service, int slots) {}

  /** A relay's allotment of a leaf, in thousandths of a slot. */
  record QuotaAllotment(String leaf, int milliSlots) {}

  /**
   * Subscribes to values and acknowledges the versions that the sender has.
   *
   * @param sentAtMs the sender's monotonic time; the response repeats it, so that a lease counts
   *     from the time of the request
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
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(sentAtMs);
      out.writeUTF(name);
      out.writeLong(incarnation);
      out.writeUTF(role);
      out.writeUTF(recordsAddress);
      out.writeUTF(operatorAddress);
      out.writeUTF(zone);
      WireRecord.writeList(
          out,
          knownVersions,
          (itemOut, version) -> {
            itemOut.writeUTF(version.key);
            itemOut.writeLong(version.epoch);
            itemOut.writeLong(version.number);
          });
      WireRecord.writeList(
          out,
          demands,
          (itemOut, demand) -> {
            itemOut.writeUTF(demand.service);
            itemOut.writeUTF(demand.leaf);
            itemOut.writeInt(demand.waiting);
            itemOut.writeInt(demand.inUse);
          });
      WireRecord.writeList(
          out,
          capacities,
          (itemOut, capacity) -> {
            itemOut.writeUTF(capacity.service);
            itemOut.writeInt(capacity.slots);
          });
    }
  }

  /**
   * The response to a {@link SubscriptionRequest} for versions that are the newest.
   *
   * @param relayCount number of relays that the sender heard from recently, among which fleet-wide
   *     limits are divided
   */
  record LeaseGrants(long requestSentAtMs, List<LeaseGrant> grants, int relayCount)
      implements StateUpdate {
    @Override
    public int type() {
      return 2;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(requestSentAtMs);
      WireRecord.writeList(
          out,
          grants,
          (itemOut, grant) -> {
            itemOut.writeUTF(grant.key);
            itemOut.writeLong(grant.epoch);
            itemOut.writeLong(grant.number);
            itemOut.writeInt(grant.remainingMs);
            itemOut.writeInt(grant.cutoffRemainingMs);
          });
      out.writeInt(relayCount);
    }
  }

  /**
   * Pushes a full value or, if baseNumber is not -1, a {@link BinaryDelta} to the version with that
   * number.
   *
   * @param sharingSince for a configuration, the number of the configuration at which the current
   *     sharing scope started, 0 if no scope was ever replaced, negative if not sent; see {@link
   *     gladelug.common.configuration.PrefixSharing}
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

    /** Creates a push without information on shared prefixes. */
    public ValuePush(
        String key, long epoch, long number, long baseNumber, String digest, byte[] value) {
      this(key, epoch, number, baseNumber, digest, value, SHARING_NOT_SENT);
    }

    /** Returns a copy for releases that don't support information on shared prefixes. */
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

  /** Requests the full value, after a delta that could not be applied. */
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
   * A relay's part of the fleet-wide division of a service's slots, in the epoch of the process
   * that divides them. If limited is false the allotments don't apply.
   */
  record CapacityGrant(long epoch, String service, boolean limited, List<QuotaAllotment> allotments)
      implements StateUpdate {
    @Override
    public int type() {
      return 5;
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(epoch);
      out.writeUTF(service);
      out.writeBoolean(limited);
      WireRecord.writeList(
          out,
          allotments,
          (itemOut, allotment) -> {
            itemOut.writeUTF(allotment.leaf);
            itemOut.writeInt(allotment.milliSlots);
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

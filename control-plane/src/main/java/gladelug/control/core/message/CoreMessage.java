package gladelug.control.core.message;

import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.register.RegisterRecord;
import gladelug.control.core.register.RegisterVersion;
import gladelug.control.core.register.VersionedValue;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A message between core members. Every message carries the generation it was sent in and the
 * sender's name and disk id. A member does not answer messages of another generation, but sends the
 * newer member set if it knows one.
 */
public sealed interface CoreMessage {
  /** A message with its sender and the generation it was sent in. */
  record Envelope(long generation, String sender, String senderDisk, CoreMessage message)
      implements WireRecord {
    @Override
    public int type() {
      return message.tag();
    }

    @Override
    public void write(DataOutputStream out) throws IOException {
      out.writeLong(generation);
      out.writeUTF(sender);
      out.writeUTF(senderDisk);
      message.writeBody(out);
    }

    /** Reads the envelope and the body of a message with this tag. */
    public static Envelope read(int type, DataInputStream in) throws IOException {
      return new Envelope(in.readLong(), in.readUTF(), in.readUTF(), CoreMessage.read(type, in));
    }
  }

  /** The tags of messages on the wire; they must not change. */
  final class Tag {
    private static final int HEARTBEAT = 1;
    private static final int PREPARE_REQUEST = 2;
    private static final int PREPARE_RESPONSE = 3;
    private static final int ACCEPT_REQUEST = 4;
    private static final int ACCEPT_RESPONSE = 5;
    private static final int CONFIRM_REQUEST = 6;
    private static final int CONFIRM_RESPONSE = 7;
    private static final int FORWARDED_CHANGE_REQUEST = 8;
    private static final int FORWARDED_CHANGE_RESPONSE = 9;
    private static final int BOOTSTRAP_ANNOUNCEMENT = 10;
    private static final int ACTIVATE = 11;
    private static final int JOIN_REQUEST = 12;
    private static final int SEAL_REQUEST = 13;
    private static final int SEAL_RESPONSE = 14;
    private static final int RELAYED_SUBSCRIPTION_REQUEST = 15;
    private static final int RELAYED_STATE_UPDATE = 16;
    private static final int FORWARDED_READ_REQUEST = 17;
    private static final int FORWARDED_READ_RESPONSE = 18;
    private static final int DRAIN_NOTICE = 30;
    private static final int BOOTSTRAP_BALLOT = 31;

    private Tag() {}
  }

  /** Returns the number that identifies the message type on the wire. */
  int tag();

  /** Writes the message's own fields, which follow the envelope's. */
  void writeBody(DataOutputStream out) throws IOException;

  /**
   * A sender's claim that it owns a key, from which the other members learn the owner and the age
   * of the value.
   *
   * @param number the number of the newest value
   * @param valueAgeMs the time since that value was applied, in ms
   * @param changeInFlight whether a change of the key is in progress
   */
  record OwnershipClaim(
      String key, long epoch, long number, long valueAgeMs, boolean changeInFlight) {}

  /**
   * The send time of a message by its sender's monotonic clock. Only the same run of the sender can
   * interpret it.
   */
  record SendTime(long incarnation, long atMs) {
    /** Stands for no message received yet. */
    public static final SendTime NONE = new SendTime(0, 0);

    private void write(DataOutputStream out) throws IOException {
      out.writeLong(incarnation);
      out.writeLong(atMs);
    }

    private static SendTime read(DataInputStream in) throws IOException {
      return new SendTime(in.readLong(), in.readLong());
    }
  }

  /**
   * A periodic heartbeat to one member.
   *
   * @param healthy whether the sender's disk works and the sender is not draining
   * @param uptimeMs how long the sender has been running, in ms
   * @param claims the keys that the sender owns
   * @param sentAt when the heartbeat was sent, by the sender's clock
   * @param newestReceived the newest send time that the sender has received from the receiver,
   *     which tells the receiver which of its heartbeats arrived
   */
  record Heartbeat(
      boolean healthy,
      long uptimeMs,
      List<OwnershipClaim> claims,
      SendTime sentAt,
      SendTime newestReceived)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.HEARTBEAT;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeBoolean(healthy);
      out.writeLong(uptimeMs);
      WireRecord.writeList(
          out,
          claims,
          (target, claim) -> {
            target.writeUTF(claim.key);
            target.writeLong(claim.epoch);
            target.writeLong(claim.number);
            target.writeLong(claim.valueAgeMs);
            target.writeBoolean(claim.changeInFlight);
          });
      sentAt.write(out);
      newestReceived.write(out);
    }
  }

  /**
   * Phase 1 of taking ownership of a key: asks for a promise under a higher epoch.
   *
   * @param handover whether the current owner works and is to hand the key over to a member that
   *     precedes it in the key's preference order; otherwise a member that knows a working owner
   *     refuses
   */
  record PrepareRequest(String key, long epoch, boolean handover) implements CoreMessage {
    /** Creates a request that is not a handover. */
    public PrepareRequest(String key, long epoch) {
      this(key, epoch, false);
    }

    @Override
    public int tag() {
      return Tag.PREPARE_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(key);
      out.writeLong(epoch);
      out.writeBoolean(handover);
    }
  }

  /**
   * The answer to {@link PrepareRequest}. Refused if {@code promisedEpoch} is at least the
   * requested epoch, or if the key has a working owner.
   *
   * @param granted whether the epoch was promised
   * @param promisedEpoch the highest epoch that the sender has promised
   * @param acceptedEpoch the epoch under which the sender accepted its value
   * @param value the value that the sender accepted last
   */
  record PrepareResponse(
      String key,
      long epoch,
      boolean granted,
      long promisedEpoch,
      long acceptedEpoch,
      VersionedValue value)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.PREPARE_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(key);
      out.writeLong(epoch);
      out.writeBoolean(granted);
      out.writeLong(promisedEpoch);
      out.writeLong(acceptedEpoch);
      value.write(out);
    }
  }

  /** Phase 2: asks a member to accept a value under the owner's epoch. */
  record AcceptRequest(String key, long epoch, VersionedValue value) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.ACCEPT_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(key);
      out.writeLong(epoch);
      value.write(out);
    }
  }

  /** The answer to {@link AcceptRequest}; refused if the sender promised a higher epoch. */
  record AcceptResponse(String key, long epoch, long number, boolean granted, long promisedEpoch)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.ACCEPT_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(key);
      out.writeLong(epoch);
      out.writeLong(number);
      out.writeBoolean(granted);
      out.writeLong(promisedEpoch);
    }
  }

  /** A key and the epoch under which the sender owns it. */
  record KeyEpoch(String key, long epoch) {}

  /** Asks the members to confirm that the sender still owns its keys; one round covers all keys. */
  record ConfirmRequest(long round, List<KeyEpoch> epochs) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.CONFIRM_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(round);
      WireRecord.writeList(
          out,
          epochs,
          (target, keyEpoch) -> {
            target.writeUTF(keyEpoch.key);
            target.writeLong(keyEpoch.epoch);
          });
    }
  }

  /**
   * A member's answer for one key of a {@link ConfirmRequest}.
   *
   * @param epoch the epoch that was asked about
   * @param granted whether the member has promised no higher epoch
   */
  record EpochStatus(
      String key,
      long epoch,
      boolean granted,
      long promisedEpoch,
      long acceptedEpoch,
      long acceptedNumber) {}

  /** The answer to {@link ConfirmRequest}. */
  record ConfirmResponse(long round, List<EpochStatus> statuses) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.CONFIRM_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(round);
      WireRecord.writeList(
          out,
          statuses,
          (target, status) -> {
            target.writeUTF(status.key);
            target.writeLong(status.epoch);
            target.writeBoolean(status.granted);
            target.writeLong(status.promisedEpoch);
            target.writeLong(status.acceptedEpoch);
            target.writeLong(status.acceptedNumber);
          });
    }
  }

  /** A change received by a member that does not own the key, forwarded to the owner. */
  record ForwardedChangeRequest(long requestId, ChangeRequest request) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.FORWARDED_CHANGE_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(requestId);
      out.writeUTF(request.key());
      out.writeLong(request.requiredNumber());
      WireRecord.writeBlob(out, request.body());
      out.writeLong(request.base());
      if (!request.sentDigest().isEmpty()) out.writeUTF(request.sentDigest());
    }
  }

  /** The owner's answer to {@link ForwardedChangeRequest}. */
  record ForwardedChangeResponse(long requestId, ChangeResult result) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.FORWARDED_CHANGE_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(requestId);
      result.write(out);
    }
  }

  /**
   * Sent by a bootstrap member of an earlier release to find the others; {@link BootstrapBallot}
   * took its place.
   *
   * @param storedBootstrapSet the first member set stored on its disk; NONE if there is none yet
   */
  record BootstrapAnnouncement(
      String recordsAddress, String operatorAddress, MemberSet storedBootstrapSet)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.BOOTSTRAP_ANNOUNCEMENT;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(recordsAddress);
      out.writeUTF(operatorAddress);
      storedBootstrapSet.write(out);
    }
  }

  /**
   * Sent by a voter of the bootstrap to the others, again and again.
   *
   * @param hasDisk whether the sender can be a member
   * @param vote the vote that it has stored
   * @param heardIds the disk ids, or ids of processes without a disk, of the voters that it heard,
   *     by name
   */
  record BootstrapBallot(
      String recordsAddress,
      String operatorAddress,
      boolean hasDisk,
      BootstrapVote vote,
      Map<String, String> heardIds)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.BOOTSTRAP_BALLOT;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(recordsAddress);
      out.writeUTF(operatorAddress);
      out.writeBoolean(hasDisk);
      vote.write(out);
      WireRecord.writeList(
          out,
          List.copyOf(heardIds.entrySet()),
          (fields, entry) -> {
            fields.writeUTF(entry.getKey());
            fields.writeUTF(entry.getValue());
          });
    }

    private static BootstrapBallot read(DataInputStream in) throws IOException {
      String records = in.readUTF();
      String operator = in.readUTF();
      boolean hasDisk = in.readBoolean();
      BootstrapVote vote = BootstrapVote.read(in);
      Map<String, String> heardIds = new TreeMap<>();
      for (Map.Entry<String, String> entry :
          WireRecord.readList(in, fields -> Map.entry(fields.readUTF(), fields.readUTF())))
        heardIds.put(entry.getKey(), entry.getValue());
      return new BootstrapBallot(records, operator, hasDisk, vote, heardIds);
    }
  }

  /**
   * Activates a generation. The registers hold at least everything acknowledged before it, except
   * values that the receiver already stores durably.
   */
  record Activate(MemberSet members, List<RegisterRecord> registers) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.ACTIVATE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      members.write(out);
      RegisterRecord.writeList(out, registers);
    }
  }

  /** Sent by a machine with an empty disk that asks to become a member. */
  record JoinRequest(String recordsAddress, String operatorAddress) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.JOIN_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(recordsAddress);
      out.writeUTF(operatorAddress);
    }
  }

  /**
   * Asks a member to seal the current generation, that is, to refuse its messages from now on.
   *
   * @param next the member set of the next generation
   * @param incarnation identifies the sender's current run
   * @param versions the values that the sender stores, which need not be sent to it
   */
  record SealRequest(MemberSet next, long incarnation, List<RegisterVersion> versions)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.SEAL_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      next.write(out);
      out.writeLong(incarnation);
      RegisterVersion.writeList(out, versions);
    }
  }

  /**
   * Confirms that the generation is sealed durably, with all registers stored under it. Registers
   * whose value the requesting run already stores, or has a newer one of, carry the promises only.
   *
   * @param nextGeneration the generation for which the sender sealed
   * @param requesterIncarnation the run of the requester for which values are left out
   * @param versions the values that the sender stores
   */
  record SealResponse(
      long nextGeneration,
      long requesterIncarnation,
      List<RegisterRecord> registers,
      List<RegisterVersion> versions)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.SEAL_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(nextGeneration);
      out.writeLong(requesterIncarnation);
      RegisterRecord.writeList(out, registers);
      RegisterVersion.writeList(out, versions);
    }
  }

  /**
   * A subscription request of a data-plane process, passed on by a member that does not own the
   * key.
   */
  record RelayedSubscriptionRequest(StateUpdate.SubscriptionRequest request)
      implements CoreMessage {
    @Override
    public int tag() {
      return Tag.RELAYED_SUBSCRIPTION_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      WireRecord.writeBlob(out, WireRecord.encode(request));
    }
  }

  /** The owner's answer to a {@link RelayedSubscriptionRequest}, passed back the same way. */
  record RelayedStateUpdate(String subscriber, StateUpdate update) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.RELAYED_STATE_UPDATE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeUTF(subscriber);
      WireRecord.writeBlob(out, WireRecord.encode(update));
    }
  }

  /** A read received by a member that does not own the key, forwarded to the owner. */
  record ForwardedReadRequest(long requestId, String key) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.FORWARDED_READ_REQUEST;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(requestId);
      out.writeUTF(key);
    }
  }

  /** The owner's answer to {@link ForwardedReadRequest}. */
  record ForwardedReadResponse(long requestId, ReadResult result) implements CoreMessage {
    @Override
    public int tag() {
      return Tag.FORWARDED_READ_RESPONSE;
    }

    @Override
    public void writeBody(DataOutputStream out) throws IOException {
      out.writeLong(requestId);
      result.write(out);
    }
  }

  private static ChangeRequest readChangeRequest(DataInputStream in) throws IOException {
    String key = in.readUTF();
    long requiredNumber = in.readLong();
    byte[] body = WireRecord.readBlob(in);
    long base = in.readLong();
    // absent if it equals the body's digest, as in messages of earlier releases
    String sentDigest = in.available() > 0 ? in.readUTF() : "";
    return new ChangeRequest(key, requiredNumber, base, body, sentDigest);
  }

  /**
   * Announces that the sender was asked to stop: it owns no keys any more and ends once a standby
   * machine, if there is one, has replaced it.
   */
  record DrainNotice() implements CoreMessage {
    @Override
    public int tag() {
      return Tag.DRAIN_NOTICE;
    }

    @Override
    public void writeBody(DataOutputStream out) {}
  }

  private static RelayedSubscriptionRequest readRelayedSubscriptionRequest(DataInputStream in)
      throws IOException {
    if (WireRecord.decode(WireRecord.readBlob(in), StateUpdate::read)
        instanceof StateUpdate.SubscriptionRequest request)
      return new RelayedSubscriptionRequest(request);
    throw new IOException("only subscription requests can be relayed");
  }

  /**
   * Reads the body of a message with this tag.
   *
   * @throws IOException if the tag is unknown or the body is malformed
   */
  static CoreMessage read(int tag, DataInputStream in) throws IOException {
    return switch (tag) {
      case Tag.HEARTBEAT ->
          new Heartbeat(
              in.readBoolean(),
              in.readLong(),
              WireRecord.readList(
                  in,
                  item ->
                      new OwnershipClaim(
                          item.readUTF(),
                          item.readLong(),
                          item.readLong(),
                          item.readLong(),
                          item.readBoolean())),
              SendTime.read(in),
              SendTime.read(in));
      case Tag.PREPARE_REQUEST -> new PrepareRequest(in.readUTF(), in.readLong(), in.readBoolean());
      case Tag.PREPARE_RESPONSE ->
          new PrepareResponse(
              in.readUTF(),
              in.readLong(),
              in.readBoolean(),
              in.readLong(),
              in.readLong(),
              VersionedValue.read(in));
      case Tag.ACCEPT_REQUEST ->
          new AcceptRequest(in.readUTF(), in.readLong(), VersionedValue.read(in));
      case Tag.ACCEPT_RESPONSE ->
          new AcceptResponse(
              in.readUTF(), in.readLong(), in.readLong(), in.readBoolean(), in.readLong());
      case Tag.CONFIRM_REQUEST ->
          new ConfirmRequest(
              in.readLong(),
              WireRecord.readList(in, item -> new KeyEpoch(item.readUTF(), item.readLong())));
      case Tag.CONFIRM_RESPONSE ->
          new ConfirmResponse(
              in.readLong(),
              WireRecord.readList(
                  in,
                  item ->
                      new EpochStatus(
                          item.readUTF(),
                          item.readLong(),
                          item.readBoolean(),
                          item.readLong(),
                          item.readLong(),
                          item.readLong())));
      case Tag.FORWARDED_CHANGE_REQUEST ->
          new ForwardedChangeRequest(in.readLong(), readChangeRequest(in));
      case Tag.FORWARDED_CHANGE_RESPONSE ->
          new ForwardedChangeResponse(in.readLong(), ChangeResult.read(in));
      case Tag.BOOTSTRAP_ANNOUNCEMENT ->
          new BootstrapAnnouncement(in.readUTF(), in.readUTF(), MemberSet.read(in));
      case Tag.ACTIVATE -> new Activate(MemberSet.read(in), RegisterRecord.readList(in));
      case Tag.JOIN_REQUEST -> new JoinRequest(in.readUTF(), in.readUTF());
      case Tag.SEAL_REQUEST ->
          new SealRequest(MemberSet.read(in), in.readLong(), RegisterVersion.readList(in));
      case Tag.RELAYED_SUBSCRIPTION_REQUEST -> readRelayedSubscriptionRequest(in);
      case Tag.RELAYED_STATE_UPDATE ->
          new RelayedStateUpdate(
              in.readUTF(), WireRecord.decode(WireRecord.readBlob(in), StateUpdate::read));
      case Tag.SEAL_RESPONSE ->
          new SealResponse(
              in.readLong(),
              in.readLong(),
              RegisterRecord.readList(in),
              RegisterVersion.readList(in));
      case Tag.FORWARDED_READ_REQUEST -> new ForwardedReadRequest(in.readLong(), in.readUTF());
      case Tag.FORWARDED_READ_RESPONSE ->
          new ForwardedReadResponse(in.readLong(), ReadResult.read(in));
      case Tag.DRAIN_NOTICE -> new DrainNotice();
      case Tag.BOOTSTRAP_BALLOT -> BootstrapBallot.read(in);
      default -> throw WireRecord.unknownType(tag);
    };
  }
}

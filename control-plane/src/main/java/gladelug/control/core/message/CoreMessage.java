package gladelug.control.core.message;

import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.register.RegisterRecord;
import gladelug.control.core.register.RegisterVersion;
import gladelug.control.core.register.VersionedValue;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * What core members send to each other. Every message carries the generation it was sent in and the
 * sender's name and disk; a member answers none of another generation but tells the newer members
 * where it knows them.
 */
public sealed interface CoreMessage {
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

    /** Reads an envelope of a message with this tag. */
    public static Envelope read(int type, DataInputStream in) throws IOException {
      return new Envelope(in.readLong(), in.readUTF(), in.readUTF(), CoreMessage.read(type, in));
    }
  }

  /** The tags of messages on the wire; they stay as they are. */
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

    private Tag() {}
  }

  /** The number that stands for the type of message on the wire. */
  int tag();

  /** Writes what follows the envelope's head. */
  void writeBody(DataOutputStream out) throws IOException;

  /** What an owner says of a key of its own, so that the others know it and the value's age. */
  record OwnershipClaim(
      String key, long epoch, long number, long valueAgeMs, boolean changeInFlight) {}

  /** When something was sent, by the clock of one run of its sender, which alone can read it. */
  record SendTime(long incarnation, long atMs) {
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
   * A sign of life to one member.
   *
   * @param healthy whether the sender's disk works and it is not draining
   * @param uptimeMs how long the sender has been up, ms
   * @param claims the keys that the sender owns
   * @param sentAt when it was sent, by the sender's clock
   * @param newestReceived the newest send time that the sender received of the receiver, so that
   *     the receiver knows what has reached the sender
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
          (target, w) -> {
            target.writeUTF(w.key);
            target.writeLong(w.epoch);
            target.writeLong(w.number);
            target.writeLong(w.valueAgeMs);
            target.writeBoolean(w.changeInFlight);
          });
      sentAt.write(out);
      newestReceived.write(out);
    }
  }

  /**
   * A key is asked for under a higher epoch. handover: the present owner is known and well, and is
   * to give the key to the one who comes before it in order; else a member that knows of a working
   * owner refuses.
   */
  record PrepareRequest(String key, long epoch, boolean handover) implements CoreMessage {
    /** A request that is no handover. */
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
   * The answer to {@link PrepareRequest}. Not granted where promisedEpoch is as high as what was
   * asked, or the key has a working owner.
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

  record KeyEpoch(String key, long epoch) {}

  /** One round for all keys the sender owns. */
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
          (target, c) -> {
            target.writeUTF(c.key);
            target.writeLong(c.epoch);
          });
    }
  }

  record EpochStatus(
      String key,
      long epoch,
      boolean granted,
      long promisedEpoch,
      long acceptedEpoch,
      long acceptedNumber) {}

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
          (target, s) -> {
            target.writeUTF(s.key);
            target.writeLong(s.epoch);
            target.writeBoolean(s.granted);
            target.writeLong(s.promisedEpoch);
            target.writeLong(s.acceptedEpoch);
            target.writeLong(s.acceptedNumber);
          });
    }
  }

  /** A change taken at one member's door for the key's owner elsewhere. */
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

  /** A founder looks for the others; pinned: the first members it has on its disk, NONE before. */
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
   * A generation is in force; cells hold at least all that was ever acknowledged before it, but for
   * the values that the one it is told has durably.
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

  /** A machine with an empty disk would like to be a member. */
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
   * Refuse the present generation from now on; next is to follow it. run: the sender's present run,
   * versions: what it keeps, which needn't be sent to it.
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
   * It is refused, durably, and this is all that was kept under it: of keys of which the asking run
   * keeps the same value or a newer one the promises alone. versions: what is kept here.
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

  /** What a data-plane process asked of a member that isn't the key's owner, handed on. */
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

  /** And the owner's answer on the way back. */
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

  /** A read taken at one member's door for the key's owner elsewhere. */
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

  /** And what the owner says. */
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
    long match = in.readLong();
    byte[] body = WireRecord.readBlob(in);
    long base = in.readLong();
    // written only where it isn't the body's own digest, so that earlier releases are understood
    String sentDigest = in.available() > 0 ? in.readUTF() : "";
    return new ChangeRequest(key, match, base, body, sentDigest);
  }

  /**
   * The sender was asked to stop: it owns nothing any more and ends once its place is taken, if a
   * machine stands by.
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
        instanceof StateUpdate.SubscriptionRequest a) return new RelayedSubscriptionRequest(a);
    throw new IOException("only questions are handed on");
  }

  /** Reads the body of a message with this tag; an unknown tag is an IOException. */
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
      default -> throw WireRecord.unknownType(tag);
    };
  }
}

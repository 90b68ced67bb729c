package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.Activate;
import gladelug.control.core.message.CoreMessage.ConfirmRequest;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.CoreMessage.ForwardedChangeRequest;
import gladelug.control.core.message.CoreMessage.Heartbeat;
import gladelug.control.core.message.CoreMessage.JoinRequest;
import gladelug.control.core.message.CoreMessage.KeyEpoch;
import gladelug.control.core.message.CoreMessage.OwnershipClaim;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.message.CoreMessage.SealRequest;
import gladelug.control.core.message.CoreMessage.SealResponse;
import gladelug.control.core.message.CoreMessage.SendTime;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.AppliedChanges;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests one {@link CoreMember} against scripted messages of the other members. */
final class CoreMemberTest {
  /**
   * A host that records what is sent, and completes disk writes only when the test calls {@link
   * #completeSyncs}.
   */
  private static final class RecordingHost implements CoreHost {
    long nowMs = 1_000_000;
    long mostState = Long.MAX_VALUE;
    final List<String> sent = new ArrayList<>();
    final List<Envelope> messages = new ArrayList<>();
    final List<Runnable> pendingSyncs = new ArrayList<>();

    /** The updates pushed to data-plane processes. */
    final List<StateUpdate> pushed = new ArrayList<>();

    @Override
    public long nowMs() {
      return nowMs;
    }

    @Override
    public long wallClockMs() {
      return 0;
    }

    @Override
    public long random(long bound) {
      return 0;
    }

    @Override
    public void send(String member, Envelope envelope) {
      sent.add(member + " " + envelope.message().getClass().getSimpleName());
      messages.add(envelope);
    }

    @Override
    public void sendTo(Address address, Envelope envelope) {
      sent.add("address " + envelope.message().getClass().getSimpleName());
    }

    @Override
    public List<Address> contactAddresses() {
      return List.of();
    }

    @Override
    public void sync(String key, byte[] state, Runnable onStored) {
      pendingSyncs.add(onStored);
    }

    @Override
    public long maxStateBytes() {
      return mostState;
    }

    @Override
    public void pushUpdate(String subscriber, StateUpdate update) {
      pushed.add(update);
    }

    @Override
    public void onMembersChanged(MemberSet members) {}

    @Override
    public void logEvent(String name, Object... pairs) {}

    void completeSyncs() {
      List<Runnable> callbacks = new ArrayList<>(pendingSyncs);
      pendingSyncs.clear();
      callbacks.forEach(Runnable::run);
    }

    long countSent(String message) {
      return sent.stream().filter(event -> event.equals(message)).count();
    }
  }

  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final MemberSet MEMBERS =
      new MemberSet(
          1,
          List.of(
              new MemberSet.Member("a", "da", ADDRESS, ADDRESS),
              new MemberSet.Member("b", "db", ADDRESS, ADDRESS),
              new MemberSet.Member("c", "dc", ADDRESS, ADDRESS)));

  private static CoreMember newMember(RecordingHost host) {
    return new CoreMember(
        host,
        QuorumConfig.DEFAULT,
        MEMBERS.find("a"),
        15_000,
        Map.of(DurableState.ACTIVE_MEMBERS, MEMBERS.toBytes()),
        null,
        new OwnerTasks() {});
  }

  private static void deliver(CoreMember member, String sender, CoreMessage message) {
    member.onMessage(new Envelope(1, sender, "d" + sender, message));
  }

  @Test
  void nothingIsAnsweredBeforeItIsOnDisk() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    long epoch = MEMBERS.nextEpoch(0, "b");
    deliver(member, "b", new PrepareRequest("k", epoch));
    Assertions.assertEquals(0, host.countSent("b PrepareResponse"));
    host.completeSyncs();
    Assertions.assertEquals(1, host.countSent("b PrepareResponse"));
    deliver(member, "b", new AcceptRequest("k", epoch, VersionedValue.NONE.next("d", new byte[1])));
    Assertions.assertEquals(0, host.countSent("b AcceptResponse"));
    host.completeSyncs();
    Assertions.assertEquals(1, host.countSent("b AcceptResponse"));
    deliver(
        member,
        "c",
        new ConfirmRequest(1, List.of(new KeyEpoch("k", MEMBERS.nextEpoch(epoch, "c")))));
    Assertions.assertEquals(
        0, host.countSent("c ConfirmResponse"), "a confirmation that raises the promise");
    host.completeSyncs();
    Assertions.assertEquals(1, host.countSent("c ConfirmResponse"));
  }

  @Test
  void servesOnlyOnceAMajorityAcceptedTheNewestValueUnderItsOwnEpoch() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    host.nowMs += 10_000;
    stayInContactUntilElectionStarts(member, host, StateKeys.CONFIGURATION);
    long epoch = member.epochOf(StateKeys.CONFIGURATION);
    Assertions.assertTrue(epoch > 0, "no election started");
    VersionedValue value = VersionedValue.NONE.next("x", new byte[] {1});
    host.nowMs += 100;
    deliver(
        member,
        "a",
        new PrepareResponse(StateKeys.CONFIGURATION, epoch, true, epoch, 0, VersionedValue.NONE));
    deliver(
        member, "b", new PrepareResponse(StateKeys.CONFIGURATION, epoch, true, epoch, 5, value));
    Assertions.assertFalse(member.owns(StateKeys.CONFIGURATION));
    AcceptRequest accept =
        host.messages.stream()
            .map(Envelope::message)
            .filter(message -> message instanceof AcceptRequest)
            .map(message -> (AcceptRequest) message)
            .findFirst()
            .orElseThrow();
    Assertions.assertTrue(
        accept.epoch() == epoch && accept.value().digest().equals("x"),
        "the newest promised value has to be rewritten under the new epoch");
    deliver(member, "a", new AcceptResponse(StateKeys.CONFIGURATION, epoch, 1, true, epoch));
    Assertions.assertFalse(member.owns(StateKeys.CONFIGURATION));
    deliver(member, "b", new AcceptResponse(StateKeys.CONFIGURATION, epoch, 1, true, epoch));
    Assertions.assertTrue(member.owns(StateKeys.CONFIGURATION));
    Assertions.assertFalse(
        member.mayCommand(StateKeys.CONFIGURATION),
        "the command lease of a former owner may still be valid");
  }

  @Test
  void aSealedMemberTakesNoPartInTheOldGenerationEvenAfterARestart() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                MEMBERS.find("a"),
                MEMBERS.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    deliver(member, "b", new SealRequest(next, 0, List.of()));
    host.completeSyncs();
    deliver(member, "c", new PrepareRequest("k", MEMBERS.nextEpoch(0, "c")));
    host.completeSyncs();
    Assertions.assertEquals(0, host.countSent("c PrepareResponse"));
    RecordingHost otherHost = new RecordingHost();
    CoreMember restarted =
        new CoreMember(
            otherHost,
            QuorumConfig.DEFAULT,
            MEMBERS.find("a"),
            15_000,
            Map.of(
                DurableState.ACTIVE_MEMBERS,
                MEMBERS.toBytes(),
                DurableState.SEALED_FOR,
                next.toBytes()),
            null,
            new OwnerTasks() {});
    deliver(restarted, "c", new PrepareRequest("k", MEMBERS.nextEpoch(0, "c")));
    otherHost.completeSyncs();
    Assertions.assertEquals(0, otherHost.countSent("c PrepareResponse"));
  }

  /**
   * Guards against a change of members that never completes: a member that lags behind cannot be
   * sealed, and without it there may be no majority.
   */
  @Test
  void aSealedMemberStillSendsItsGenerationToAMemberThatLagsBehind() {
    MemberSet second = new MemberSet(2, MEMBERS.all());
    MemberSet third =
        new MemberSet(
            3,
            List.of(
                MEMBERS.find("a"),
                MEMBERS.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    RecordingHost host = new RecordingHost();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            MEMBERS.find("a"),
            15_000,
            Map.of(
                DurableState.ACTIVE_MEMBERS,
                second.toBytes(),
                DurableState.SEALED_FOR,
                third.toBytes()),
            null,
            new OwnerTasks() {});
    Assertions.assertTrue(member.isSealed());
    deliver(member, "b", new JoinRequest(ADDRESS.toString(), ADDRESS.toString()));
    Assertions.assertEquals(1, host.countSent("address Activate"));
    deliver(member, "c", new SealRequest(second, 0, List.of()));
    Assertions.assertEquals(2, host.countSent("address Activate"));
  }

  @Test
  void aMemberThatHearsOfALaterGenerationAsksForItAtOnce() {
    Address other = Address.of("1.1.1.2:1");
    MemberSet two =
        new MemberSet(1, List.of(MEMBERS.find("a"), new MemberSet.Member("b", "db", other, other)));
    RecordingHost host = new RecordingHost();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            MEMBERS.find("a"),
            15_000,
            Map.of(DurableState.ACTIVE_MEMBERS, two.toBytes()),
            null,
            new OwnerTasks() {});
    member.tick();
    Assertions.assertEquals(0, host.countSent("address JoinRequest"));
    member.onMessage(new Envelope(2, "b", "db", new PrepareRequest("k", 1)));
    member.tick();
    Assertions.assertTrue(host.countSent("address JoinRequest") > 0);
  }

  @Test
  void theNextGenerationIsNotActivatedBeforeAMajorityOfTheOldIsSealed() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                MEMBERS.find("a"),
                MEMBERS.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    deliver(member, "b", new SealRequest(next, 0, List.of()));
    host.completeSyncs();
    deliver(member, "a", new SealResponse(2, 0, List.of(), List.of()));
    for (int i = 0; i < 20; i++) {
      host.nowMs += 200;
      member.tick();
    }
    Assertions.assertTrue(
        host.countSent("address SealRequest") > 0, "a sealed member has to continue the change");
    Assertions.assertEquals(0, host.countSent("address Activate"));
    deliver(member, "c", new SealResponse(2, 0, List.of(), List.of()));
    host.nowMs += 200;
    member.tick();
    Assertions.assertEquals(3, host.countSent("address Activate"));
  }

  /** Keys that were never written, such as one for each replica, take almost no space. */
  @Test
  void noValueIsLargerThanTheSpaceThatTheOtherKeysLeaveOnDisk() {
    RecordingHost host = new RecordingHost();
    host.mostState = 1 << 20;
    CoreMember member = newMember(host);
    long availableBytes = member.maxValueBytes(StateKeys.CONFIGURATION);
    Assertions.assertTrue(
        availableBytes > 900_000 && availableBytes < 1 << 20, availableBytes + " bytes");
    for (int i = 0; i < 100; i++)
      member.store("commander/" + i, new Register(1, 0, VersionedValue.NONE), () -> {});
    Assertions.assertTrue(
        member.maxValueBytes(StateKeys.CONFIGURATION) > availableBytes - 100_000,
        "the space taken by 100 promises");
    availableBytes = member.maxValueBytes(StateKeys.CONFIGURATION);
    VersionedValue list = VersionedValue.NONE.next("d", new byte[500_000]);
    member.store(StateKeys.REPLICAS, new Register(1, 1, list), () -> {});
    Assertions.assertTrue(
        member.maxValueBytes(StateKeys.CONFIGURATION) <= availableBytes - 500_000);
    host.mostState = Long.MAX_VALUE;
    Assertions.assertEquals(
        CoreMember.MAX_VALUE_BYTES, member.maxValueBytes(StateKeys.CONFIGURATION));
  }

  /**
   * Guards against a core that stops for ever, found by the model checker: if the only next member
   * that took part is lost, the registers of the removed member may be the only copy, so it must
   * not stop sending them.
   */
  @Test
  void aRemovedMemberSendsItsRegistersUntilAMajorityOfTheNextMembersTakesPart() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                MEMBERS.find("b"),
                MEMBERS.find("c"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    deliver(member, "b", new SealRequest(next, 0, List.of()));
    host.completeSyncs();
    member.onMessage(new Envelope(2, "d", "dd", new Activate(next, List.of())));
    Assertions.assertTrue(member.isRetired());
    for (String sealed : new String[] {"a", "c"})
      deliver(member, sealed, new SealResponse(2, 0, List.of(), List.of()));
    host.sent.clear();
    host.nowMs += 2000;
    member.tick();
    Assertions.assertEquals(
        3, host.countSent("address Activate"), "only d takes part in the next generation");
    member.onMessage(new Envelope(2, "b", "db", new Activate(next, List.of())));
    host.sent.clear();
    host.nowMs += 2000;
    member.tick();
    Assertions.assertEquals(
        0, host.countSent("address Activate"), "b and d take part in the next generation");
  }

  @Test
  void anEmptyDiskAsksToJoinAndAnswersNothingElse() {
    RecordingHost host = new RecordingHost();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            new MemberSet.Member("a", "new disk", ADDRESS, ADDRESS),
            15_000,
            Map.of(),
            null,
            new OwnerTasks() {});
    deliver(member, "b", new PrepareRequest("k", MEMBERS.nextEpoch(0, "b")));
    deliver(member, "b", new AcceptRequest("k", MEMBERS.nextEpoch(0, "b"), VersionedValue.NONE));
    deliver(member, "b", new ConfirmRequest(1, List.of(new KeyEpoch("k", 1))));
    deliver(member, "b", new Activate(MEMBERS, List.of()));
    host.completeSyncs();
    Assertions.assertEquals(List.of(), host.sent);
    Assertions.assertFalse(
        member.isInitialized(), "a member set that lists its old disk does not make it a member");
  }

  @Test
  void aChangeDeliveredTwiceIsAnsweredOnceAndAMemberWithAnotherDiskNever() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    for (int i = 0; i < 2; i++)
      deliver(
          member,
          "b",
          new ForwardedChangeRequest(
              7, ChangeRequest.basedOnNumber(StateKeys.CONFIGURATION, -1, new byte[1])));
    Assertions.assertEquals(1, host.countSent("b ForwardedChangeResponse"));
    member.onMessage(
        new Envelope(1, "b", "another disk", new PrepareRequest("k", MEMBERS.nextEpoch(0, "b"))));
    member.onMessage(
        new Envelope(2, "b", "db", new PrepareRequest("k", MEMBERS.nextEpoch(0, "b"))));
    host.completeSyncs();
    Assertions.assertEquals(0, host.countSent("b PrepareResponse"));
  }

  @Test
  void anOwnerCommandsOnlyWithinItsLeaseAndAfterTheHandoverGapAndAReadWaitsForALaterRound() {
    RecordingHost host = new RecordingHost();
    QuorumConfig config =
        QuorumConfig.builder().commandLeaseMs(1000).commandHandoverGapMs(2500).build();
    CoreMember member =
        new CoreMember(
            host,
            config,
            MEMBERS.find("a"),
            15_000,
            Map.of(DurableState.ACTIVE_MEMBERS, MEMBERS.toBytes()),
            null,
            new OwnerTasks() {});
    String key = StateKeys.REPLICAS;
    host.nowMs += 10_000;
    stayInContactUntilElectionStarts(member, host, key);
    long epoch = member.epochOf(key);
    Assertions.assertTrue(epoch > 0, "no election started");
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new PrepareResponse(key, epoch, true, epoch, 0, VersionedValue.NONE));
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new AcceptResponse(key, epoch, 0, true, epoch));
    Assertions.assertTrue(member.owns(key));
    long promisedAtMs = host.nowMs;
    confirmByMajority(member, host);
    host.nowMs = promisedAtMs + 2500;
    confirmByMajority(member, host);
    Assertions.assertFalse(member.mayCommand(key), "within the handover gap");
    host.nowMs = promisedAtMs + 2501;
    Assertions.assertTrue(member.mayCommand(key));
    host.nowMs = promisedAtMs + 2500 + 1000;
    Assertions.assertFalse(
        member.mayCommand(key), "its last confirmation is one command lease old");
    exchangeHeartbeats(member, host, "b");
    List<ReadResult> read = new ArrayList<>();
    member.readNewest(key, read::add);
    Assertions.assertEquals(0, read.size(), "the last round began before the read");
    confirmByMajority(member, host);
    Assertions.assertTrue(read.size() == 1 && read.get(0).hasOwner() && read.get(0).number() == 0);
  }

  /** Makes the member the owner of a key with this value, which two of three members store. */
  private static void makeOwner(
      CoreMember member, RecordingHost host, String key, VersionedValue value) {
    host.nowMs += 10_000;
    stayInContactUntilElectionStarts(member, host, key);
    long epoch = member.epochOf(key);
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new PrepareResponse(key, epoch, true, epoch, 1, value));
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new AcceptResponse(key, epoch, value.number(), true, epoch));
    Assertions.assertTrue(member.owns(key));
  }

  @Test
  void aChangeWhoseSenderSentOnlyPartOfTheValueIsRecognisedByWhatWasSent() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    byte[] first = {1}, merged = {2};
    String sent = Digest.hex(new byte[] {7});
    VersionedValue value =
        VersionedValue.NONE
            .next(Digest.hex(first), first, 0, 0, "b", "")
            .next(Digest.hex(merged), merged, new VersionedValue.ChangeId(sent, 1), 0, "b", "");
    makeOwner(member, host, key, value);
    host.nowMs += QuorumConfig.DEFAULT.leaseMs() + 1;
    exchangeHeartbeats(member, host, "b");
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.repeatOf(key, 1, sent), answers::add);
    member.change(ChangeRequest.repeatOf(key, 0, sent), answers::add);
    member.change(ChangeRequest.repeatOf(key, 1, Digest.hex(new byte[] {8})), answers::add);
    confirmByMajority(member, host);
    Assertions.assertEquals(new ChangeResult.Acknowledged(2, true, 0, 0, 0), answers.get(0));
    Assertions.assertEquals(
        new ChangeResult.Conflict(2), answers.get(1), "was applied on another base");
    Assertions.assertEquals(new ChangeResult.Conflict(2), answers.get(2), "was never applied");
    Assertions.assertEquals(2, member.storedValue(key).getKey(), "a repeat writes nothing");
  }

  @Test
  void aRefusalAndARepeatedAcknowledgementWaitForARoundBegunAfterTheChangeArrived() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    byte[] first = {1}, second = {2};
    VersionedValue value =
        VersionedValue.NONE
            .next(Digest.hex(first), first, 0, 0, "b", "")
            .next(Digest.hex(second), second, 1, 0, "b", "");
    makeOwner(member, host, key, value);
    host.nowMs += QuorumConfig.DEFAULT.leaseMs() + 1;
    exchangeHeartbeats(member, host, "b");
    confirmByMajority(member, host);
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 1, new byte[] {9}), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 0, first), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 1, second), answers::add);
    Assertions.assertEquals(List.of(), answers, "the last round began before they came");
    confirmByMajority(member, host);
    Assertions.assertEquals(new ChangeResult.Conflict(2), answers.get(0));
    Assertions.assertEquals(new ChangeResult.Acknowledged(1, true, 0, 0, 0), answers.get(1));
    Assertions.assertEquals(new ChangeResult.Acknowledged(2, true, 0, 0, 0), answers.get(2));
  }

  /** Guards against a crowd of reads that shuts out whoever reads next. */
  @Test
  void moreReadsMayWaitThanChangesMayBeQueued() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    makeOwner(member, host, key, VersionedValue.NONE.next("d", new byte[1]));
    int readers = 20 * QuorumConfig.DEFAULT.maxPendingChanges();
    List<ReadResult> reads = new ArrayList<>();
    for (int i = 0; i < readers; i++) member.readNewest(key, reads::add);
    Assertions.assertEquals(0, reads.size(), "none is refused");
    confirmByMajority(member, host);
    Assertions.assertEquals(readers, reads.size());
    Assertions.assertTrue(reads.stream().allMatch(read -> read.number() == 1));
  }

  @Test
  void withoutAMajorityAConflictIsNotReportedAndTheSenderIsAnsweredWithinTheTimeout() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    makeOwner(member, host, key, VersionedValue.NONE.next("d", new byte[1]));
    List<ChangeResult> answers = new ArrayList<>();
    List<ReadResult> reads = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 0, new byte[] {9}), answers::add);
    member.readNewest(key, reads::add);
    long halfMs = ForwardedReads.READ_TIMEOUT_MS / 2;
    for (long stepMs : new long[] {halfMs, ForwardedReads.READ_TIMEOUT_MS - halfMs - 1}) {
      host.nowMs += stepMs;
      exchangeHeartbeats(member, host, "b");
    }
    Assertions.assertTrue(answers.isEmpty() && reads.isEmpty());
    host.nowMs += 1;
    member.tick();
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), answers);
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER), reads);
    Assertions.assertTrue(
        member.owns(key), "the majority may only be slow, so the member still owns the key");
  }

  @Test
  void aChangeThatDoesNotFitOnDiskWithTheOtherKeysIsTooLargeAndNeverWritten() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    deliver(
        member,
        "b",
        new AcceptRequest(
            StateKeys.CONFIGURATION, MEMBERS.nextEpoch(0, "b"), value(new byte[500_000])));
    host.completeSyncs();
    makeOwner(member, host, key, VersionedValue.NONE);
    host.mostState = 1_000_000;
    host.messages.clear();
    List<ChangeResult> answers = new ArrayList<>();
    member.change(key, 0, new byte[500_000], answers::add);
    Assertions.assertTrue(answers.get(0) instanceof ChangeResult.TooLarge, answers::toString);
    Assertions.assertEquals(0, countAcceptRequests(host, key));
    member.change(key, 0, new byte[300_000], answers::add);
    Assertions.assertEquals(1, answers.size(), "the second change is in progress");
    Assertions.assertEquals(3, countAcceptRequests(host, key));
  }

  private static VersionedValue value(byte[] body) {
    return VersionedValue.NONE.next(Digest.hex(body), body);
  }

  private static long countAcceptRequests(RecordingHost host, String key) {
    return host.messages.stream()
        .filter(
            envelope ->
                envelope.message() instanceof AcceptRequest accept && accept.key().equals(key))
        .count();
  }

  @Test
  void aChangeBasedOnAForgottenNumberIsAnsweredAsUnknown() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.REPLICAS;
    VersionedValue value = VersionedValue.NONE;
    for (int i = 0; i <= AppliedChanges.MAX_ENTRIES; i++) {
      byte[] body = {(byte) i, (byte) (i >> 8)};
      value = value.next(Digest.hex(body), body, i, 0, "b", "");
    }
    makeOwner(member, host, key, value);
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 0, new byte[] {9}), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 1, new byte[] {9}), answers::add);
    confirmByMajority(member, host);
    Assertions.assertEquals(
        List.of(
            new ChangeResult.Unknown(1), new ChangeResult.Conflict(AppliedChanges.MAX_ENTRIES + 1)),
        answers);
  }

  /** Lets the member send heartbeats and delivers one of a peer that confirms the last of them. */
  private static void exchangeHeartbeats(CoreMember member, RecordingHost host, String sender) {
    member.tick();
    Heartbeat lastHeartbeat = null;
    for (Envelope envelope : host.messages)
      if (envelope.message() instanceof Heartbeat heartbeat) lastHeartbeat = heartbeat;
    deliver(
        member,
        sender,
        new Heartbeat(
            true, 10_000, List.of(), new SendTime(7, host.nowMs), lastHeartbeat.sentAt()));
  }

  private static void stayInContactUntilElectionStarts(
      CoreMember member, RecordingHost host, String key) {
    for (int i = 0; i < 50 && member.epochOf(key) == 0; i++) {
      host.nowMs += 100;
      exchangeHeartbeats(member, host, "b");
    }
  }

  @Test
  void aPeerThatDoesNotHearThisMemberIsNotAliveAndNoElectionStartsWithoutAMajority() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    for (int i = 0; i < 100; i++) {
      host.nowMs += 100;
      member.tick();
      deliver(
          member,
          "b",
          new Heartbeat(true, 10_000, List.of(), new SendTime(7, host.nowMs), SendTime.NONE));
      deliver(
          member,
          "c",
          new Heartbeat(
              true, 10_000, List.of(), new SendTime(8, host.nowMs), new SendTime(9, host.nowMs)));
    }
    Assertions.assertEquals(Map.of("a", true, "b", false, "c", false), member.memberLiveness());
    Assertions.assertEquals(
        0, host.countSent("b PrepareRequest"), "an election without contact to a majority");
    Assertions.assertTrue(member.isUnavailable());
    exchangeHeartbeats(member, host, "b");
    Assertions.assertEquals(Map.of("a", true, "b", true, "c", false), member.memberLiveness());
    Assertions.assertFalse(member.isUnavailable());
    host.nowMs += QuorumConfig.DEFAULT.peerTimeoutMs();
    Assertions.assertEquals(Map.of("a", true, "b", false, "c", false), member.memberLiveness());
  }

  @Test
  void anOwnerWithoutContactToAMajorityClaimsNothingAndAnswersAtOnce() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.CONFIGURATION;
    host.nowMs += 10_000;
    winElection(member, host, key);
    List<ReadResult> read = new ArrayList<>();
    List<ChangeResult> changed = new ArrayList<>();
    member.readNewest(key, read::add);
    host.nowMs += QuorumConfig.DEFAULT.peerTimeoutMs() + QuorumConfig.DEFAULT.heartbeatMs();
    member.tick();
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER), read, "a read that cannot be confirmed");
    member.readNewest(key, read::add);
    member.change(key, -1, new byte[1], changed::add);
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER, ReadResult.NO_OWNER), read);
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), changed);
    Heartbeat last = null;
    for (Envelope envelope : host.messages)
      if (envelope.message() instanceof Heartbeat heartbeat) last = heartbeat;
    Assertions.assertEquals(List.of(), last.claims());
  }

  /**
   * Guards against a key that moves back and forth when a disk stalls repeatedly: each move
   * interrupts the service.
   */
  @Test
  void aKeyIsTakenBackOnlyOnceTheDiskHasBeenHealthyForAWhile() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key =
        StateKeys.PUSHED.stream()
            .filter(candidate -> MEMBERS.preferenceOrder(candidate).get(0).equals("a"))
            .findFirst()
            .orElseThrow();
    List<OwnershipClaim> claims =
        List.of(new OwnershipClaim(key, MEMBERS.nextEpoch(0, "b"), 0, 0, false));
    member.updateDiskHealth(false);
    passTimeWithOwner(member, host, claims, 2L * QuorumConfig.DEFAULT.preferredOwnerUptimeMs());
    member.updateDiskHealth(true);
    passTimeWithOwner(member, host, claims, QuorumConfig.DEFAULT.preferredOwnerUptimeMs() - 100);
    Assertions.assertEquals(0, member.epochOf(key), "the key must not be taken back at once");
    passTimeWithOwner(member, host, claims, 1000);
    Assertions.assertTrue(member.epochOf(key) > 0, "the key must be taken back");
  }

  /** Lets time pass in which the member is in contact with b, which claims these keys. */
  private static void passTimeWithOwner(
      CoreMember member, RecordingHost host, List<OwnershipClaim> claims, long durationMs) {
    for (long passedMs = 0; passedMs < durationMs; passedMs += 100) {
      host.nowMs += 100;
      member.tick();
      Heartbeat lastHeartbeat = null;
      for (Envelope envelope : host.messages)
        if (envelope.message() instanceof Heartbeat heartbeat) lastHeartbeat = heartbeat;
      deliver(
          member,
          "b",
          new Heartbeat(true, 10_000, claims, new SendTime(7, host.nowMs), lastHeartbeat.sentAt()));
    }
  }

  private static void winElection(CoreMember member, RecordingHost host, String key) {
    stayInContactUntilElectionStarts(member, host, key);
    long epoch = member.epochOf(key);
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new PrepareResponse(key, epoch, true, epoch, 0, VersionedValue.NONE));
    for (String peer : new String[] {"a", "b"})
      deliver(member, peer, new AcceptResponse(key, epoch, 0, true, epoch));
    Assertions.assertTrue(member.owns(key));
  }

  @Test
  void queuedChangesAreRefusedOnceNoMajorityIsInContact() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    String key = StateKeys.CONFIGURATION;
    host.nowMs += 10_000;
    winElection(member, host, key);
    List<ChangeResult> first = new ArrayList<>();
    List<ChangeResult> second = new ArrayList<>();
    member.change(key, -1, new byte[] {1}, first::add);
    member.change(key, -1, new byte[] {2}, second::add);
    host.nowMs += QuorumConfig.DEFAULT.peerTimeoutMs() + QuorumConfig.DEFAULT.heartbeatMs();
    member.tick();
    Assertions.assertEquals(List.of(), first, "it may have been applied");
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), second);
  }

  private static void confirmByMajority(CoreMember member, RecordingHost host) {
    host.messages.clear();
    member.requestConfirmationRound();
    member.tick();
    ConfirmRequest confirm =
        host.messages.stream()
            .map(Envelope::message)
            .filter(message -> message instanceof ConfirmRequest)
            .map(message -> (ConfirmRequest) message)
            .findFirst()
            .orElseThrow();
    for (String peer : new String[] {"a", "b"})
      deliver(
          member,
          peer,
          new CoreMessage.ConfirmResponse(
              confirm.round(),
              confirm.epochs().stream()
                  .map(
                      keyEpoch ->
                          new CoreMessage.EpochStatus(
                              keyEpoch.key(),
                              keyEpoch.epoch(),
                              true,
                              keyEpoch.epoch(),
                              keyEpoch.epoch(),
                              0))
                  .toList()));
  }

  /**
   * Guards against relays of the previous release losing their configuration during an upgrade,
   * because they cannot read the field.
   */
  @Test
  void prefixSharingIsSentOnlyToProcessesThatReportThatTheyCanReadIt() {
    RecordingHost host = new RecordingHost();
    CoreMember member = newMember(host);
    makeOwner(
        member,
        host,
        StateKeys.CONFIGURATION,
        VersionedValue.NONE.next("d", new byte[1]).withSharing(PrefixSharing.startingAt(1)));
    member.onSubscriptionRequest(subscription("earlier", StateKeys.CONFIGURATION));
    member.onSubscriptionRequest(
        subscription("present", StateKeys.CONFIGURATION, StateKeys.READS_PREFIX_SHARING));
    Assertions.assertEquals(
        List.of(-1L, 1L),
        host.pushed.stream()
            .filter(StateUpdate.ValuePush.class::isInstance)
            .map(update -> ((StateUpdate.ValuePush) update).sharingSince())
            .toList());
  }

  private static StateUpdate.SubscriptionRequest subscription(String name, String... keys) {
    List<StateUpdate.KnownVersion> known = new ArrayList<>();
    for (String key : keys) known.add(new StateUpdate.KnownVersion(key, 0, 0));
    return new StateUpdate.SubscriptionRequest(
        1, name, 1, "relay", "", "", "z", known, List.of(), List.of());
  }
}

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

/** Tests of CoreMember. */
final class CoreMemberTest {
  /** A host that keeps what is said and what is to be synced until the test lets it go. */
  private static final class Paper implements CoreHost {
    long now = 1_000_000;
    long mostState = Long.MAX_VALUE;
    final List<String> said = new ArrayList<>();
    final List<Envelope> messages = new ArrayList<>();
    final List<Runnable> syncs = new ArrayList<>();

    /** What data-plane processes were sent. */
    final List<StateUpdate> pushed = new ArrayList<>();

    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public long wallClockMs() {
      return 0;
    }

    @Override
    public long random(long below) {
      return 0;
    }

    @Override
    public void send(String member, Envelope envelope) {
      said.add(member + " " + envelope.message().getClass().getSimpleName());
      messages.add(envelope);
    }

    @Override
    public void sendTo(Address address, Envelope envelope) {
      said.add("address " + envelope.message().getClass().getSimpleName());
    }

    @Override
    public List<Address> contactAddresses() {
      return List.of();
    }

    @Override
    public void sync(String key, byte[] state, Runnable done) {
      syncs.add(done);
    }

    @Override
    public long maxStateBytes() {
      return mostState;
    }

    @Override
    public void pushUpdate(String node, StateUpdate update) {
      pushed.add(update);
    }

    @Override
    public void onMembersChanged(MemberSet members) {}

    @Override
    public void logEvent(String name, Object... pairs) {}

    void synced() {
      List<Runnable> callbacks = new ArrayList<>(syncs);
      syncs.clear();
      callbacks.forEach(Runnable::run);
    }

    long count(String what) {
      return said.stream().filter(event -> event.equals(what)).count();
    }
  }

  private static final Address ADDRESS = Address.of("1.1.1.1:1");
  private static final MemberSet THREE =
      new MemberSet(
          1,
          List.of(
              new MemberSet.Member("a", "da", ADDRESS, ADDRESS),
              new MemberSet.Member("b", "db", ADDRESS, ADDRESS),
              new MemberSet.Member("c", "dc", ADDRESS, ADDRESS)));

  private static CoreMember node(Paper host) {
    return new CoreMember(
        host,
        QuorumConfig.DEFAULT,
        THREE.find("a"),
        15_000,
        Map.of(DurableState.ACTIVE_MEMBERS, THREE.toBytes()),
        null,
        new OwnerTasks() {});
  }

  private static void from(CoreMember member, String who, CoreMessage message) {
    member.onMessage(new Envelope(1, who, "d" + who, message));
  }

  @Test
  void nothingIsAnsweredBeforeItIsOnDisk() {
    Paper host = new Paper();
    CoreMember member = node(host);
    long epoch = THREE.nextEpoch(0, "b");
    from(member, "b", new PrepareRequest("k", epoch));
    Assertions.assertEquals(0, host.count("b PrepareResponse"));
    host.synced();
    Assertions.assertEquals(1, host.count("b PrepareResponse"));
    from(member, "b", new AcceptRequest("k", epoch, VersionedValue.NONE.next("d", new byte[1])));
    Assertions.assertEquals(0, host.count("b AcceptResponse"));
    host.synced();
    Assertions.assertEquals(1, host.count("b AcceptResponse"));
    from(
        member,
        "c",
        new ConfirmRequest(1, List.of(new KeyEpoch("k", THREE.nextEpoch(epoch, "c")))));
    Assertions.assertEquals(
        0, host.count("c ConfirmResponse"), "a confirmation that raises the promise");
    host.synced();
    Assertions.assertEquals(1, host.count("c ConfirmResponse"));
  }

  @Test
  void servesOnlyOnceTheValueItReadStandsAtAMajorityUnderItsOwnEpoch() {
    Paper host = new Paper();
    CoreMember member = node(host);
    host.now += 10_000;
    inContactUntilItTries(member, host, StateKeys.CONFIGURATION);
    long epoch = member.epochOf(StateKeys.CONFIGURATION);
    Assertions.assertTrue(epoch > 0, "never tried");
    VersionedValue value = VersionedValue.NONE.next("x", new byte[] {1});
    host.now += 100;
    from(
        member,
        "a",
        new PrepareResponse(StateKeys.CONFIGURATION, epoch, true, epoch, 0, VersionedValue.NONE));
    from(member, "b", new PrepareResponse(StateKeys.CONFIGURATION, epoch, true, epoch, 5, value));
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
        "the newest value heard of, under the new epoch");
    from(member, "a", new AcceptResponse(StateKeys.CONFIGURATION, epoch, 1, true, epoch));
    Assertions.assertFalse(member.owns(StateKeys.CONFIGURATION));
    from(member, "b", new AcceptResponse(StateKeys.CONFIGURATION, epoch, 1, true, epoch));
    Assertions.assertTrue(member.owns(StateKeys.CONFIGURATION));
    Assertions.assertFalse(
        member.mayCommand(StateKeys.CONFIGURATION), "before the last owner's licence is over");
  }

  @Test
  void aSealedMemberTakesNoPartInTheOldGenerationEvenAfterARestart() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                THREE.find("a"),
                THREE.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    Paper host = new Paper();
    CoreMember member = node(host);
    from(member, "b", new SealRequest(next, 0, List.of()));
    host.synced();
    from(member, "c", new PrepareRequest("k", THREE.nextEpoch(0, "c")));
    host.synced();
    Assertions.assertEquals(0, host.count("c PrepareResponse"));
    Paper otherHost = new Paper();
    CoreMember again =
        new CoreMember(
            otherHost,
            QuorumConfig.DEFAULT,
            THREE.find("a"),
            15_000,
            Map.of(
                DurableState.ACTIVE_MEMBERS,
                THREE.toBytes(),
                DurableState.SEALED_FOR,
                next.toBytes()),
            null,
            new OwnerTasks() {});
    from(again, "c", new PrepareRequest("k", THREE.nextEpoch(0, "c")));
    otherHost.synced();
    Assertions.assertEquals(0, otherHost.count("c PrepareResponse"));
  }

  /** Else the one that lags could not be sealed, and the others may be too few without it. */
  @Test
  void aSealedMemberStillTellsItsGenerationToOneThatLags() {
    MemberSet second = new MemberSet(2, THREE.all());
    MemberSet third =
        new MemberSet(
            3,
            List.of(
                THREE.find("a"),
                THREE.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    Paper host = new Paper();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            THREE.find("a"),
            15_000,
            Map.of(
                DurableState.ACTIVE_MEMBERS,
                second.toBytes(),
                DurableState.SEALED_FOR,
                third.toBytes()),
            null,
            new OwnerTasks() {});
    Assertions.assertTrue(member.isSealed());
    from(member, "b", new JoinRequest(ADDRESS.toString(), ADDRESS.toString()));
    Assertions.assertEquals(1, host.count("address Activate"));
    from(member, "c", new SealRequest(second, 0, List.of()));
    Assertions.assertEquals(2, host.count("address Activate"));
  }

  @Test
  void aMemberThatHearsOfALaterGenerationAsksForItAtOnce() {
    Address other = Address.of("1.1.1.2:1");
    MemberSet two =
        new MemberSet(1, List.of(THREE.find("a"), new MemberSet.Member("b", "db", other, other)));
    Paper host = new Paper();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            THREE.find("a"),
            15_000,
            Map.of(DurableState.ACTIVE_MEMBERS, two.toBytes()),
            null,
            new OwnerTasks() {});
    member.tick();
    Assertions.assertEquals(0, host.count("address JoinRequest"));
    member.onMessage(new Envelope(2, "b", "db", new PrepareRequest("k", 1)));
    member.tick();
    Assertions.assertTrue(host.count("address JoinRequest") > 0);
  }

  @Test
  void theNextGenerationIsNotToldBeforeAMajorityOfTheOldIsSealed() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                THREE.find("a"),
                THREE.find("b"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    Paper host = new Paper();
    CoreMember member = node(host);
    from(member, "b", new SealRequest(next, 0, List.of()));
    host.synced();
    from(member, "a", new SealResponse(2, 0, List.of(), List.of()));
    for (int i = 0; i < 20; i++) {
      host.now += 200;
      member.tick();
    }
    Assertions.assertTrue(host.count("address SealRequest") > 0, "whoever is sealed drives it on");
    Assertions.assertEquals(0, host.count("address Activate"));
    from(member, "c", new SealResponse(2, 0, List.of(), List.of()));
    host.now += 200;
    member.tick();
    Assertions.assertEquals(3, host.count("address Activate"));
  }

  /** Keys that were never written, as one for each replica may be, take next to no room. */
  @Test
  void noValueIsLargerThanTheRoomThatTheOtherKeysLeaveOnDisk() {
    Paper host = new Paper();
    host.mostState = 1 << 20;
    CoreMember member = node(host);
    long room = member.maxValueBytes(StateKeys.CONFIGURATION);
    Assertions.assertTrue(room > 900_000 && room < 1 << 20, room + " bytes");
    for (int i = 0; i < 100; i++)
      member.store("commander/" + i, new Register(1, 0, VersionedValue.NONE), () -> {});
    Assertions.assertTrue(
        member.maxValueBytes(StateKeys.CONFIGURATION) > room - 100_000, "a hundred promises");
    room = member.maxValueBytes(StateKeys.CONFIGURATION);
    VersionedValue list = VersionedValue.NONE.next("d", new byte[500_000]);
    member.store(StateKeys.REPLICAS, new Register(1, 1, list), () -> {});
    Assertions.assertTrue(member.maxValueBytes(StateKeys.CONFIGURATION) <= room - 500_000);
    host.mostState = Long.MAX_VALUE;
    Assertions.assertEquals(
        CoreMember.MAX_VALUE_BYTES, member.maxValueBytes(StateKeys.CONFIGURATION));
  }

  /**
   * Once the one next member that took part is lost, what the member that leaves keeps may be the
   * only copy; the model checker found a core that stood still because it kept that to itself.
   */
  @Test
  void aMemberThatLeavesHandsOnWhatItKeepsUntilAMajorityOfTheNextTakesPart() {
    MemberSet next =
        new MemberSet(
            2,
            List.of(
                THREE.find("b"),
                THREE.find("c"),
                new MemberSet.Member("d", "dd", ADDRESS, ADDRESS)));
    Paper host = new Paper();
    CoreMember member = node(host);
    from(member, "b", new SealRequest(next, 0, List.of()));
    host.synced();
    member.onMessage(new Envelope(2, "d", "dd", new Activate(next, List.of())));
    Assertions.assertTrue(member.isRetired());
    for (String sealed : new String[] {"a", "c"})
      from(member, sealed, new SealResponse(2, 0, List.of(), List.of()));
    host.said.clear();
    host.now += 2000;
    member.tick();
    Assertions.assertEquals(3, host.count("address Activate"), "d alone takes part");
    member.onMessage(new Envelope(2, "b", "db", new Activate(next, List.of())));
    host.said.clear();
    host.now += 2000;
    member.tick();
    Assertions.assertEquals(0, host.count("address Activate"), "b and d take part");
  }

  @Test
  void anEmptyDiskAsksToJoinAndAnswersNothingElse() {
    Paper host = new Paper();
    CoreMember member =
        new CoreMember(
            host,
            QuorumConfig.DEFAULT,
            new MemberSet.Member("a", "new disk", ADDRESS, ADDRESS),
            15_000,
            Map.of(),
            null,
            new OwnerTasks() {});
    from(member, "b", new PrepareRequest("k", THREE.nextEpoch(0, "b")));
    from(member, "b", new AcceptRequest("k", THREE.nextEpoch(0, "b"), VersionedValue.NONE));
    from(member, "b", new ConfirmRequest(1, List.of(new KeyEpoch("k", 1))));
    from(member, "b", new Activate(THREE, List.of()));
    host.synced();
    Assertions.assertEquals(List.of(), host.said);
    Assertions.assertFalse(
        member.isInitialized(), "members with the old disk in its name don't let it in");
  }

  @Test
  void aChangeThatComesTwiceIsAnsweredOnceAndAStrangersDiskNever() {
    Paper host = new Paper();
    CoreMember member = node(host);
    for (int i = 0; i < 2; i++)
      from(
          member,
          "b",
          new ForwardedChangeRequest(
              7, ChangeRequest.basedOnNumber(StateKeys.CONFIGURATION, -1, new byte[1])));
    Assertions.assertEquals(1, host.count("b ForwardedChangeResponse"));
    member.onMessage(
        new Envelope(1, "b", "another disk", new PrepareRequest("k", THREE.nextEpoch(0, "b"))));
    member.onMessage(new Envelope(2, "b", "db", new PrepareRequest("k", THREE.nextEpoch(0, "b"))));
    host.synced();
    Assertions.assertEquals(0, host.count("b PrepareResponse"));
  }

  @Test
  void aCommanderKeepsItsLeaseAndGapAndAReadWaitsForARoundBegunAfterIt() {
    Paper host = new Paper();
    QuorumConfig config =
        QuorumConfig.builder().commandLeaseMs(1000).commandHandoverGapMs(2500).build();
    CoreMember member =
        new CoreMember(
            host,
            config,
            THREE.find("a"),
            15_000,
            Map.of(DurableState.ACTIVE_MEMBERS, THREE.toBytes()),
            null,
            new OwnerTasks() {});
    String key = StateKeys.REPLICAS;
    host.now += 10_000;
    inContactUntilItTries(member, host, key);
    long epoch = member.epochOf(key);
    Assertions.assertTrue(epoch > 0, "never tried");
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new PrepareResponse(key, epoch, true, epoch, 0, VersionedValue.NONE));
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new AcceptResponse(key, epoch, 0, true, epoch));
    Assertions.assertTrue(member.owns(key));
    long promised = host.now;
    confirmedByTwo(member, host);
    host.now = promised + 2500;
    confirmedByTwo(member, host);
    Assertions.assertFalse(member.mayCommand(key), "within the gap");
    host.now = promised + 2501;
    Assertions.assertTrue(member.mayCommand(key));
    host.now = promised + 2500 + 1000;
    Assertions.assertFalse(member.mayCommand(key), "its majority is a lease old");
    exchangeSignsOfLife(member, host, "b");
    List<ReadResult> read = new ArrayList<>();
    member.readNewest(key, read::add);
    Assertions.assertEquals(0, read.size(), "the last round began before the read");
    confirmedByTwo(member, host);
    Assertions.assertTrue(read.size() == 1 && read.get(0).hasOwner() && read.get(0).number() == 0);
  }

  /** Makes the node the owner of a key at this number; two of three members hold the value. */
  private static void serves(CoreMember member, Paper host, String key, VersionedValue value) {
    host.now += 10_000;
    inContactUntilItTries(member, host, key);
    long epoch = member.epochOf(key);
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new PrepareResponse(key, epoch, true, epoch, 1, value));
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new AcceptResponse(key, epoch, value.number(), true, epoch));
    Assertions.assertTrue(member.owns(key));
  }

  @Test
  void aChangeWhoseSenderSentLessThanTheValueIsRecognisedByWhatWasSent() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.REPLICAS;
    byte[] first = {1}, merged = {2};
    String sent = Digest.hex(new byte[] {7});
    VersionedValue value =
        VersionedValue.NONE
            .next(Digest.hex(first), first, 0, 0, "b", "")
            .next(Digest.hex(merged), merged, new VersionedValue.ChangeId(sent, 1), 0, "b", "");
    serves(member, host, key, value);
    host.now += QuorumConfig.DEFAULT.leaseMs() + 1;
    exchangeSignsOfLife(member, host, "b");
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.repeatOf(key, 1, sent), answers::add);
    member.change(ChangeRequest.repeatOf(key, 0, sent), answers::add);
    member.change(ChangeRequest.repeatOf(key, 1, Digest.hex(new byte[] {8})), answers::add);
    confirmedByTwo(member, host);
    Assertions.assertEquals(new ChangeResult.Acknowledged(2, true, 0, 0, 0), answers.get(0));
    Assertions.assertEquals(new ChangeResult.Conflict(2), answers.get(1), "on another base");
    Assertions.assertEquals(new ChangeResult.Conflict(2), answers.get(2), "never applied");
    Assertions.assertEquals(2, member.storedValue(key).getKey(), "a repeat writes nothing");
  }

  @Test
  void aRefusalAndARepeatedAnswerWaitForARoundBegunAfterTheChangeCame() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.REPLICAS;
    byte[] first = {1}, second = {2};
    VersionedValue value =
        VersionedValue.NONE
            .next(Digest.hex(first), first, 0, 0, "b", "")
            .next(Digest.hex(second), second, 1, 0, "b", "");
    serves(member, host, key, value);
    host.now += QuorumConfig.DEFAULT.leaseMs() + 1;
    exchangeSignsOfLife(member, host, "b");
    confirmedByTwo(member, host);
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 1, new byte[] {9}), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 0, first), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 1, second), answers::add);
    Assertions.assertEquals(List.of(), answers, "the last round began before they came");
    confirmedByTwo(member, host);
    Assertions.assertEquals(new ChangeResult.Conflict(2), answers.get(0));
    Assertions.assertEquals(new ChangeResult.Acknowledged(1, true, 0, 0, 0), answers.get(1));
    Assertions.assertEquals(new ChangeResult.Acknowledged(2, true, 0, 0, 0), answers.get(2));
  }

  @Test
  void withoutAMajorityNothingIsRefusedAndTheSenderHearsSoWhileItListens() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.REPLICAS;
    serves(member, host, key, VersionedValue.NONE.next("d", new byte[1]));
    List<ChangeResult> answers = new ArrayList<>();
    List<ReadResult> reads = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 0, new byte[] {9}), answers::add);
    member.readNewest(key, reads::add);
    long half = ForwardedReads.READ_TIMEOUT_MS / 2;
    for (long step : new long[] {half, ForwardedReads.READ_TIMEOUT_MS - half - 1}) {
      host.now += step;
      exchangeSignsOfLife(member, host, "b");
    }
    Assertions.assertTrue(answers.isEmpty() && reads.isEmpty());
    host.now += 1;
    member.tick();
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), answers);
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER), reads);
    Assertions.assertTrue(member.owns(key), "it may only be slow: it still tries");
  }

  @Test
  void aChangeThatTheDiskCannotHoldBesideTheRestIsTooLargeAndNeverWritten() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.REPLICAS;
    from(
        member,
        "b",
        new AcceptRequest(
            StateKeys.CONFIGURATION, THREE.nextEpoch(0, "b"), value(new byte[500_000])));
    host.synced();
    serves(member, host, key, VersionedValue.NONE);
    host.mostState = 1_000_000;
    host.messages.clear();
    List<ChangeResult> answers = new ArrayList<>();
    member.change(key, 0, new byte[500_000], answers::add);
    Assertions.assertTrue(answers.get(0) instanceof ChangeResult.TooLarge, answers::toString);
    Assertions.assertEquals(0, accepts(host, key));
    member.change(key, 0, new byte[300_000], answers::add);
    Assertions.assertEquals(1, answers.size(), "under way");
    Assertions.assertEquals(3, accepts(host, key));
  }

  private static VersionedValue value(byte[] body) {
    return VersionedValue.NONE.next(Digest.hex(body), body);
  }

  private static long accepts(Paper host, String key) {
    return host.messages.stream()
        .filter(
            envelope ->
                envelope.message() instanceof AcceptRequest accept && accept.key().equals(key))
        .count();
  }

  @Test
  void aChangeTooOldToTellIsLeftUnknown() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.REPLICAS;
    VersionedValue value = VersionedValue.NONE;
    for (int i = 0; i <= AppliedChanges.MAX_ENTRIES; i++) {
      byte[] body = {(byte) i, (byte) (i >> 8)};
      value = value.next(Digest.hex(body), body, i, 0, "b", "");
    }
    serves(member, host, key, value);
    List<ChangeResult> answers = new ArrayList<>();
    member.change(ChangeRequest.basedOnNumber(key, 0, new byte[] {9}), answers::add);
    member.change(ChangeRequest.basedOnNumber(key, 1, new byte[] {9}), answers::add);
    confirmedByTwo(member, host);
    Assertions.assertEquals(
        List.of(
            new ChangeResult.Unknown(1), new ChangeResult.Conflict(AppliedChanges.MAX_ENTRIES + 1)),
        answers);
  }

  /** Has the node send signs of life and hears of another member which of them it got. */
  private static void exchangeSignsOfLife(CoreMember member, Paper host, String who) {
    member.tick();
    Heartbeat sent = null;
    for (Envelope envelope : host.messages)
      if (envelope.message() instanceof Heartbeat heartbeat) sent = heartbeat;
    from(
        member,
        who,
        new Heartbeat(true, 10_000, List.of(), new SendTime(7, host.now), sent.sentAt()));
  }

  private static void inContactUntilItTries(CoreMember member, Paper host, String key) {
    for (int i = 0; i < 50 && member.epochOf(key) == 0; i++) {
      host.now += 100;
      exchangeSignsOfLife(member, host, "b");
    }
  }

  @Test
  void whoeverIsHeardButDoesNotHearIsNotAliveAndNoKeyIsTriedForWithoutAMajority() {
    Paper host = new Paper();
    CoreMember member = node(host);
    for (int i = 0; i < 100; i++) {
      host.now += 100;
      member.tick();
      from(
          member,
          "b",
          new Heartbeat(true, 10_000, List.of(), new SendTime(7, host.now), SendTime.NONE));
      from(
          member,
          "c",
          new Heartbeat(
              true, 10_000, List.of(), new SendTime(8, host.now), new SendTime(9, host.now)));
    }
    Assertions.assertEquals(Map.of("a", true, "b", false, "c", false), member.memberLiveness());
    Assertions.assertEquals(
        0, host.count("b PrepareRequest"), "an attempt without contact to a majority");
    Assertions.assertTrue(member.isUnavailable());
    exchangeSignsOfLife(member, host, "b");
    Assertions.assertEquals(Map.of("a", true, "b", true, "c", false), member.memberLiveness());
    Assertions.assertFalse(member.isUnavailable());
    host.now += QuorumConfig.DEFAULT.peerTimeoutMs();
    Assertions.assertEquals(Map.of("a", true, "b", false, "c", false), member.memberLiveness());
  }

  @Test
  void anOwnerWithoutContactToAMajorityClaimsNothingAndAnswersAtOnce() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.CONFIGURATION;
    host.now += 10_000;
    ownsInContact(member, host, key);
    List<ReadResult> read = new ArrayList<>();
    List<ChangeResult> changed = new ArrayList<>();
    member.readNewest(key, read::add);
    host.now += QuorumConfig.DEFAULT.peerTimeoutMs() + QuorumConfig.DEFAULT.heartbeatMs();
    member.tick();
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER), read, "a read that can't be confirmed");
    member.readNewest(key, read::add);
    member.change(key, -1, new byte[1], changed::add);
    Assertions.assertEquals(List.of(ReadResult.NO_OWNER, ReadResult.NO_OWNER), read);
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), changed);
    Heartbeat last = null;
    for (Envelope envelope : host.messages)
      if (envelope.message() instanceof Heartbeat heartbeat) last = heartbeat;
    Assertions.assertEquals(List.of(), last.claims());
  }

  /** A disk that stalls now and then must not move a key to and fro: each move costs a pause. */
  @Test
  void aKeyIsTakenBackOnlyOnceTheDiskHasBeenWellForAWhile() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key =
        StateKeys.PUSHED.stream()
            .filter(candidate -> THREE.preferenceOrder(candidate).get(0).equals("a"))
            .findFirst()
            .orElseThrow();
    List<OwnershipClaim> claim =
        List.of(new OwnershipClaim(key, THREE.nextEpoch(0, "b"), 0, 0, false));
    member.updateDiskHealth(false);
    passWithOwner(member, host, claim, 2L * QuorumConfig.DEFAULT.preferredOwnerUptimeMs());
    member.updateDiskHealth(true);
    passWithOwner(member, host, claim, QuorumConfig.DEFAULT.preferredOwnerUptimeMs() - 100);
    Assertions.assertEquals(0, member.epochOf(key), "taken back at once");
    passWithOwner(member, host, claim, 1000);
    Assertions.assertTrue(member.epochOf(key) > 0, "never taken back");
  }

  /** Lets time pass in which the node is in contact with b, which owns these keys. */
  private static void passWithOwner(
      CoreMember member, Paper host, List<OwnershipClaim> claim, long durationMs) {
    for (long passed = 0; passed < durationMs; passed += 100) {
      host.now += 100;
      member.tick();
      Heartbeat sent = null;
      for (Envelope envelope : host.messages)
        if (envelope.message() instanceof Heartbeat heartbeat) sent = heartbeat;
      from(
          member,
          "b",
          new Heartbeat(true, 10_000, claim, new SendTime(7, host.now), sent.sentAt()));
    }
  }

  private static void ownsInContact(CoreMember member, Paper host, String key) {
    inContactUntilItTries(member, host, key);
    long epoch = member.epochOf(key);
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new PrepareResponse(key, epoch, true, epoch, 0, VersionedValue.NONE));
    for (String peer : new String[] {"a", "b"})
      from(member, peer, new AcceptResponse(key, epoch, 0, true, epoch));
    Assertions.assertTrue(member.owns(key));
  }

  @Test
  void changesThatWaitBehindAnotherAreRefusedOnceNoMajorityIsInContact() {
    Paper host = new Paper();
    CoreMember member = node(host);
    String key = StateKeys.CONFIGURATION;
    host.now += 10_000;
    ownsInContact(member, host, key);
    List<ChangeResult> first = new ArrayList<>();
    List<ChangeResult> second = new ArrayList<>();
    member.change(key, -1, new byte[] {1}, first::add);
    member.change(key, -1, new byte[] {2}, second::add);
    host.now += QuorumConfig.DEFAULT.peerTimeoutMs() + QuorumConfig.DEFAULT.heartbeatMs();
    member.tick();
    Assertions.assertEquals(List.of(), first, "it may have been taken");
    Assertions.assertEquals(List.of(new ChangeResult.NoOwner()), second);
  }

  private static void confirmedByTwo(CoreMember member, Paper host) {
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
    for (String message : new String[] {"a", "b"})
      from(
          member,
          message,
          new CoreMessage.ConfirmResponse(
              confirm.round(),
              confirm.epochs().stream()
                  .map(
                      x ->
                          new CoreMessage.EpochStatus(
                              x.key(), x.epoch(), true, x.epoch(), x.epoch(), 0))
                  .toList()));
  }

  /** Guards against relays of the release before losing their configuration in an upgrade. */
  @Test
  void sharedPrefixesAreToldToThoseAloneWhoSayThatTheyCanReadIt() {
    Paper host = new Paper();
    CoreMember member = node(host);
    serves(
        member,
        host,
        StateKeys.CONFIGURATION,
        VersionedValue.NONE.next("d", new byte[1]).withSharing(PrefixSharing.startingAt(1)));
    member.onSubscriptionRequest(asks("earlier", StateKeys.CONFIGURATION));
    member.onSubscriptionRequest(
        asks("present", StateKeys.CONFIGURATION, StateKeys.READS_PREFIX_SHARING));
    Assertions.assertEquals(
        List.of(-1L, 1L),
        host.pushed.stream()
            .filter(StateUpdate.ValuePush.class::isInstance)
            .map(update -> ((StateUpdate.ValuePush) update).sharingSince())
            .toList());
  }

  private static StateUpdate.SubscriptionRequest asks(String name, String... keys) {
    List<StateUpdate.KnownVersion> known = new ArrayList<>();
    for (String key : keys) known.add(new StateUpdate.KnownVersion(key, 0, 0));
    return new StateUpdate.SubscriptionRequest(
        1, name, 1, "relay", "", "", "z", known, List.of(), List.of());
  }
}

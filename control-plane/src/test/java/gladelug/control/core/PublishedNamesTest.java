package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.Digest;
import gladelug.common.message.StateUpdate;
import gladelug.common.message.WireRecord;
import gladelug.control.core.config.BootstrapVote;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Envelope;
import gladelug.control.core.message.ReadResult;
import gladelug.control.core.register.DurableState;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterRecord;
import gladelug.control.core.register.RegisterVersion;
import gladelug.control.core.register.VersionedValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Compares what core members of different releases must agree on with literals: the bytes of each
 * message between them and the names of the entries on disk. Classes and constants may be renamed
 * freely; a literal here changes only with a new version of the wire format.
 */
final class PublishedNamesTest {
  private static VersionedValue value() {
    byte[] body = "b".getBytes(StandardCharsets.UTF_8);
    return VersionedValue.NONE.next(Digest.hex(body), body, 7, 8, "core-a", "why");
  }

  private static MemberSet members() {
    return new MemberSet(
        3,
        List.of(
            new MemberSet.Member("a", "d", Address.of("10.0.0.1:1"), Address.of("10.0.0.1:2"))));
  }

  private static CoreMessage changeResponse(ChangeResult result) {
    return new CoreMessage.ForwardedChangeResponse(1, result);
  }

  /** Returns an example of each message and of each result of a change, by a name of its own. */
  static Map<String, CoreMessage> examples() {
    Map<String, CoreMessage> examples = new LinkedHashMap<>();
    List<RegisterRecord> registers =
        List.of(new RegisterRecord("policy", new Register(1, 0, VersionedValue.NONE).toBytes()));
    List<RegisterVersion> versions = List.of(new RegisterVersion("policy", 1, 2));
    StateUpdate.SubscriptionRequest subscription =
        new StateUpdate.SubscriptionRequest(
            1, "r", 2, "relay", "a", "b", "z", List.of(), List.of(), List.of());
    examples.put(
        "alive",
        new CoreMessage.Heartbeat(
            true,
            2,
            List.of(new CoreMessage.OwnershipClaim("policy", 3, 4, 5, true)),
            new CoreMessage.SendTime(6, 7),
            new CoreMessage.SendTime(8, 9)));
    examples.put("promise", new CoreMessage.PrepareRequest("policy", 1, true));
    examples.put("promised", new CoreMessage.PrepareResponse("policy", 1, true, 2, 3, value()));
    examples.put("accept", new CoreMessage.AcceptRequest("policy", 1, value()));
    examples.put("accepted", new CoreMessage.AcceptResponse("policy", 1, 2, true, 3));
    examples.put(
        "confirm",
        new CoreMessage.ConfirmRequest(1, List.of(new CoreMessage.KeyEpoch("policy", 2))));
    examples.put(
        "confirmed",
        new CoreMessage.ConfirmResponse(
            1, List.of(new CoreMessage.EpochStatus("policy", 2, true, 3, 4, 5))));
    examples.put(
        "change",
        new CoreMessage.ForwardedChangeRequest(
            1, new ChangeRequest("policy", 2, 3, new byte[] {4, 5})));
    examples.put("changed: done", changeResponse(new ChangeResult.Acknowledged(2, true, 3, 4, 5)));
    examples.put("changed: stale", changeResponse(new ChangeResult.Conflict(2)));
    examples.put("changed: unknown", changeResponse(new ChangeResult.Unknown(2)));
    examples.put("changed: busy", changeResponse(new ChangeResult.QueueFull()));
    examples.put("changed: no owner", changeResponse(new ChangeResult.NoOwner()));
    examples.put("changed: too large", changeResponse(new ChangeResult.TooLarge(2, 3)));
    examples.put(
        "meet", new CoreMessage.BootstrapAnnouncement("10.0.0.1:1", "10.0.0.1:2", members()));
    examples.put("settled", new CoreMessage.Activate(members(), registers));
    examples.put("join", new CoreMessage.JoinRequest("10.0.0.1:1", "10.0.0.1:2"));
    examples.put("seal", new CoreMessage.SealRequest(members(), 1, versions));
    examples.put("sealed", new CoreMessage.SealResponse(4, 1, registers, versions));
    examples.put("carry", new CoreMessage.RelayedSubscriptionRequest(subscription));
    examples.put(
        "carried",
        new CoreMessage.RelayedStateUpdate("r", new StateUpdate.FullValueRequest("policy")));
    examples.put("read", new CoreMessage.ForwardedReadRequest(1, "policy"));
    examples.put("read done", new CoreMessage.ForwardedReadResponse(1, ReadResult.of(value())));
    examples.put("leaving", new CoreMessage.DrainNotice());
    examples.put(
        "bootstrap ballot",
        new CoreMessage.BootstrapBallot(
            "10.0.0.1:1",
            "10.0.0.1:2",
            true,
            new BootstrapVote(true, 513, 256, members()),
            Map.of("core-b", "disk-b")));
    return examples;
  }

  private static final Map<String, String> BYTES =
      Map.ofEntries(
          Map.entry(
              "alive",
              "0100000000000000030006636f72652d6100046469736b010000000000000002000000010006706f6c696379"
                  + "0000000000000003000000000000000400000000000000050100000000000000060000000000000007000000"
                  + "00000000080000000000000009"),
          Map.entry(
              "bootstrap ballot",
              "1f00000000000000030006636f72652d6100046469736b000a31302e302e302e313a31000a31302e302e"
                  + "302e313a3201010000000000000201000000000000010000000000000000030000000100016100016400"
                  + "0a31302e302e302e313a31000a31302e302e302e313a32000000010006636f72652d6200066469736b2d"
                  + "62"),
          Map.entry(
              "promise",
              "0200000000000000030006636f72652d6100046469736b0006706f6c696379000000000000000101"),
          Map.entry(
              "promised",
              "0300000000000000030006636f72652d6100046469736b0006706f6c69637900000000000000010100000000"
                  + "0000000200000000000000030000000000000001004033653233653831363030333935393461333338393466"
                  + "3635363465316231333438626264376130303838643432633461636237336565616564353963303039640000"
                  + "0001000000000000000100403365323365383136303033393539346133333839346636353634653162313334"
                  + "3862626437613030383864343263346163623733656561656435396330303964000000016200000000000000"
                  + "080006636f72652d610003776879ffffffffffffffff0000000100000000000000013e23e8160039594a3389"
                  + "4f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d0000000000000007"),
          Map.entry(
              "accept",
              "0400000000000000030006636f72652d6100046469736b0006706f6c69637900000000000000010000000000"
                  + "0000010040336532336538313630303339353934613333383934663635363465316231333438626264376130"
                  + "3038386434326334616362373365656165643539633030396400000001000000000000000100403365323365"
                  + "3831363030333935393461333338393466363536346531623133343862626437613030383864343263346163"
                  + "623733656561656435396330303964000000016200000000000000080006636f72652d610003776879ffffff"
                  + "ffffffffff0000000100000000000000013e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73ee"
                  + "aed59c009d0000000000000007"),
          Map.entry(
              "accepted",
              "0500000000000000030006636f72652d6100046469736b0006706f6c69637900000000000000010000000000"
                  + "000002010000000000000003"),
          Map.entry(
              "confirm",
              "0600000000000000030006636f72652d6100046469736b0000000000000001000000010006706f6c69637900"
                  + "00000000000002"),
          Map.entry(
              "confirmed",
              "0700000000000000030006636f72652d6100046469736b0000000000000001000000010006706f6c69637900"
                  + "0000000000000201000000000000000300000000000000040000000000000005"),
          Map.entry(
              "change",
              "0800000000000000030006636f72652d6100046469736b00000000000000010006706f6c6963790000000000"
                  + "0000020000000204050000000000000003"),
          Map.entry(
              "changed: done",
              "0900000000000000030006636f72652d6100046469736b000000000000000101000000000000000201000000"
                  + "03000000040000000000000005"),
          Map.entry(
              "changed: stale",
              "0900000000000000030006636f72652d6100046469736b0000000000000001020000000000000002"),
          Map.entry(
              "changed: unknown",
              "0900000000000000030006636f72652d6100046469736b0000000000000001030000000000000002"),
          Map.entry(
              "changed: busy", "0900000000000000030006636f72652d6100046469736b000000000000000104"),
          Map.entry(
              "changed: no owner",
              "0900000000000000030006636f72652d6100046469736b000000000000000105"),
          Map.entry(
              "changed: too large",
              "0900000000000000030006636f72652d6100046469736b000000000000000106000000000000000200000000"
                  + "00000003"),
          Map.entry(
              "meet",
              "0a00000000000000030006636f72652d6100046469736b000a31302e302e302e313a31000a31302e302e302e"
                  + "313a32000000000000000300000001000161000164000a31302e302e302e313a31000a31302e302e302e313a"
                  + "32"),
          Map.entry(
              "settled",
              "0b00000000000000030006636f72652d6100046469736b000000000000000300000001000161000164000a31"
                  + "302e302e302e313a31000a31302e302e302e313a32000000010006706f6c6963790000002e00000000000000"
                  + "010000000000000000000000000000000000000000000000000000ffffffffffffffff00000000"),
          Map.entry(
              "join",
              "0c00000000000000030006636f72652d6100046469736b000a31302e302e302e313a31000a31302e302e302e"
                  + "313a32"),
          Map.entry(
              "seal",
              "0d00000000000000030006636f72652d6100046469736b000000000000000300000001000161000164000a31"
                  + "302e302e302e313a31000a31302e302e302e313a320000000000000001000000010006706f6c696379000000"
                  + "00000000010000000000000002"),
          Map.entry(
              "sealed",
              "0e00000000000000030006636f72652d6100046469736b000000000000000400000000000000010000000100"
                  + "06706f6c6963790000002e000000000000000100000000000000000000000000000000000000000000000000"
                  + "00ffffffffffffffff00000000000000010006706f6c69637900000000000000010000000000000002"),
          Map.entry(
              "carry",
              "0f00000000000000030006636f72652d6100046469736b000000300100000000000000010001720000000000"
                  + "000002000572656c617900016100016200017a000000000000000000000000"),
          Map.entry(
              "carried",
              "1000000000000000030006636f72652d6100046469736b00017200000009040006706f6c696379"),
          Map.entry(
              "read",
              "1100000000000000030006636f72652d6100046469736b00000000000000010006706f6c696379"),
          Map.entry(
              "read done",
              "1200000000000000030006636f72652d6100046469736b000000000000000101000000000000000100403365"
                  + "3233653831363030333935393461333338393466363536346531623133343862626437613030383864343263"
                  + "3461636237336565616564353963303039640000000100000000000000010040336532336538313630303339"
                  + "3539346133333839346636353634653162313334386262643761303038386434326334616362373365656165"
                  + "6435396330303964000000016200000000000000080006636f72652d610003776879ffffffffffffffff0000"
                  + "000100000000000000013e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d0000"
                  + "000000000007"),
          Map.entry("leaving", "1e00000000000000030006636f72652d6100046469736b"));

  static byte[] bytes(CoreMessage message) {
    return WireRecord.encode(new Envelope(3, "core-a", "disk", message));
  }

  @Test
  void eachMessageHasItsPublishedBytes() {
    Map<String, String> now = new LinkedHashMap<>();
    examples().forEach((name, message) -> now.put(name, HexFormat.of().formatHex(bytes(message))));
    Assertions.assertEquals(BYTES, now);
  }

  @Test
  void thePublishedBytesAreReadAsTheSameMessage() throws IOException {
    for (Map.Entry<String, String> entry : BYTES.entrySet()) {
      Envelope read = WireRecord.decode(HexFormat.of().parseHex(entry.getValue()), Envelope::read);
      Assertions.assertEquals(entry.getValue(), HexFormat.of().formatHex(WireRecord.encode(read)));
    }
  }

  @Test
  void theExamplesCoverAllMessagesAndResults() {
    Set<Class<?>> known = new HashSet<>();
    for (CoreMessage example : examples().values()) {
      known.add(example.getClass());
      if (example instanceof CoreMessage.ForwardedChangeResponse changed)
        known.add(changed.result().getClass());
    }
    Set<Class<?>> all = new HashSet<>(Arrays.asList(CoreMessage.class.getPermittedSubclasses()));
    all.addAll(Arrays.asList(ChangeResult.class.getPermittedSubclasses()));
    Assertions.assertEquals(all, known);
  }

  /**
   * An unreadable record is reported under each known name and under no other, which shows that the
   * name is known.
   */
  @Test
  void theEntriesOnDiskHaveTheirPublishedNames() {
    byte[] unreadable = {9};
    Set<String> found = new TreeSet<>();
    for (String name :
        List.of(
            "cell/policy",
            "epochs/policy",
            "members",
            "sealed",
            "pinned",
            "bootstrap-vote",
            "policy",
            "other"))
      DurableState.validate(Map.of(name, unreadable), "core-a", "disk")
          .forEach(finding -> found.add(finding.place()));
    Assertions.assertEquals(
        Set.of("cell/policy", "epochs/policy", "members", "sealed", "pinned", "bootstrap-vote"),
        found);
    Assertions.assertEquals("policy", StateDecoder.keyOf("cell/policy"));
    Assertions.assertEquals("policy", StateDecoder.keyOf("epochs/policy"));
    Assertions.assertEquals(
        List.of("members", "sealed", "pinned", "bootstrap-vote"),
        List.of(
            StateDecoder.MEMBERS_ENTRY,
            StateDecoder.SEALED_ENTRY,
            DurableState.BOOTSTRAP_SET,
            DurableState.BOOTSTRAP_VOTE));
  }
}

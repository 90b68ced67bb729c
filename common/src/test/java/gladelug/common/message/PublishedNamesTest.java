package gladelug.common.message;

import java.io.IOException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Compares the encoding of each record, the protocol names and the key names with literals, because
 * processes of different releases must agree on them. Classes and constants may be renamed freely;
 * a literal here changes only with a new version of the wire format.
 */
final class PublishedNamesTest {
  private static final byte[] BLOB = {1, 2, (byte) 0xff};

  /** Returns an example of each record type, with at least one entry in every list. */
  static Map<String, WireRecord> examples() {
    Map<String, WireRecord> examples = new LinkedHashMap<>();
    examples.put("hello", new Hello("core/1", "core-a"));
    examples.put(
        "news ask",
        new StateUpdate.SubscriptionRequest(
            5,
            "r1",
            77,
            "relay",
            "127.0.0.1:1",
            "127.0.0.1:2",
            "z",
            List.of(new StateUpdate.KnownVersion("policy", 1, 2)),
            List.of(new StateUpdate.QuotaDemand("s", "t/x", 3, 4)),
            List.of(new StateUpdate.ServiceCapacity("s", 9))));
    examples.put(
        "news grants",
        new StateUpdate.LeaseGrants(
            5, List.of(new StateUpdate.LeaseGrant("weights", 1, 2, 3, 4)), 6));
    examples.put("news push", new StateUpdate.ValuePush("policy", 1, 2, -1, "ab", BLOB));
    examples.put(
        "news push with sharing", new StateUpdate.ValuePush("policy", 1, 2, -1, "ab", BLOB, 7));
    examples.put("news whole", new StateUpdate.FullValueRequest("policy"));
    examples.put(
        "news allot",
        new StateUpdate.CapacityGrant(
            1, "s", true, List.of(new StateUpdate.QuotaAllotment("t/x", 1500))));
    examples.put("lookup question", new Lookup.Query(1, new long[] {2, -3}));
    examples.put(
        "lookup answer", new Lookup.Response(1, true, List.of(new Lookup.Match("i-1", 2, 3))));
    examples.put("lookup placed", new Lookup.Placement("i-1", new long[] {2, -3}));
    examples.put("reasons batch", new DecisionRecords.Batch("r1", "run", 1, 2, 3, 4, BLOB));
    List<Shuffle.Descriptor> some =
        List.of(new Shuffle.Descriptor("r1", "relay", "127.0.0.1:1", "127.0.0.1:2", "z", 5, 6));
    examples.put("shuffle request", new Shuffle.Request(some));
    examples.put("shuffle answer", new Shuffle.Response(some));
    return examples;
  }

  private static final Map<String, String> BYTES =
      Map.ofEntries(
          Map.entry("hello", "010006636f72652f310006636f72652d61"),
          Map.entry(
              "news ask",
              "01000000000000000500027231000000000000004d000572656c6179000b3132372e302e302e313a31000b31"
                  + "32372e302e302e313a3200017a000000010006706f6c69637900000000000000010000000000000002000000"
                  + "010001730003742f7800000003000000040000000100017300000009"),
          Map.entry(
              "news grants",
              "0200000000000000050000000100077765696768747300000000000000010000000000000002000000030000"
                  + "000400000006"),
          Map.entry(
              "news push",
              "030006706f6c69637900000000000000010000000000000002ffffffffffffffff00026162000000030102ff"),
          Map.entry(
              "news push with sharing",
              "060006706f6c69637900000000000000010000000000000002ffffffffffffffff00026162000000030102ff"
                  + "0000000000000007"),
          Map.entry("news whole", "040006706f6c696379"),
          Map.entry("news allot", "05000000000000000100017301000000010003742f78000005dc"),
          Map.entry(
              "lookup question", "010000000000000001000000020000000000000002fffffffffffffffd"),
          Map.entry("lookup answer", "02000000000000000101000000010003692d310000000200000003"),
          Map.entry("lookup placed", "030003692d31000000020000000000000002fffffffffffffffd"),
          Map.entry(
              "reasons batch",
              "0100027231000372756e00000000000000010000000000000002000000000000000300000000000000040000"
                  + "00030102ff"),
          Map.entry(
              "shuffle request",
              "010000000100027231000572656c6179000b3132372e302e302e313a31000b3132372e302e302e313a320001"
                  + "7a000000000000000500000006"),
          Map.entry(
              "shuffle answer",
              "020000000100027231000572656c6179000b3132372e302e302e313a31000b3132372e302e302e313a320001"
                  + "7a000000000000000500000006"));

  @Test
  void eachRecordKeepsItsPublishedEncoding() {
    Map<String, String> now = new LinkedHashMap<>();
    examples()
        .forEach(
            (name, record) -> now.put(name, HexFormat.of().formatHex(WireRecord.encode(record))));
    Assertions.assertEquals(BYTES, now);
  }

  static WireRecord read(String name, byte[] bytes) throws IOException {
    return switch (name.split(" ")[0]) {
      case "hello" -> WireRecord.decode(bytes, Hello::read);
      case "news" -> WireRecord.decode(bytes, StateUpdate::read);
      case "lookup" -> WireRecord.decode(bytes, Lookup::read);
      case "reasons" -> WireRecord.decode(bytes, DecisionRecords::read);
      case "shuffle" -> WireRecord.decode(bytes, Shuffle::read);
      default -> throw new AssertionError(name);
    };
  }

  @Test
  void thePublishedEncodingIsReadAsTheSameRecord() throws IOException {
    for (Map.Entry<String, String> entry : BYTES.entrySet()) {
      WireRecord record = read(entry.getKey(), HexFormat.of().parseHex(entry.getValue()));
      Assertions.assertEquals(examples().get(entry.getKey()).getClass(), record.getClass());
      Assertions.assertEquals(
          entry.getValue(), HexFormat.of().formatHex(WireRecord.encode(record)));
    }
  }

  @Test
  void everyRecordTypeHasAnExample() {
    Set<Class<?>> known =
        examples().values().stream().map(WireRecord::getClass).collect(Collectors.toSet());
    for (Class<?> protocol :
        List.of(StateUpdate.class, Lookup.class, DecisionRecords.class, Shuffle.class))
      Assertions.assertTrue(
          known.containsAll(Set.of(protocol.getPermittedSubclasses())), protocol::toString);
  }

  @Test
  void protocolsAndKeysKeepTheirPublishedNames() {
    Assertions.assertEquals(
        List.of("core/1", "news/1", "shuffle/1", "lookup/1", "reasons/1"),
        List.of(
            Hello.CORE, Hello.STATE_UPDATES, Hello.SHUFFLE, Hello.LOOKUP, Hello.DECISION_RECORDS));
    Assertions.assertEquals(
        List.of("policy", "weights", "replicas", "core", "shares", "commander/"),
        List.of(
            StateKeys.CONFIGURATION,
            StateKeys.WEIGHTS,
            StateKeys.REPLICAS,
            StateKeys.CORE,
            StateKeys.SHARES,
            StateKeys.REPLICA_CONTROLLER_PREFIX));
    Assertions.assertEquals(List.of("policy", "weights", "replicas"), StateKeys.LEASED);
    Assertions.assertEquals(List.of("policy", "weights", "replicas", "core"), StateKeys.PUSHED);
  }

  @Test
  void theKeysOfReplicasAreDividedAsInEarlierProcesses() {
    Assertions.assertEquals("commander/group-8", StateKeys.replicaControllerKey("i-7f3a91c2"));
  }

  /** Guards against a core that keeps a key for every start of a replica, for good. */
  @Test
  void howeverManyReplicasComeAndGoTheirKeysAreFew() {
    Set<String> keys = new HashSet<>();
    for (int i = 0; i < 20_000; i++) keys.add(StateKeys.replicaControllerKey("i-" + i));
    Assertions.assertEquals(32, keys.size());
  }
}

package gladelug.common.configuration;

import gladelug.common.Address;
import gladelug.common.Result;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * The fields of the values of keys, held against literals: they are on members' disks, go to relays
 * of other releases, and operators write the configuration.
 */
final class PublishedNamesTest {
  private static final String WEIGHTS_2 = "{\"s\":{\"now\":\"w2\",\"before\":\"w1\",\"nr\":2}}";

  private static <T> T good(Result<T> result) {
    Assertions.assertInstanceOf(Result.Good.class, result, result.toString());
    return ((Result.Good<T>) result).value();
  }

  /** How a document is read. */
  private interface Reading {
    Result<?> read(String document);
  }

  /** Each field, wherever it stands, is read: under another name something else comes out. */
  private static void eachFieldIsRead(String document, Reading reading) {
    Object whole = good(reading.read(document));
    Matcher field = Pattern.compile("\"(\\w+)\":").matcher(document);
    while (field.find()) {
      String other =
          document.substring(0, field.start()) + "\"x\":" + document.substring(field.end());
      Result<?> read = reading.read(other);
      if (read instanceof Result.Good<?> good)
        Assertions.assertNotEquals(whole, good.value(), field.group() + " at " + field.start());
    }
  }

  @Test
  void weightsHaveTheseFields() {
    String written =
        Weights.NONE.withAssignment("s", "w1", 1).withAssignment("s", "w2", 2).toJson();
    Assertions.assertEquals(WEIGHTS_2, written);
    Assertions.assertEquals(WEIGHTS_2, good(Weights.parse(WEIGHTS_2)).toJson());
  }

  @Test
  void replicasHaveTheseFields() {
    Address address = Address.of("10.0.0.1:80");
    List<Replicas.Replica> all =
        List.of(
            new Replicas.Replica("s", "i", address, "z", true, 4, Map.of("m", "3")),
            new Replicas.Replica("s", "j", address, "z", false));
    String text =
        "{\"replicas\":[{\"service\":\"s\",\"instance\":\"i\",\"address\":\"10.0.0.1:80\","
            + "\"domain\":\"z\",\"state\":\"ready\",\"slots\":4,\"weights\":{\"m\":\"3\"}},"
            + "{\"service\":\"s\",\"instance\":\"j\",\"address\":\"10.0.0.1:80\","
            + "\"domain\":\"z\",\"state\":\"leaving\"}]}";
    Assertions.assertEquals(text, new Replicas(all).toJson());
    Assertions.assertEquals(all, good(Replicas.parse(text)).all);
  }

  @Test
  void theListOfTheCoresMembersHasTheseFields() {
    CoreMemberList list =
        new CoreMemberList(
            List.of(
                new CoreMemberList.Member(
                    "a", Address.of("10.0.0.1:1"), Address.of("10.0.0.1:2"))));
    String text =
        "{\"members\":[{\"name\":\"a\",\"records\":\"10.0.0.1:1\",\"operator\":\"10.0.0.1:2\"}]}";
    Assertions.assertEquals(text, list.toJson());
    Assertions.assertEquals(list, good(CoreMemberList.parse(text)));
  }

  private static String told(Configuration configuration) {
    return String.join(
        "\n",
        configuration.services.toString(),
        configuration.routes.toString(),
        configuration.tenants.toString());
  }

  @Test
  void aConfigurationHasTheseFields() {
    String document =
        """
        {"services":[{"name":"s","kind":"application","allow":["10.0.0.0/8"]}],
         "mappings":[{"name":"m","path":"/a","service":"s","expiryMs":60,"repeatable":true,
          "attempts":3,"maxBodyBytes":65}],
         "tenants":[{"name":"t","keys":["sha256:%s"],"weight":2,"tier":3,"limit":40,"isolated":true,
          "shares":[{"name":"u","weight":4,"tier":5,"limit":6,"mappings":["m"]},
           {"name":"v","shares":[{"name":"w"}]}]}]}
        """
            .formatted("ab".repeat(32));
    eachFieldIsRead(
        document,
        text ->
            Configuration.parse(text).flatMap(configuration -> Result.good(told(configuration))));
    for (String kind : List.of("model", "application"))
      good(Configuration.parse(document.replace("application", kind)));
  }
}

package gladelug.control;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ChangeSummary. */
final class ChangeSummaryTest {
  private static final String KEY = "'sha256:" + "a1".repeat(32) + "'";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Configuration configuration(String services, String mappings, String tenants) {
    String json =
        ("{'services':["
                + services
                + "],'mappings':["
                + mappings
                + "],'tenants':["
                + tenants
                + "]}")
            .replace('\'', '"');
    if (Configuration.parse(json) instanceof Result.Good<Configuration> good) return good.value();
    throw new AssertionError(Configuration.parse(json).toString());
  }

  private static String service(String name) {
    return "{'name':'" + name + "','allow':['10.0.0.0/8']}";
  }

  private static String route(String name, String path, String service) {
    return "{'name':'" + name + "','path':'" + path + "','service':'" + service + "'}";
  }

  private static String tenant(String keys) {
    return "{'name':'t','keys':[" + keys + "]}";
  }

  @Test
  void namesWhatCameWentAndChangedAndNeverAKey() {
    Configuration before =
        configuration(
            service("s"), route("x", "/x", "s") + "," + route("y", "/y", "s"), tenant(KEY));
    Configuration after =
        configuration(
            service("s"), route("x", "/z", "s") + "," + route("v", "/v", "s"), tenant(""));
    Assertions.assertEquals(
        "mappings new: v; mappings gone: y; mappings changed: x; tenants changed: t",
        ChangeSummary.summarizeConfiguration(before, after));
  }

  @Test
  void aRouteThatGoesToAnotherServiceChangedAndOneWhosePlaceMovedDidNot() {
    Configuration before =
        configuration(
            service("s") + "," + service("u"),
            route("x", "/x", "s") + "," + route("y", "/y", "s"),
            tenant(KEY));
    Configuration after =
        configuration(
            service("u") + "," + service("s"),
            route("y", "/y", "s") + "," + route("x", "/x", "u"),
            tenant(KEY));
    Assertions.assertEquals(
        "mappings changed: x", ChangeSummary.summarizeConfiguration(before, after));
    Assertions.assertEquals(
        "nothing that has a name", ChangeSummary.summarizeConfiguration(after, after));
  }

  @Test
  void weightsAreNamedWithWhatTheyWereBefore() {
    Assertions.assertEquals(
        "m from w1 to w2",
        ChangeSummary.summarizeWeights(
            bytes("{\"m\":{\"now\":\"w1\"}}"),
            bytes("{\"m\":{\"now\":\"w2\",\"before\":\"w1\"}}")));
    Assertions.assertEquals("", ChangeSummary.summarizeWeights(bytes("no JSON"), bytes("{}")));
  }

  @Test
  void aConfigurationThatCannotBeReadHasNoSummary() {
    ControlOwnerTasks tasks = new ControlOwnerTasks(Configuration::parse);
    Assertions.assertEquals("", tasks.summarizeChange("policy", bytes("no JSON"), bytes("{}")));
  }
}

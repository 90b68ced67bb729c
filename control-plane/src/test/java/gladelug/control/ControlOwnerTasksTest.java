package gladelug.control;

import gladelug.common.Digest;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateKeys;
import gladelug.control.core.register.VersionedValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of ControlOwnerTasks: what the owner of the configuration records of shared prefixes. */
final class ControlOwnerTasksTest {
  private final List<String> parsed = new ArrayList<>();
  private final ControlOwnerTasks tasks =
      new ControlOwnerTasks(
          text -> {
            parsed.add(text);
            return Configuration.parse(text);
          });

  private static byte[] configuration(boolean isolated, int marker) {
    return ("{\"services\":[],\"mappings\":[],\"tenants\":[{\"name\":\"t\",\"keys\":[],\"isolated\":"
            + isolated
            + ",\"weight\":"
            + marker
            + "}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private VersionedValue after(VersionedValue before, byte[] body) {
    PrefixSharing sharing = tasks.prefixSharing(StateKeys.CONFIGURATION, before, body);
    return before.next(Digest.hex(body), body).withSharing(sharing);
  }

  @Test
  void aConfigurationThatIsolatesATenantThatSharedIsTheOneWithWhichSharingBeginsAnew() {
    VersionedValue first = after(VersionedValue.NONE, configuration(false, 1));
    VersionedValue second = after(first, configuration(false, 2));
    VersionedValue third = after(second, configuration(true, 2));
    Assertions.assertEquals(PrefixSharing.FIRST, first.sharing());
    Assertions.assertEquals(0, second.sharing().since());
    Assertions.assertEquals(3, third.sharing().since());
    Assertions.assertEquals(3, after(third, configuration(true, 4)).sharing().since());
  }

  @Test
  void whereAConfigurationCannotBeReadSharingBeginsAnew() {
    VersionedValue first = after(VersionedValue.NONE, configuration(false, 1));
    VersionedValue unreadable = after(first, new byte[] {'?'});
    Assertions.assertEquals(2, unreadable.sharing().since());
    Assertions.assertEquals(3, after(unreadable, configuration(false, 1)).sharing().since());
  }

  @Test
  void otherKeysRecordNothing() {
    VersionedValue before = VersionedValue.NONE.next("d", new byte[1]);
    Assertions.assertEquals(
        PrefixSharing.UNRECORDED, tasks.prefixSharing(StateKeys.WEIGHTS, before, new byte[2]));
  }

  @Test
  void eachConfigurationIsReadOnceThoughItIsDividedByToo() {
    byte[] one = configuration(false, 1), two = configuration(false, 2);
    VersionedValue first = after(VersionedValue.NONE, one);
    after(first, two);
    tasks.allocateCapacity(1, List.of(), two);
    Assertions.assertEquals(2, parsed.size());
  }
}

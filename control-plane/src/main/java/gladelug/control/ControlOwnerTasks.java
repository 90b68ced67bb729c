package gladelug.control;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.PrefixSharing;
import gladelug.common.message.StateKeys;
import gladelug.common.message.StateUpdate;
import gladelug.control.capacity.CapacityAllocation;
import gladelug.control.core.OwnerTasks;
import gladelug.control.core.SubscriberStatus;
import gladelug.control.core.register.VersionedValue;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What a member of the core does for whoever owns the keys: divides places over relays by the
 * configuration, records which cached prefixes its tenants share, and says in a few words what a
 * change is. Not thread-safe: lives on the core's thread.
 */
public final class ControlOwnerTasks implements OwnerTasks {
  private final Function<String, Result<Configuration>> configurationParser;

  /** The one that was read last: with a change under way the next, else the newest. */
  private ParsedConfiguration lastParsed = NOTHING_PARSED;

  /** The one that was read before it, while a change is under way. */
  private ParsedConfiguration previouslyParsed = NOTHING_PARSED;

  /**
   * A configuration by the array that holds its text.
   *
   * @param configuration null where the text can't be read
   */
  private record ParsedConfiguration(byte[] body, Configuration configuration) {}

  private static final ParsedConfiguration NOTHING_PARSED =
      new ParsedConfiguration(new byte[0], null);

  /**
   * Tasks that read the configuration so.
   *
   * @param configurationParser reads the configuration as operators sent it
   */
  public ControlOwnerTasks(Function<String, Result<Configuration>> configurationParser) {
    this.configurationParser = configurationParser;
  }

  @Override
  public Map<String, List<StateUpdate.CapacityGrant>> allocateCapacity(
      long epoch, List<SubscriberStatus> relays, byte[] body) {
    Configuration configuration = parse(body);
    previouslyParsed = NOTHING_PARSED;
    return CapacityAllocation.allocate(
        epoch, relays, configuration == null ? Configuration.EMPTY : configuration);
  }

  /** Where one of the two can't be read, who shared before isn't known: sharing begins anew. */
  @Override
  public PrefixSharing prefixSharing(String key, VersionedValue before, byte[] after) {
    if (!key.equals(StateKeys.CONFIGURATION)) return PrefixSharing.UNRECORDED;
    if (before.number() == 0) return PrefixSharing.FIRST;
    Configuration readBefore = parse(before.body());
    Configuration readAfter = parse(after);
    return readBefore == null || readAfter == null
        ? PrefixSharing.startingAt(before.number() + 1)
        : before.sharing().next(readBefore, before.number(), readAfter);
  }

  private Configuration parse(byte[] body) {
    if (body == lastParsed.body()) return lastParsed.configuration();
    if (body == previouslyParsed.body()) return previouslyParsed.configuration();
    Result<Configuration> parsed =
        configurationParser.apply(new String(body, StandardCharsets.UTF_8));
    Configuration configuration =
        parsed instanceof Result.Good<Configuration> good ? good.value() : null;
    previouslyParsed = lastParsed;
    lastParsed = new ParsedConfiguration(body, configuration);
    return configuration;
  }

  @Override
  public String summarizeChange(String key, byte[] before, byte[] after) {
    if (key.equals(StateKeys.WEIGHTS)) return ChangeSummary.summarizeWeights(before, after);
    if (!key.equals(StateKeys.CONFIGURATION)) return "";
    Configuration readBefore = before.length == 0 ? Configuration.EMPTY : parse(before);
    Configuration readAfter = parse(after);
    previouslyParsed = NOTHING_PARSED;
    return readBefore == null || readAfter == null
        ? ""
        : ChangeSummary.summarizeConfiguration(readBefore, readAfter);
  }
}

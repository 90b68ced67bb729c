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
 * The tasks of a key's owner that depend on the content of values: allocates request slots to
 * relays according to the configuration, records which cached prefixes its tenants share, and
 * summarizes changes. Not thread-safe: confined to the core's thread.
 */
public final class ControlOwnerTasks implements OwnerTasks {
  private final Function<String, Result<Configuration>> configurationParser;

  /** The configuration parsed last: during a change the proposed one, otherwise the newest. */
  private ParsedConfiguration lastParsed = NOTHING_PARSED;

  /** The configuration parsed before {@link #lastParsed}; kept only during a change. */
  private ParsedConfiguration previouslyParsed = NOTHING_PARSED;

  /**
   * A parsed configuration, identified by the array that holds its text.
   *
   * @param configuration null if the text is not a valid configuration
   */
  private record ParsedConfiguration(byte[] body, Configuration configuration) {}

  private static final ParsedConfiguration NOTHING_PARSED =
      new ParsedConfiguration(new byte[0], null);

  /**
   * Creates the tasks with a parser for the configuration.
   *
   * @param configurationParser parses the configuration as operators sent it
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

  /**
   * Starts a new sharing period if either configuration is invalid, because it is then unknown
   * which tenants shared prefixes before.
   */
  @Override
  public PrefixSharing prefixSharing(String key, VersionedValue before, byte[] after) {
    if (!key.equals(StateKeys.CONFIGURATION)) return PrefixSharing.UNRECORDED;
    if (before.number() == 0) return PrefixSharing.FIRST;
    Configuration configurationBefore = parse(before.body());
    Configuration configurationAfter = parse(after);
    return configurationBefore == null || configurationAfter == null
        ? PrefixSharing.startingAt(before.number() + 1)
        : before.sharing().next(configurationBefore, before.number(), configurationAfter);
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
    Configuration configurationBefore = before.length == 0 ? Configuration.EMPTY : parse(before);
    Configuration configurationAfter = parse(after);
    previouslyParsed = NOTHING_PARSED;
    return configurationBefore == null || configurationAfter == null
        ? ""
        : ChangeSummary.summarizeConfiguration(configurationBefore, configurationAfter);
  }
}

package gladelug.emulator.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What an event of a plan does, and to what kind of target. */
enum EventKind {
  RELAY_TERM(Target.RELAY, "SIGTERM, SIGKILL after the grace period, started again"),
  RELAY_TERMS(Target.RELAY, "SIGTERM, once more a second later, SIGKILL, started again"),
  RELAY_KILL(Target.RELAY, "SIGKILL, started again"),
  RELAY_HUP(Target.RELAY, "SIGHUP"),
  RELAY_FREEZE(Target.RELAY, "SIGSTOP and SIGCONT"),
  MEMBER_TERM(Target.MEMBER, "SIGTERM, SIGKILL after the grace period, started again"),
  MEMBER_KILL(Target.MEMBER, "SIGKILL, started again"),
  MEMBER_WIPE(Target.MEMBER, "SIGKILL, the disk is lost, started again with an empty one"),
  MEMBER_FREEZE(Target.MEMBER, "SIGSTOP and SIGCONT"),
  MACHINE_TERM(Target.MEMBER, "SIGTERM of both processes of a machine, started again"),
  CORE_KILL(Target.NONE, "SIGKILL of all members at once, their disks kept"),
  ROUTES(Target.NONE, "a configuration with a route more or less"),
  ISOLATE(Target.TENANT, "a configuration in which a tenant becomes isolated, or shares again"),
  SWAP(Target.NONE, "a configuration in which two tenants change places, isolated and sharing"),
  TENANT(Target.TENANT, "a configuration that removes a tenant, or brings it back"),
  REVOKE(Target.TENANT, "a configuration that replaces a tenant's key"),
  LIMITS(Target.NONE, "a configuration with other limits and time-outs"),
  LARGE(Target.NONE, "a configuration of some megabytes, up to more than is taken, or back"),
  INVALID(Target.NONE, "an invalid configuration"),
  RACE(Target.NONE, "two operators on one version"),
  RESEND(Target.NONE, "the newest configuration sent once more, as after a lost answer"),
  WEIGHTS(Target.NONE, "new weights are named"),
  REPLICA_CRASH(Target.REPLICA, "its connections are reset; it comes back empty as another"),
  REPLICA_SLOW(Target.REPLICA, "its work takes ten times as long"),
  REPLICA_RESET(Target.REPLICA, "it resets connections in the middle of answers"),
  ANSWER_ENDLESS(Target.REPLICA, "answers whose first event never ends"),
  ANSWER_CUT(Target.REPLICA, "answers that end in the middle"),
  ANSWER_SURPLUS(Target.REPLICA, "answers with more bytes after their end"),
  ANSWER_HUGE(Target.REPLICA, "answers of many megabytes"),
  PAGES_MALFORMED(Target.REPLICA, "reports, events and lists that are malformed or endless"),
  STORE_DOWN(Target.NONE, "the store goes and comes back empty"),
  PLATFORM_DOWN(Target.NONE, "the list of replicas isn't answered"),
  PLATFORM_SLOW(Target.NONE, "the list of replicas is answered late"),
  PLATFORM_BUSY(Target.NONE, "the list of replicas is answered 429"),
  BURST(Target.NONE, "many requests at once"),
  LARGE_BODIES(Target.NONE, "many bodies of the greatest size at once");

  /** What an event is aimed at. */
  enum Target {
    NONE,
    RELAY,
    MEMBER,
    TENANT,
    REPLICA
  }

  final Target target;
  final String help;

  EventKind(Target target, String help) {
    this.target = target;
    this.help = help;
  }

  /** As plans and the command line name it. */
  String id() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static Optional<EventKind> of(String id) {
    return Arrays.stream(values()).filter(kind -> kind.id().equals(id)).findFirst();
  }

  static List<String> ids() {
    return Arrays.stream(values()).map(EventKind::id).toList();
  }

  /** Whether the event is planned work: SIGTERM of a relay. */
  boolean stopsRelay() {
    return this == RELAY_TERM || this == RELAY_TERMS || this == MACHINE_TERM;
  }

  /** Whether the event disturbs members of the core. */
  boolean disturbsCore() {
    return target == Target.MEMBER || this == CORE_KILL;
  }
}

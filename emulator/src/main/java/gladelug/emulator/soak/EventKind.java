package gladelug.emulator.soak;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The kinds of events in a plan: what each does, and to what kind of target. */
enum EventKind {
  RELAY_TERM(Target.RELAY, "SIGTERM, SIGKILL after the grace period, restart"),
  RELAY_TERMS(
      Target.RELAY, "SIGTERM, a second one 1 s later, SIGKILL after the grace period, restart"),
  RELAY_KILL(Target.RELAY, "SIGKILL, restart"),
  RELAY_HUP(Target.RELAY, "SIGHUP"),
  RELAY_FREEZE(Target.RELAY, "SIGSTOP, later SIGCONT"),
  MEMBER_TERM(Target.MEMBER, "SIGTERM, SIGKILL after the grace period, restart"),
  MEMBER_KILL(Target.MEMBER, "SIGKILL, restart"),
  MEMBER_WIPE(Target.MEMBER, "SIGKILL, loss of the disk, restart with an empty one"),
  MEMBER_FREEZE(Target.MEMBER, "SIGSTOP, later SIGCONT"),
  MACHINE_TERM(Target.MEMBER, "SIGTERM of the relay and the core member of a machine, restart"),
  CORE_KILL(Target.NONE, "SIGKILL of all core members at once, restart with their disks"),
  ROUTES(Target.NONE, "a configuration with more or fewer routes"),
  ISOLATE(Target.TENANT, "a configuration that isolates a tenant or ends its isolation"),
  SWAP(Target.NONE, "a configuration that isolates one tenant and ends the isolation of another"),
  TENANT(Target.TENANT, "a configuration that removes a tenant or adds it again"),
  REVOKE(Target.TENANT, "a configuration that replaces a tenant's key"),
  LIMITS(Target.NONE, "a configuration with another body size limit"),
  LARGE(
      Target.NONE,
      "a configuration of several megabytes, possibly above the size limit, or a small one again"),
  INVALID(Target.NONE, "an invalid configuration"),
  RACE(Target.NONE, "two concurrent changes based on the same revision"),
  RESEND(
      Target.NONE, "the newest acknowledged configuration is sent again, as after a lost answer"),
  WEIGHTS(Target.NONE, "new model weights are announced"),
  REPLICA_CRASH(Target.REPLICA, "its connections are reset; it restarts empty as a new instance"),
  REPLICA_SLOW(Target.REPLICA, "it takes ten times as long for its work"),
  REPLICA_RESET(Target.REPLICA, "it resets connections in the middle of answers"),
  ANSWER_ENDLESS(Target.REPLICA, "answers whose first event never ends"),
  ANSWER_CUT(Target.REPLICA, "answers that end in the middle"),
  ANSWER_SURPLUS(Target.REPLICA, "answers that are followed by surplus bytes"),
  ANSWER_HUGE(Target.REPLICA, "answers of many megabytes"),
  PAGES_MALFORMED(Target.REPLICA, "its reports, cache events and lists are malformed or endless"),
  STORE_DOWN(Target.NONE, "the prefix store stops and restarts empty"),
  PLATFORM_DOWN(Target.NONE, "requests for the list of replicas get no answer"),
  PLATFORM_SLOW(Target.NONE, "requests for the list of replicas are answered late"),
  PLATFORM_BUSY(Target.NONE, "requests for the list of replicas are answered with status 429"),
  BURST(Target.NONE, "many requests at once"),
  LARGE_BODIES(Target.NONE, "many requests with bodies of the maximum size at once");

  /** The kinds of targets of events. */
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

  /** Returns the name of the kind in plans and on the command line. */
  String id() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static Optional<EventKind> of(String id) {
    return Arrays.stream(values()).filter(kind -> kind.id().equals(id)).findFirst();
  }

  static List<String> ids() {
    return Arrays.stream(values()).map(EventKind::id).toList();
  }

  /** Returns whether the event stops a relay in an orderly way, by SIGTERM. */
  boolean stopsRelay() {
    return this == RELAY_TERM || this == RELAY_TERMS || this == MACHINE_TERM;
  }

  /** Returns whether the event disturbs members of the core. */
  boolean disturbsCore() {
    return target == Target.MEMBER || this == CORE_KILL;
  }
}

package gladelug.control.rollout;

import gladelug.common.ServiceRegistry;
import gladelug.common.configuration.Replicas.Replica;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.StateKeys;
import gladelug.control.core.CommandLease;
import gladelug.control.core.CoreMember;
import gladelug.control.core.CoreService;
import gladelug.control.rollout.ReplicaCommands.ReportedState;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import java.util.List;
import java.util.function.Function;

/**
 * The task of whoever owns commander/&lt;replica&gt;: see that the replica runs the weights that
 * are named. Only while it owns the key, and after every earlier owner's lease is over, does it
 * command, and under the key's epoch, which the replica refuses to go below (rule ONE). What a
 * replica runs is read from itself. Weights named half way through a rollout simply become the new
 * target. All state is touched on one Vert.x context.
 */
public final class ReplicaController implements ServiceRegistry.Service {
  private static final long POLL_INTERVAL_MS = 250;
  private final Vertx vertx;
  private final String processName;
  private final WeightRollout rollout;
  private final Function<BindAddress, ReplicaCommands> commandsFactory;
  private ReplicaCommands commands;
  private CoreService core;
  private long timerId;
  private boolean isPolling;
  private Context context;
  private ReplicaCommandSender commandSender;

  /**
   * A controller that begins with {@link #start}.
   *
   * @param processName this process's name, as replicas are told it
   * @param commandsFactory makes the replicas' protocol for the address this process calls from
   */
  public ReplicaController(
      Vertx vertx,
      String processName,
      WeightRollout rollout,
      Function<BindAddress, ReplicaCommands> commandsFactory) {
    this.vertx = vertx;
    this.processName = processName;
    this.rollout = rollout;
    this.commandsFactory = commandsFactory;
  }

  @Override
  public void start(ServiceRegistry services) {
    core = services.find("core", CoreService.class);
    commands = commandsFactory.apply(services.find("doors", ConnectionAcceptor.class).bindAddress);
    context = vertx.getOrCreateContext();
    commandSender =
        new ReplicaCommandSender(processName, commands, rollout, core::nowMs, this::commandLease);
    context.runOnContext(() -> timerId = vertx.setPeriodic(POLL_INTERVAL_MS, ignored -> poll()));
  }

  private void runOnContext(Runnable task) {
    context.runOnContext(task);
  }

  private static String controllerKey(Replica replica) {
    return StateKeys.REPLICA_CONTROLLER_PREFIX + replica.instance();
  }

  private void poll() {
    if (isPolling) return;
    isPolling = true;
    core.ask(ReplicaController::readInputs)
        .emitOn(this::runOnContext)
        .map(
            inputs -> {
              rollout.updateInputs(inputs);
              return rollout.rolloutTargets();
            })
        .call(targets -> core.ask(this::introduceControllerKeys))
        .emitOn(this::runOnContext)
        .subscribe()
        // a core that doesn't answer is asked again at the next poll
        .with(this::onPolled, failure -> isPolling = false);
  }

  /** On the core's thread: the stored values. */
  private static WeightRollout.RolloutInputs readInputs(CoreMember member) {
    return new WeightRollout.RolloutInputs(
        member.storedValue(StateKeys.REPLICAS).getValue(),
        member.storedValue(StateKeys.WEIGHTS).getValue(),
        member.storedValue(StateKeys.CONFIGURATION).getValue(),
        member.knownAgeMs(StateKeys.WEIGHTS));
  }

  /**
   * On the core's thread: a replica's key is known as soon as the replica is listed, so that the
   * key's owner may command when weights are named.
   */
  private boolean introduceControllerKeys(CoreMember member) {
    for (Replica replica : rollout.listedModelReplicas()) member.ensureKey(controllerKey(replica));
    return true;
  }

  private void onPolled(List<Replica> targets) {
    isPolling = false;
    if (!commands.pollsEveryReplica()) rollout.onListed(core.nowMs());
    targets.forEach(this::updateReplica);
  }

  private void updateReplica(Replica replica) {
    if (commands.pollsEveryReplica()) fetchStateAndSend(replica);
    else if (rollout.awaitsObservation(replica)) fetchStateIfCommander(replica);
    else commandSender.send(replica);
  }

  private void fetchStateIfCommander(Replica replica) {
    core.ask(member -> member.mayCommand(controllerKey(replica)))
        .emitOn(this::runOnContext)
        .subscribe()
        .with(
            mayCommand -> {
              if (mayCommand) fetchStateAndSend(replica);
            },
            failure -> {
              // a core that doesn't answer is asked again at the next poll
            });
  }

  private void fetchStateAndSend(Replica replica) {
    commands
        .fetchState(replica)
        .emitOn(this::runOnContext)
        .subscribe()
        .with(
            state -> onReported(replica, state),
            failure -> {
              // a replica that doesn't answer is asked again at the next poll; until then its last
              // observation ages, and the rollout counts it as unresponsive
            });
  }

  private void onReported(Replica replica, ReportedState state) {
    state
        .weights()
        .forEach(
            (model, weights) ->
                rollout.onReported(replica, model, weights, state.loading(), core.nowMs()));
    commandSender.send(replica);
  }

  private Uni<CommandLease> commandLease(Replica replica) {
    return core.ask(member -> member.commandLease(controllerKey(replica)))
        .emitOn(this::runOnContext);
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timerId);
  }
}

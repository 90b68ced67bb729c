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
 * Brings each replica to the weights that operators named for it. A process commands a replica only
 * while it owns the replica's key, which it shares with others, and after every earlier owner's
 * lease has expired. It commands under the key's epoch, and the replica refuses lower epochs (rule
 * ONE: at most one process commands a replica at any time). The weights that a replica runs are
 * read from the replica itself. Weights named during a rollout become its new target. All state is
 * confined to one Vert.x context.
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
   * Creates a controller that runs once {@link #start} is called.
   *
   * @param processName this process's name, as sent to replicas
   * @param commandsFactory creates the protocol client for the local address that this process
   *     connects from
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
    return StateKeys.replicaControllerKey(replica.instance());
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
        // the core is queried again at the next poll
        .with(this::onPolled, failure -> isPolling = false);
  }

  /** Reads the stored values; runs on the core's thread. */
  private static WeightRollout.RolloutInputs readInputs(CoreMember member) {
    return new WeightRollout.RolloutInputs(
        member.storedValue(StateKeys.REPLICAS).getValue(),
        member.storedValue(StateKeys.WEIGHTS).getValue(),
        member.storedValue(StateKeys.CONFIGURATION).getValue(),
        member.knownAgeMs(StateKeys.WEIGHTS));
  }

  /**
   * Creates the key of each listed replica, so that the key has an owner that may command by the
   * time weights are named; runs on the core's thread.
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
              // the core is queried again at the next poll
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
              // a replica that does not answer is queried again at the next poll; once its last
              // observation is too old, the rollout counts it as unresponsive
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

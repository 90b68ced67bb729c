package gladelug.control.operator;

import gladelug.common.Address;
import gladelug.common.ServiceRegistry;
import gladelug.common.configuration.Configuration;
import gladelug.common.connection.BindAddress;
import gladelug.common.connection.ConnectionAcceptor;
import gladelug.common.message.Shuffle;
import gladelug.common.view.PartialViewService;
import gladelug.control.ControlOwnerTasks;
import gladelug.control.CoreDataFolder;
import gladelug.control.core.BootstrapMembers;
import gladelug.control.core.CoreService;
import gladelug.control.core.QuorumConfig;
import gladelug.control.core.config.MemberSet;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A core member with its operator endpoint on the loopback interface, for tests. */
final class OneMemberCore implements AutoCloseable {
  private static final String IP = "127.0.0.1", NAME = "a";
  private static final int CUTOFF_MS = 15_000, RING_FILE_MB = 8;

  private final Set<Integer> ports = new HashSet<>();

  /** The address of the operator endpoint. */
  final Address operatorAddress = new Address(IP, freePort());

  final CoreService core;
  private final Vertx vertx = Vertx.vertx();
  private final ServiceRegistry services;

  /**
   * Starts the member on an empty data folder.
   *
   * @param bootstrapMembers the number of bootstrap members of the core; all but this one never
   *     start
   */
  OneMemberCore(Path data, int bootstrapMembers) {
    Address recordsAddress = new Address(IP, freePort());
    List<MemberSet.Member> all = new ArrayList<>();
    all.add(new MemberSet.Member(NAME, "", recordsAddress, operatorAddress));
    for (int i = 1; i < bootstrapMembers; i++) {
      Address unusedAddress = new Address(IP, freePort());
      all.add(new MemberSet.Member("absent" + i, "", unusedAddress, unusedAddress));
    }
    CoreDataFolder disk = CoreDataFolder.open(NAME, data.toString(), RING_FILE_MB, all);
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            NAME, "control", recordsAddress.toString(), operatorAddress.toString(), "z", 0, 0);
    core =
        new CoreService(
            vertx,
            disk.ring(),
            QuorumConfig.DEFAULT,
            new MemberSet.Member(NAME, disk.diskId(), recordsAddress, operatorAddress),
            List.of(),
            CUTOFF_MS,
            new BootstrapMembers(disk.bootstrapMembers()),
            new ControlOwnerTasks(Configuration::parse),
            what -> {});
    services =
        new ServiceRegistry()
            .add("doors", new ConnectionAcceptor(vertx, recordsAddress, new BindAddress(IP), NAME))
            .add("views", new PartialViewService(vertx, self, List.of()))
            .add("core", core)
            .add("operator-endpoint", new OperatorEndpoint(vertx, operatorAddress));
    services.start();
  }

  /** Returns a free port that it has not returned before; the kernel may name one twice. */
  private int freePort() {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
        if (ports.add(socket.getLocalPort())) return socket.getLocalPort();
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }
  }

  @Override
  public void close() {
    services.stop();
    vertx.closeAndAwait();
  }
}

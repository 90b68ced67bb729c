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
import java.util.List;

/** A real member of a core with its listener for operators, over loopback, for tests. */
final class OneMemberCore implements AutoCloseable {
  private static final String IP = "127.0.0.1", NAME = "a";
  private static final int CUTOFF_MS = 15_000, RING_FILE_MB = 8;

  /** Where operators are answered. */
  final Address operatorAddress = new Address(IP, freePort());

  final CoreService core;
  private final Vertx vertx = Vertx.vertx();
  private final ServiceRegistry services;

  /**
   * Starts it on an empty folder.
   *
   * @param bootstrapMembers how many are to bootstrap the core; those beside this one never come
   */
  OneMemberCore(Path data, int bootstrapMembers) {
    Address records = new Address(IP, freePort());
    List<MemberSet.Member> all = new ArrayList<>();
    all.add(new MemberSet.Member(NAME, "", records, operatorAddress));
    for (int i = 1; i < bootstrapMembers; i++) {
      Address nobody = new Address(IP, freePort());
      all.add(new MemberSet.Member("absent" + i, "", nobody, nobody));
    }
    CoreDataFolder disk = CoreDataFolder.open(NAME, data.toString(), RING_FILE_MB, all);
    Shuffle.Descriptor self =
        new Shuffle.Descriptor(
            NAME, "control", records.toString(), operatorAddress.toString(), "z", 0, 0);
    core =
        new CoreService(
            vertx,
            disk.ring(),
            QuorumConfig.DEFAULT,
            new MemberSet.Member(NAME, disk.diskId(), records, operatorAddress),
            List.of(),
            CUTOFF_MS,
            new BootstrapMembers(disk.bootstrapMembers()),
            new ControlOwnerTasks(Configuration::parse),
            what -> {});
    services =
        new ServiceRegistry()
            .add("doors", new ConnectionAcceptor(vertx, records, new BindAddress(IP), NAME))
            .add("views", new PartialViewService(vertx, self, List.of()))
            .add("core", core)
            .add("operator-endpoint", new OperatorEndpoint(vertx, operatorAddress));
    services.start();
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public void close() {
    services.stop();
    vertx.closeAndAwait();
  }
}

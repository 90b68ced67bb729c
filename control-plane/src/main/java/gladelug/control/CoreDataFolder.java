package gladelug.control;

import gladelug.common.Finding;
import gladelug.common.Log;
import gladelug.common.Result;
import gladelug.common.ServiceRegistry;
import gladelug.common.disk.DataFolder;
import gladelug.common.disk.RecordRing;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.register.DurableState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A member's disk as it is opened: its id and its ring, and the founders it was given while the
 * fleet is not settled. An empty disk gets an id; without founders it only ever joins and votes on
 * nothing until it is let in. A folder that can't be read as a whole is left as it is, and the
 * start fails with what was found where: a member that goes on with less than it promised could
 * undo what was acknowledged.
 *
 * <p>id: the disk's own. ring: what is kept on it. founders: those given at the first start.
 * folder: where it is; closing lets another process open it.
 */
public record CoreDataFolder(
    String diskId, RecordRing ring, List<MemberSet.Member> bootstrapMembers, DataFolder folder)
    implements AutoCloseable {
  private static final String RECOVERY_HINT = "empty it and this machine joins anew";

  /**
   * founders: those of a fleet that starts for the first time, this one too; they count for an
   * empty disk only. ringFileMb counts for an empty disk only, too.
   */
  public static CoreDataFolder open(
      String name, String data, int ringFileMb, List<MemberSet.Member> founders) {
    DataFolder folder = new DataFolder(Path.of(data), ringFileMb << 20);
    try {
      String identity = folder.readIdentity();
      return identity == null ? create(folder, name, founders) : reopen(folder, name, identity);
    } catch (RuntimeException e) {
      folder.close();
      throw e;
    } catch (IOException e) {
      folder.close();
      throw damagedFolder(data, e.getMessage());
    }
  }

  /** Makes a folder that holds nothing yet. Its ring gets a first frame before it gets an id. */
  static CoreDataFolder create(DataFolder folder, String name, List<MemberSet.Member> founders)
      throws IOException {
    boolean blank = folder.createRingFiles();
    RecordRing ring = blank ? RecordRing.createBlank(folder) : RecordRing.open(folder);
    if (!ring.live().isEmpty())
      throw new ServiceRegistry.StartupException(
          "data folder "
              + folder.directory()
              + " holds state but no identity.json, so it is not known whose; put that back, or "
              + RECOVERY_HINT);
    ring.write(List.of(new RecordRing.Entry("", new byte[0])));
    DiskIdentity identity = DiskIdentity.create(name, folder.fileBytes(), founders);
    folder.writeIdentity(identity.toJson());
    Log.event(
        founders.isEmpty() ? "empty-disk-joins" : "empty-disk-bootstraps",
        "name",
        name,
        "data",
        folder.directory());
    return new CoreDataFolder(identity.diskId(), ring, identity.bootstrapMembers(), folder);
  }

  private static CoreDataFolder reopen(DataFolder folder, String name, String text)
      throws IOException {
    Result<DiskIdentity> read = DiskIdentity.read(text);
    if (read instanceof Result.Bad<DiskIdentity> bad)
      throw new ServiceRegistry.StartupException(
          "identity.json in "
              + folder.directory()
              + " cannot be used: "
              + describe(bad.findings()));
    DiskIdentity identity = ((Result.Good<DiskIdentity>) read).value();
    if (!identity.name().equals(name))
      throw new ServiceRegistry.StartupException(
          "data folder "
              + folder.directory()
              + " belongs to "
              + identity.name()
              + ", not to "
              + name);
    folder.openRingFiles(identity.ringFileBytes());
    RecordRing ring = RecordRing.open(folder);
    if (ring.isUnwritten() && identity.format() > 0)
      throw damagedFolder(folder.directory().toString(), "no file of the ring holds a frame");
    List<Finding> findings = DurableState.validate(ring.live(), name, identity.diskId());
    if (!findings.isEmpty()) throw damagedFolder(folder.directory().toString(), describe(findings));
    return new CoreDataFolder(identity.diskId(), ring, identity.bootstrapMembers(), folder);
  }

  private static ServiceRegistry.StartupException damagedFolder(String folder, String what) {
    return new ServiceRegistry.StartupException(
        "data folder " + folder + " is damaged: " + what + "; " + RECOVERY_HINT);
  }

  private static String describe(List<Finding> findings) {
    return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
  }

  @Override
  public void close() {
    folder.close();
  }
}

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
 * The opened data folder of a core member: the disk's id, its ring of durable entries, and the
 * bootstrap members given at the first start. An empty folder gets a new disk id; without bootstrap
 * members its owner can only join an existing core and does not vote until it is admitted. A folder
 * that cannot be read completely is left unchanged and the start fails with a description of what
 * was found where: a member that continued with less state than it promised to keep could undo
 * acknowledged changes.
 *
 * <p>@param diskId the random id of this disk
 *
 * @param ring the durable entries
 * @param bootstrapMembers the members given at the first start; empty for a member that joins
 * @param folder the folder itself; closing it lets another process open it
 */
public record CoreDataFolder(
    String diskId, RecordRing ring, List<MemberSet.Member> bootstrapMembers, DataFolder folder)
    implements AutoCloseable {
  private static final String RECOVERY_HINT =
      "empty the folder and this machine joins again as a new member";

  /**
   * Opens a data folder, or prepares it if it is empty.
   *
   * @param ringFileMb size of each ring file in MiB; used for an empty folder only
   * @param bootstrapMembers all first members of a new fleet, including this one; used for an empty
   *     folder only
   */
  public static CoreDataFolder open(
      String memberName,
      String dataFolder,
      int ringFileMb,
      List<MemberSet.Member> bootstrapMembers) {
    DataFolder folder = new DataFolder(Path.of(dataFolder), ringFileMb << 20);
    try {
      String identity = folder.readIdentity();
      return identity == null
          ? create(folder, memberName, bootstrapMembers)
          : reopen(folder, memberName, identity);
    } catch (RuntimeException e) {
      folder.close();
      throw e;
    } catch (IOException e) {
      folder.close();
      throw damagedFolder(dataFolder, e.getMessage());
    }
  }

  /**
   * Prepares a folder that holds no state yet. The ring's first frame is written before the
   * identity, so that a folder with an identity always has a readable ring.
   */
  static CoreDataFolder create(
      DataFolder folder, String memberName, List<MemberSet.Member> bootstrapMembers)
      throws IOException {
    boolean isEmpty = folder.createRingFiles();
    RecordRing ring = isEmpty ? RecordRing.createBlank(folder) : RecordRing.open(folder);
    if (!ring.live().isEmpty())
      throw new ServiceRegistry.StartupException(
          "data folder "
              + folder.directory()
              + " holds state but no identity.json, so its owner is unknown; restore that file, or "
              + RECOVERY_HINT);
    ring.write(List.of(new RecordRing.Entry("", new byte[0])));
    DiskIdentity identity = DiskIdentity.create(memberName, folder.fileBytes(), bootstrapMembers);
    folder.writeIdentity(identity.toJson());
    Log.event(
        bootstrapMembers.isEmpty() ? "empty-disk-joins" : "empty-disk-bootstraps",
        "name",
        memberName,
        "data",
        folder.directory());
    return new CoreDataFolder(identity.diskId(), ring, identity.bootstrapMembers(), folder);
  }

  private static CoreDataFolder reopen(DataFolder folder, String memberName, String identityJson)
      throws IOException {
    Result<DiskIdentity> parsed = DiskIdentity.parse(identityJson);
    if (parsed instanceof Result.Bad<DiskIdentity> bad)
      throw new ServiceRegistry.StartupException(
          "identity.json in "
              + folder.directory()
              + " cannot be used: "
              + describe(bad.findings()));
    DiskIdentity identity = ((Result.Good<DiskIdentity>) parsed).value();
    if (!identity.name().equals(memberName))
      throw new ServiceRegistry.StartupException(
          "data folder "
              + folder.directory()
              + " belongs to "
              + identity.name()
              + ", not to "
              + memberName);
    folder.openRingFiles(identity.ringFileBytes());
    RecordRing ring = RecordRing.open(folder);
    if (ring.isUnwritten() && identity.format() > 0)
      throw damagedFolder(folder.directory().toString(), "no file of the ring holds a frame");
    List<Finding> findings = DurableState.validate(ring.live(), memberName, identity.diskId());
    if (!findings.isEmpty()) throw damagedFolder(folder.directory().toString(), describe(findings));
    return new CoreDataFolder(identity.diskId(), ring, identity.bootstrapMembers(), folder);
  }

  private static ServiceRegistry.StartupException damagedFolder(String folder, String problem) {
    return new ServiceRegistry.StartupException(
        "data folder " + folder + " is damaged: " + problem + "; " + RECOVERY_HINT);
  }

  private static String describe(List<Finding> findings) {
    return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
  }

  @Override
  public void close() {
    folder.close();
  }
}

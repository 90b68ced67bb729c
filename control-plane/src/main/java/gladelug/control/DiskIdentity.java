package gladelug.control;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import gladelug.common.Address;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import gladelug.control.core.config.MemberSet;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Whose a data folder is: identity.json beside the ring's files. It is written once, when the
 * folder is made, after the ring's first frame.
 *
 * <p>name: the member's; disk: drawn by chance when the folder was made; ringFile: the size of each
 * of the ring's files in bytes; founders: those given at the first start, none for a member that
 * joins; format: of the whole folder, 0 where none is written, as releases before formats did.
 */
record DiskIdentity(
    String name,
    String diskId,
    int ringFileBytes,
    List<MemberSet.Member> bootstrapMembers,
    int format) {
  /** The folder's format that this release writes, and the newest that it reads. */
  static final int FORMAT = 1;

  private static final int DISK_ID_BYTES = 12;

  static DiskIdentity create(String name, int ringFile, List<MemberSet.Member> founders) {
    byte[] id = new byte[DISK_ID_BYTES];
    new SecureRandom().nextBytes(id);
    return new DiskIdentity(name, HexFormat.of().formatHex(id), ringFile, founders, FORMAT);
  }

  /** A folder of a newer release is a finding of its own, whatever else may be in it. */
  static Result<DiskIdentity> read(String text) {
    return LocatedJson.parse(text).flatMap(DiskIdentity::read);
  }

  private static Result<DiskIdentity> read(LocatedJson document) {
    Findings findings = new Findings();
    LocatedJson.Fields fields = document.fields(findings);
    int format = (int) fields.integer("format", 0, 0, Integer.MAX_VALUE);
    if (format > FORMAT)
      return Result.bad(
          "format",
          "is " + format + ", written by a newer release; this one reads up to " + FORMAT);
    String name = fields.text("name");
    String disk = fields.text("disk");
    int ringFile = (int) fields.integer("ringFile", 1, Integer.MAX_VALUE);
    List<MemberSet.Member> founders = new ArrayList<>();
    for (LocatedJson founder : fields.list("founders", false))
      founders.add(readMember(founder, findings));
    return Result.of(findings, () -> new DiskIdentity(name, disk, ringFile, founders, format));
  }

  private static MemberSet.Member readMember(LocatedJson document, Findings findings) {
    LocatedJson.Fields fields = document.fields(findings);
    return new MemberSet.Member(
        fields.text("name"),
        "",
        Address.read(fields, "records", findings),
        Address.read(fields, "operator", findings));
  }

  String toJson() {
    JsonObject json =
        Json.object()
            .add("format", format)
            .add("name", name)
            .add("disk", diskId)
            .add("ringFile", ringFileBytes);
    if (bootstrapMembers.isEmpty()) return json.toString();
    JsonArray list = Json.array();
    for (MemberSet.Member founder : bootstrapMembers)
      list.add(
          Json.object()
              .add("name", founder.name())
              .add("records", founder.recordsAddress().toString())
              .add("operator", founder.operatorAddress().toString()));
    return json.add("founders", list).toString();
  }
}

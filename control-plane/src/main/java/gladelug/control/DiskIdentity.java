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
 * The identity of a data folder, stored as identity.json beside the ring files. It is written once,
 * when the folder is prepared, after the ring's first frame.
 *
 * <p>@param name the member's name
 *
 * @param diskId a random id, drawn when the folder was prepared
 * @param ringFileBytes size of each ring file, in bytes
 * @param bootstrapMembers the members given at the first start; empty for a member that joins
 * @param format the format version of the whole folder; 0 if none is stored, as by releases that
 *     had no format versions
 */
record DiskIdentity(
    String name,
    String diskId,
    int ringFileBytes,
    List<MemberSet.Member> bootstrapMembers,
    int format) {
  /** The folder format that this release writes, and the newest that it can read. */
  static final int FORMAT = 1;

  private static final int DISK_ID_BYTES = 12;

  static DiskIdentity create(
      String name, int ringFileBytes, List<MemberSet.Member> bootstrapMembers) {
    byte[] id = new byte[DISK_ID_BYTES];
    new SecureRandom().nextBytes(id);
    return new DiskIdentity(
        name, HexFormat.of().formatHex(id), ringFileBytes, bootstrapMembers, FORMAT);
  }

  /**
   * Parses an identity. A folder of a newer release is reported as such, without checking the other
   * fields.
   */
  static Result<DiskIdentity> parse(String text) {
    return LocatedJson.parse(text).flatMap(DiskIdentity::parse);
  }

  private static Result<DiskIdentity> parse(LocatedJson document) {
    Findings findings = new Findings();
    LocatedJson.Fields fields = document.fields(findings);
    int format = (int) fields.integer("format", 0, 0, Integer.MAX_VALUE);
    if (format > FORMAT)
      return Result.bad(
          "format",
          "is "
              + format
              + ", written by a newer release; this release reads formats up to "
              + FORMAT);
    String name = fields.text("name");
    String diskId = fields.text("disk");
    int ringFileBytes = (int) fields.integer("ringFile", 1, Integer.MAX_VALUE);
    List<MemberSet.Member> bootstrapMembers = new ArrayList<>();
    for (LocatedJson member : fields.list("founders", false))
      bootstrapMembers.add(readMember(member, findings));
    return Result.of(
        findings, () -> new DiskIdentity(name, diskId, ringFileBytes, bootstrapMembers, format));
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
    for (MemberSet.Member member : bootstrapMembers)
      list.add(
          Json.object()
              .add("name", member.name())
              .add("records", member.recordsAddress().toString())
              .add("operator", member.operatorAddress().toString()));
    return json.add("founders", list).toString();
  }
}

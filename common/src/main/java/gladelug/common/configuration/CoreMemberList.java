package gladelug.common.configuration;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import gladelug.common.Address;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import java.util.ArrayList;
import java.util.List;

/**
 * The core's members as data-plane processes receive them: names and addresses. The value's number
 * is the generation of the member set.
 */
public record CoreMemberList(List<Member> members) {
  /**
   * A member of the core.
   *
   * @param recordsAddress where the member accepts connections from peers
   * @param operatorAddress where the member serves operators
   */
  public record Member(String name, Address recordsAddress, Address operatorAddress) {}

  public static final CoreMemberList NONE = new CoreMemberList(List.of());

  public String toJson() {
    JsonArray array = new JsonArray();
    for (Member member : members)
      array.add(
          Json.object()
              .add("name", member.name)
              .add("records", member.recordsAddress.toString())
              .add("operator", member.operatorAddress.toString()));
    return Json.object().add("members", array).toString();
  }

  public static Result<CoreMemberList> parse(String text) {
    return LocatedJson.parse(text)
        .flatMap(
            document -> {
              Findings findings = new Findings();
              LocatedJson.Fields fields = document.fields(findings);
              List<Member> members = new ArrayList<>();
              for (LocatedJson entry : fields.list("members", true)) {
                LocatedJson.Fields entryFields = entry.fields(findings);
                members.add(
                    new Member(
                        entryFields.text("name"),
                        Address.read(entryFields, "records", findings),
                        Address.read(entryFields, "operator", findings)));
                entryFields.reportUnknownFields();
              }
              fields.reportUnknownFields();
              return Result.of(findings, () -> new CoreMemberList(List.copyOf(members)));
            });
  }
}

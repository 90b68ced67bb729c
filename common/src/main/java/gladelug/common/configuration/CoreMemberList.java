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
 * The core's members as data-plane processes receive them: names and addresses, with the generation
 * as number.
 */
public record CoreMemberList(List<Member> members) {
  public record Member(String name, Address recordsAddress, Address operatorAddress) {}

  public static final CoreMemberList NONE = new CoreMemberList(List.of());

  public String toJson() {
    JsonArray array = new JsonArray();
    for (Member m : members)
      array.add(
          Json.object()
              .add("name", m.name)
              .add("records", m.recordsAddress.toString())
              .add("operator", m.operatorAddress.toString()));
    return Json.object().add("members", array).toString();
  }

  public static Result<CoreMemberList> parse(String text) {
    return LocatedJson.parse(text)
        .flatMap(
            d -> {
              Findings findings = new Findings();
              LocatedJson.Fields f = d.fields(findings);
              List<Member> l = new ArrayList<>();
              for (LocatedJson x : f.list("members", true)) {
                LocatedJson.Fields g = x.fields(findings);
                l.add(
                    new Member(
                        g.text("name"),
                        Address.read(g, "records", findings),
                        Address.read(g, "operator", findings)));
                g.reportUnknownFields();
              }
              f.reportUnknownFields();
              return Result.of(findings, () -> new CoreMemberList(List.copyOf(l)));
            });
  }
}

/*
 * A member's disk as it is opened: its id and its ring, and the founders it was given while the fleet is not settled.
 * An empty disk gets an id; without founders it only ever joins and votes on nothing until it is let in.
 */
package gladelug.control;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import gladelug.control.core.Members;
import gladelug.kernel.Address;
import gladelug.kernel.Kernel;
import gladelug.kernel.Log;
import gladelug.kernel.disk.Folder;
import gladelug.kernel.disk.Ring;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

public record CoreDisk(String id, Ring ring, List<Members.Member> founders) {
  static String newId() {
    byte[] b = new byte[12];
    new SecureRandom().nextBytes(b);
    return HexFormat.of().formatHex(b);
  }

  /**
   * founders: those of a fleet that starts for the first time, this one too; they count for an
   * empty disk only.
   */
  public static CoreDisk open(
      String name, String data, int ringFileMb, List<Members.Member> founders) {
    Folder folder = new Folder(Path.of(data), ringFileMb << 20);
    JsonObject id = folder.identity();
    if (id == null) {
      folder.prepare();
      id = identity(name, ringFileMb << 20, founders);
      folder.identity(id);
      Log.event(
          founders.isEmpty() ? "empty-disk-joins" : "empty-disk-founds",
          "name",
          name,
          "data",
          data);
    }
    if (!id.getString("name", "").equals(name))
      throw new Kernel.CannotStart(
          "data folder " + data + " belongs to " + id.getString("name", "?") + ", not to " + name);
    folder.prepare();
    try {
      return new CoreDisk(id.getString("disk", ""), Ring.open(folder), founders(id));
    } catch (IOException e) {
      throw new Kernel.CannotStart(
          "data folder "
              + data
              + " is damaged: "
              + e.getMessage()
              + "; empty it and this machine joins anew",
          e);
    }
  }

  static JsonObject identity(String name, int ringFile, List<Members.Member> founders) {
    JsonObject id = Json.object().add("name", name).add("disk", newId()).add("ringFile", ringFile);
    if (founders.isEmpty()) return id;
    JsonArray a = Json.array();
    for (Members.Member m : founders)
      a.add(
          Json.object()
              .add("name", m.name())
              .add("records", m.records().toString())
              .add("operator", m.operator().toString()));
    return id.add("founders", a);
  }

  private static List<Members.Member> founders(JsonObject id) {
    List<Members.Member> out = new ArrayList<>();
    if (id.get("founders") != null)
      for (JsonValue v : id.get("founders").asArray()) {
        JsonObject o = v.asObject();
        out.add(
            new Members.Member(
                o.getString("name", ""),
                "",
                Address.of(o.getString("records", "")),
                Address.of(o.getString("operator", ""))));
      }
    return out;
  }
}

package gladelug.common;

import com.eclipsesource.json.JsonHandler;
import com.eclipsesource.json.JsonParser;
import com.eclipsesource.json.Location;
import com.eclipsesource.json.ParseException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A JSON text read by minimal-json's parser into nodes that remember their line, column and path,
 * so that whoever reads an operator's file by hand can say where each finding is. Fields reads one
 * object: each field asked for is marked, and done() reports those nobody asked for.
 */
public final class LocatedJson {
  public enum Kind {
    OBJECT,
    ARRAY,
    STRING,
    NUMBER,
    BOOLEAN,
    NULL
  }

  public final Kind kind;
  public final int line;
  public final int column;
  public final String text;

  /** Of an object its fields by name, in their order; of anything else none. */
  public final Map<String, LocatedJson> members;

  /** Of a list its items; of anything else none. */
  public final List<LocatedJson> items;

  /** The object or list this stands in, or null at the top. */
  private final LocatedJson parent;

  /** The field's name in an object, null in a list. */
  private final String name;

  /** The place in a list. */
  private final int index;

  private LocatedJson(Kind kind, Position position, Location at, String text) {
    this.kind = kind;
    this.parent = position.parent;
    this.name = position.name;
    this.index = position.index;
    this.line = at.line;
    this.column = at.column;
    this.text = text;
    this.members = kind == Kind.OBJECT ? new LinkedHashMap<>() : Map.of();
    this.items = kind == Kind.ARRAY ? new ArrayList<>() : List.of();
  }

  /** Where a value stands: in what, and under which name or at which place of a list. */
  private record Position(LocatedJson parent, String name, int index) {}

  /** The way to it from the top, such as {@code routes[3].name}; empty at the top. */
  private String path() {
    if (parent == null) return "";
    String above = parent.path();
    if (name == null) return above + "[" + index + "]";
    return above.isEmpty() ? name : above + "." + name;
  }

  public String place() {
    String path = path();
    return "line " + line + ", column " + column + " (" + (path.isEmpty() ? "top" : path) + ")";
  }

  /** Bytes as text; what isn't UTF-8 is a finding, as it could not be read back as it was sent. */
  public static Result<String> decodeUtf8(byte[] bytes) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      return Result.good(StandardCharsets.UTF_8.newDecoder().decode(buffer).toString());
    } catch (CharacterCodingException e) {
      return Result.bad("body", "is not UTF-8");
    }
  }

  public static Result<LocatedJson> parse(String json) {
    Findings findings = new Findings();
    Reader r = new Reader(findings);
    try {
      new JsonParser(r).parse(json);
    } catch (ParseException e) {
      findings.add(
          "line " + e.getLocation().line + ", column " + e.getLocation().column,
          "not JSON: " + e.getMessage().replaceFirst(" at \\d+:\\d+$", ""));
    }
    return Result.of(findings, () -> r.lastValue);
  }

  public Fields fields(Findings findings) {
    return new Fields(this, findings);
  }

  /**
   * Makes the nodes. A large text has hundreds of thousands of them, so what is equal in many is
   * one object: names of fields, and short texts.
   */
  private static final class Reader extends JsonHandler<Object, Object> {
    /** Longer texts are seldom equal. */
    private static final int MAX_SHARED_TEXT_CHARS = 24;

    private static final int MAX_SHARED_TEXTS = 4096;

    private final Findings findings;
    private final Map<String, String> sharedTexts = new HashMap<>();
    private final ArrayDeque<Position> positions = new ArrayDeque<>();
    private final ArrayDeque<LocatedJson> openContainers = new ArrayDeque<>();
    private final ArrayDeque<Location> startLocations = new ArrayDeque<>();
    private LocatedJson lastValue;

    Reader(Findings findings) {
      this.findings = findings;
      positions.push(new Position(null, null, 0));
    }

    private void finishScalar(Kind k, String text) {
      lastValue = new LocatedJson(k, positions.peek(), startLocations.pop(), intern(text));
    }

    private String intern(String text) {
      if (text == null || text.length() > MAX_SHARED_TEXT_CHARS) return text;
      String first = sharedTexts.get(text);
      if (first != null) return first;
      if (sharedTexts.size() < MAX_SHARED_TEXTS) sharedTexts.put(text, text);
      return text;
    }

    private void markStart() {
      startLocations.push(getLocation());
    }

    @Override
    public void startNull() {
      markStart();
    }

    @Override
    public void endNull() {
      finishScalar(Kind.NULL, null);
    }

    @Override
    public void startBoolean() {
      markStart();
    }

    @Override
    public void endBoolean(boolean v) {
      finishScalar(Kind.BOOLEAN, String.valueOf(v));
    }

    @Override
    public void startString() {
      markStart();
    }

    @Override
    public void endString(String text) {
      finishScalar(Kind.STRING, text);
    }

    @Override
    public void startNumber() {
      markStart();
    }

    @Override
    public void endNumber(String text) {
      finishScalar(Kind.NUMBER, text);
    }

    @Override
    public Object startArray() {
      openContainers.push(new LocatedJson(Kind.ARRAY, positions.peek(), getLocation(), null));
      return null;
    }

    @Override
    public void endArray(Object a) {
      lastValue = openContainers.pop();
    }

    @Override
    public void startArrayValue(Object a) {
      positions.push(new Position(openContainers.peek(), null, openContainers.peek().items.size()));
    }

    @Override
    public void endArrayValue(Object a) {
      positions.pop();
      openContainers.peek().items.add(lastValue);
    }

    @Override
    public Object startObject() {
      openContainers.push(new LocatedJson(Kind.OBJECT, positions.peek(), getLocation(), null));
      return null;
    }

    @Override
    public void endObject(Object o) {
      lastValue = openContainers.pop();
    }

    @Override
    public void startObjectValue(Object o, String name) {
      positions.push(new Position(openContainers.peek(), intern(name), 0));
    }

    @Override
    public void endObjectValue(Object o, String name) {
      positions.pop();
      if (openContainers.peek().members.putIfAbsent(intern(name), lastValue) != null)
        findings.add(lastValue.place(), "given twice");
    }
  }

  public static final class Fields {
    private final LocatedJson node;
    private final Findings findings;
    private final Set<String> requestedNames = new HashSet<>();

    private Fields(LocatedJson doc, Findings findings) {
      this.node = doc;
      this.findings = findings;
      if (doc.kind != Kind.OBJECT) findings.add(doc.place(), "must be an object");
    }

    public boolean has(String name) {
      return node.members.containsKey(name);
    }

    public String place(String name) {
      LocatedJson json = node.members.get(name);
      return json == null ? node.place() : json.place();
    }

    private LocatedJson get(String name, Kind k, boolean must) {
      requestedNames.add(name);
      LocatedJson json = node.members.get(name);
      if (json == null) {
        if (must && node.kind == Kind.OBJECT)
          findings.add(node.place(), "misses the field " + name);
        return null;
      }
      if (json.kind != k) {
        findings.add(
            json.place(),
            "must be "
                + switch (k) {
                  case OBJECT -> "an object";
                  case ARRAY -> "a list";
                  case STRING -> "a text";
                  case NUMBER -> "a number";
                  case BOOLEAN -> "true or false";
                  case NULL -> "null";
                });
        return null;
      }
      return json;
    }

    public String text(String name) {
      LocatedJson json = get(name, Kind.STRING, true);
      if (json == null) return "";
      if (json.text.isBlank()) findings.add(json.place(), "must not be empty");
      return json.text;
    }

    public String text(String name, String defaultValue) {
      LocatedJson json = get(name, Kind.STRING, false);
      return json == null ? defaultValue : json.text;
    }

    public long integer(String name, long defaultValue, long min, long max) {
      return integer(name, false, defaultValue, min, max);
    }

    public long integer(String name, long min, long max) {
      return integer(name, true, min, min, max);
    }

    private long integer(String name, boolean must, long defaultValue, long min, long max) {
      LocatedJson json = get(name, Kind.NUMBER, must);
      if (json == null) return defaultValue;
      try {
        long v = Long.parseLong(json.text);
        if (v >= min && v <= max) return v;
      } catch (NumberFormatException e) {
        // reported below with the range
      }
      findings.add(json.place(), "must be a whole number from " + min + " to " + max);
      return defaultValue;
    }

    public double fraction(String name, double defaultValue, double min, double max) {
      LocatedJson json = get(name, Kind.NUMBER, false);
      if (json == null) return defaultValue;
      double v = Double.parseDouble(json.text);
      if (v >= min && v <= max) return v;
      findings.add(json.place(), "must be a number from " + min + " to " + max);
      return defaultValue;
    }

    public boolean flag(String name, boolean defaultValue) {
      LocatedJson json = get(name, Kind.BOOLEAN, false);
      return json == null ? defaultValue : json.text.equals("true");
    }

    public List<LocatedJson> list(String name, boolean must) {
      LocatedJson json = get(name, Kind.ARRAY, must);
      return json == null ? List.of() : json.items;
    }

    public List<String> texts(String name, boolean must) {
      List<String> out = new ArrayList<>();
      for (LocatedJson json : list(name, must)) {
        if (json.kind == Kind.STRING && !json.text.isBlank()) out.add(json.text);
        else findings.add(json.place(), "must be a text that is not empty");
      }
      return out;
    }

    public LocatedJson object(String name, boolean must) {
      return get(name, Kind.OBJECT, must);
    }

    public void reportUnknownFields() {
      for (Map.Entry<String, LocatedJson> e : node.members.entrySet())
        if (!requestedNames.contains(e.getKey()))
          findings.add(e.getValue().place(), "is not a known field");
    }
  }
}

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
 * A node of a JSON document, parsed with minimal-json, that records its line, column and path, so
 * that findings can name the position of each problem. {@link Fields} reads an object and reports
 * fields that were never read.
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

  /** The fields of an object by name, in document order; empty for other kinds. */
  public final Map<String, LocatedJson> members;

  /** The items of a list; empty for other kinds. */
  public final List<LocatedJson> items;

  /** The enclosing object or list, or null at the top level. */
  private final LocatedJson parent;

  /** The field's name in an object, null in a list. */
  private final String name;

  /** The index in a list. */
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

  /** The position of a value: its parent and its name or index there. */
  private record Position(LocatedJson parent, String name, int index) {}

  /** Returns the path from the top level, such as {@code routes[3].name}; empty at the top. */
  private String path() {
    if (parent == null) return "";
    String above = parent.path();
    if (name == null) return above + "[" + index + "]";
    return above.isEmpty() ? name : above + "." + name;
  }

  /** Returns line, column and path, for findings. */
  public String place() {
    String path = path();
    return "line " + line + ", column " + column + " (" + (path.isEmpty() ? "top" : path) + ")";
  }

  /** Decodes UTF-8; invalid bytes are a finding, as they could not be read back unchanged. */
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
    Reader reader = new Reader(findings);
    try {
      new JsonParser(reader).parse(json);
    } catch (ParseException e) {
      findings.add(
          "line " + e.getLocation().line + ", column " + e.getLocation().column,
          "not JSON: " + e.getMessage().replaceFirst(" at \\d+:\\d+$", ""));
    }
    return Result.of(findings, () -> reader.lastValue);
  }

  public Fields fields(Findings findings) {
    return new Fields(this, findings);
  }

  /**
   * Builds the nodes. A large document has hundreds of thousands of them, so equal field names and
   * equal short texts share one object.
   */
  private static final class Reader extends JsonHandler<Object, Object> {
    /** Longer texts are rarely equal. */
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

    private void finishScalar(Kind kind, String text) {
      lastValue = new LocatedJson(kind, positions.peek(), startLocations.pop(), intern(text));
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

  /** Reads the fields of an object, collecting findings and the names that were read. */
  public static final class Fields {
    private final LocatedJson node;
    private final Findings findings;
    private final Set<String> requestedNames = new HashSet<>();

    private Fields(LocatedJson node, Findings findings) {
      this.node = node;
      this.findings = findings;
      if (node.kind != Kind.OBJECT) findings.add(node.place(), "must be an object");
    }

    public boolean has(String name) {
      return node.members.containsKey(name);
    }

    public String place(String name) {
      LocatedJson value = node.members.get(name);
      return value == null ? node.place() : value.place();
    }

    private LocatedJson get(String name, Kind expected, boolean required) {
      requestedNames.add(name);
      LocatedJson value = node.members.get(name);
      if (value == null) {
        if (required && node.kind == Kind.OBJECT)
          findings.add(node.place(), "misses the field " + name);
        return null;
      }
      if (value.kind != expected) {
        findings.add(
            value.place(),
            "must be "
                + switch (expected) {
                  case OBJECT -> "an object";
                  case ARRAY -> "a list";
                  case STRING -> "a text";
                  case NUMBER -> "a number";
                  case BOOLEAN -> "true or false";
                  case NULL -> "null";
                });
        return null;
      }
      return value;
    }

    public String text(String name) {
      LocatedJson value = get(name, Kind.STRING, true);
      if (value == null) return "";
      if (value.text.isBlank()) findings.add(value.place(), "must not be empty");
      return value.text;
    }

    public String text(String name, String defaultValue) {
      LocatedJson value = get(name, Kind.STRING, false);
      return value == null ? defaultValue : value.text;
    }

    public long integer(String name, long defaultValue, long min, long max) {
      return integer(name, false, defaultValue, min, max);
    }

    public long integer(String name, long min, long max) {
      return integer(name, true, min, min, max);
    }

    private long integer(String name, boolean required, long defaultValue, long min, long max) {
      LocatedJson value = get(name, Kind.NUMBER, required);
      if (value == null) return defaultValue;
      try {
        long number = Long.parseLong(value.text);
        if (number >= min && number <= max) return number;
      } catch (NumberFormatException e) {
        // reported below with the range
      }
      findings.add(value.place(), "must be a whole number from " + min + " to " + max);
      return defaultValue;
    }

    public double fraction(String name, double defaultValue, double min, double max) {
      LocatedJson value = get(name, Kind.NUMBER, false);
      if (value == null) return defaultValue;
      double number = Double.parseDouble(value.text);
      if (number >= min && number <= max) return number;
      findings.add(value.place(), "must be a number from " + min + " to " + max);
      return defaultValue;
    }

    public boolean flag(String name, boolean defaultValue) {
      LocatedJson value = get(name, Kind.BOOLEAN, false);
      return value == null ? defaultValue : value.text.equals("true");
    }

    public List<LocatedJson> list(String name, boolean required) {
      LocatedJson value = get(name, Kind.ARRAY, required);
      return value == null ? List.of() : value.items;
    }

    public List<String> texts(String name, boolean required) {
      List<String> texts = new ArrayList<>();
      for (LocatedJson value : list(name, required)) {
        if (value.kind == Kind.STRING && !value.text.isBlank()) texts.add(value.text);
        else findings.add(value.place(), "must be a text that is not empty");
      }
      return texts;
    }

    public LocatedJson object(String name, boolean required) {
      return get(name, Kind.OBJECT, required);
    }

    /** Reports each field that was never read as a finding. */
    public void reportUnknownFields() {
      for (Map.Entry<String, LocatedJson> e : node.members.entrySet())
        if (!requestedNames.contains(e.getKey()))
          findings.add(e.getValue().place(), "is not a known field");
    }
  }
}

package gladelug.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A process's place: read from a settings file in JSON, from flags, or both, where a flag goes
 * first. All findings, from either, are collected and reported together before anything starts.
 */
public final class Settings {
  private static final LocatedJson EMPTY_FILE =
      ((Result.Good<LocatedJson>) LocatedJson.parse("{}")).value();
  private final LocatedJson.Fields file;
  private final Map<String, String> flags;
  public final Findings findings;

  private Settings(LocatedJson json, Map<String, String> flags, Findings findings) {
    this.file = json.fields(findings);
    this.flags = flags;
    this.findings = findings;
  }

  public static Result<Settings> open(String path, Map<String, String> flags) {
    Map<String, String> fl = new HashMap<>(flags);
    fl.values().removeIf(v -> v == null);
    if (path == null) return Result.good(new Settings(EMPTY_FILE, fl, new Findings()));
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (IOException | RuntimeException e) {
      return Result.bad("settings file " + path, "cannot be read: " + e.getClass().getSimpleName());
    }
    return LocatedJson.parse(text)
        .flatMap(json -> Result.good(new Settings(json, fl, new Findings())));
  }

  /** A setting's name as a flag. */
  public static String flag(String name) {
    return "--" + name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
  }

  public boolean has(String name) {
    return flags.containsKey(name) || file.has(name);
  }

  private String place(String name) {
    return flags.containsKey(name) ? flag(name) : file.place(name);
  }

  public String text(String name) {
    if (!has(name)) {
      findings.add(flag(name), "is needed, as a flag or as " + name + " in the settings file");
      return "";
    }
    String text = text(name, "");
    if (text.isBlank()) findings.add(place(name), "must not be empty");
    return text;
  }

  public String text(String name, String defaultValue) {
    String inFile = file.text(name, defaultValue);
    return flags.getOrDefault(name, inFile);
  }

  public String name(String name) {
    String text = text(name);
    if (!text.isEmpty() && !text.matches("[a-z0-9][a-z0-9-]{0,30}"))
      findings.add(place(name), "must be small letters, digits and hyphens, 31 at most: " + text);
    return text;
  }

  public Address address(String name) {
    String text = text(name);
    return Address.read(text, place(name), findings);
  }

  public Address address(String name, Address address) {
    return has(name) ? address(name) : address;
  }

  public long integer(String name, long defaultValue, long min, long max) {
    if (!flags.containsKey(name)) return file.integer(name, defaultValue, min, max);
    file.integer(name, defaultValue, Long.MIN_VALUE, Long.MAX_VALUE);
    try {
      long v = Long.parseLong(flags.get(name));
      if (v >= min && v <= max) return v;
    } catch (NumberFormatException e) {
      // reported below with the range
    }
    findings.add(flag(name), "must be a whole number from " + min + " to " + max);
    return defaultValue;
  }

  public List<String> texts(String name) {
    List<String> f = file.texts(name, false);
    if (!flags.containsKey(name)) return f;
    return List.of(flags.get(name).split(",")).stream()
        .map(String::trim)
        .filter(text -> !text.isEmpty())
        .toList();
  }

  public List<Address> addresses(String name) {
    List<Address> out = new ArrayList<>();
    for (String text : texts(name)) out.add(Address.read(text, place(name), findings));
    return out;
  }

  /** The last call: fields nobody asked for are findings too. */
  public <T> Result<T> build(Supplier<T> made) {
    file.reportUnknownFields();
    return Result.of(findings, made);
  }
}

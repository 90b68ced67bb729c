package gladelug.emulator.check;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.lang.reflect.Constructor;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * A copy of the core with one fault in it: a passage of a source file is replaced, the file is
 * compiled in memory, and a scenario runs on the result. The core itself is not changed.
 *
 * <p>This class loader defines every class of the project again, the classes of the changed file
 * from the bytes compiled here. No static state is shared with the classes that the tests
 * themselves use.
 */
final class MutatedCore extends ClassLoader {
  private static final Path SOURCE_ROOT =
      Path.of("../control-plane/src/main/java/gladelug/control");
  private static final String PROJECT_PREFIX = "gladelug.";

  /** The class files compiled from the changed source file, by class name. */
  private final Map<String, byte[]> changedClasses;

  private MutatedCore(Map<String, byte[]> changedClasses) {
    super(MutatedCore.class.getClassLoader());
    this.changedClasses = changedClasses;
  }

  /**
   * Returns the core in which the only occurrence of a passage is replaced. White space in the
   * passage matches any white space.
   *
   * @param file path relative to the directory of the control plane's package
   * @throws AssertionError if the passage does not occur exactly once, or the result does not
   *     compile
   */
  static MutatedCore with(String file, String passage, String replacement) {
    return new MutatedCore(compile(file, replacePassage(file, passage, replacement)));
  }

  /** Returns the unchanged core, loaded in the same way. */
  static MutatedCore unchanged() {
    return new MutatedCore(Map.of());
  }

  private static String replacePassage(String file, String passage, String replacement) {
    String source;
    try {
      source = Files.readString(SOURCE_ROOT.resolve(file));
    } catch (IOException e) {
      throw new AssertionError("source file not found: " + file + "; it may have been renamed", e);
    }
    String tokens =
        Arrays.stream(passage.trim().split("\\s+"))
            .map(Pattern::quote)
            .collect(Collectors.joining("\\s+"));
    Matcher matcher = Pattern.compile(tokens).matcher(source);
    long count = matcher.results().count();
    if (count != 1)
      throw new AssertionError(
          file + " contains the passage " + count + " times instead of once: " + passage);
    return matcher.reset().replaceFirst(Matcher.quoteReplacement(replacement));
  }

  /** Compiles one source file and returns its class files by class name. */
  private static Map<String, byte[]> compile(String file, String source) {
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    StringWriter messages = new StringWriter();
    String classPath = System.getProperty("java.class.path");
    List<String> options =
        List.of("-classpath", classPath, "-proc:none", "-implicit:none", "-nowarn");
    try (StandardJavaFileManager standard = compiler.getStandardFileManager(null, null, null);
        CompiledClasses classes = new CompiledClasses(standard)) {
      boolean compiled =
          compiler
              .getTask(
                  messages, classes, null, options, null, List.of(new SourceText(file, source)))
              .call();
      if (!compiled) throw new AssertionError(file + " does not compile: " + messages);
      return classes.bytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs a scenario on this core. Returns the violation it found, or an empty string. */
  String run(Class<? extends Supplier<String>> scenario) {
    try {
      Constructor<?> constructor = loadClass(scenario.getName()).getDeclaredConstructor();
      constructor.setAccessible(true);
      return (String) ((Supplier<?>) constructor.newInstance()).get();
    } catch (ReflectiveOperationException e) {
      throw new AssertionError(scenario + " cannot be run", e);
    }
  }

  @Override
  protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
    if (!name.startsWith(PROJECT_PREFIX)) return super.loadClass(name, resolve);
    synchronized (getClassLoadingLock(name)) {
      Class<?> loaded = findLoadedClass(name);
      if (loaded != null) return loaded;
      byte[] bytes =
          changedClasses.containsKey(name) ? changedClasses.get(name) : readClassFile(name);
      return defineClass(name, bytes, 0, bytes.length);
    }
  }

  private byte[] readClassFile(String name) throws ClassNotFoundException {
    String resource = name.replace('.', '/') + ".class";
    try (InputStream in = getParent().getResourceAsStream(resource)) {
      if (in == null) throw new ClassNotFoundException(name);
      return in.readAllBytes();
    } catch (IOException e) {
      throw new ClassNotFoundException(name, e);
    }
  }

  /** A source file held in memory. */
  private static final class SourceText extends SimpleJavaFileObject {
    private final String text;

    SourceText(String file, String text) {
      super(URI.create("memory:///" + file), Kind.SOURCE);
      this.text = text;
    }

    @Override
    public CharSequence getCharContent(boolean ignoreEncodingErrors) {
      return text;
    }
  }

  /** Keeps the compiler's class files in memory. */
  private static final class CompiledClasses extends ForwardingJavaFileManager<JavaFileManager> {
    private final Map<String, ByteArrayOutputStream> outputs = new HashMap<>();

    CompiledClasses(JavaFileManager standard) {
      super(standard);
    }

    @Override
    public JavaFileObject getJavaFileForOutput(
        Location location, String className, JavaFileObject.Kind kind, FileObject sibling) {
      URI name = URI.create("memory:///" + className.replace('.', '/') + kind.extension);
      return new SimpleJavaFileObject(name, kind) {
        @Override
        public OutputStream openOutputStream() {
          ByteArrayOutputStream bytes = new ByteArrayOutputStream();
          outputs.put(className, bytes);
          return bytes;
        }
      };
    }

    Map<String, byte[]> bytes() {
      Map<String, byte[]> bytes = new HashMap<>();
      outputs.forEach((name, output) -> bytes.put(name, output.toByteArray()));
      return bytes;
    }
  }
}

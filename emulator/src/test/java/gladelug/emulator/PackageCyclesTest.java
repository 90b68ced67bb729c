package gladelug.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * No packages of the main code of any module depend on each other in a circle, as the compiled
 * classes have it. What still does is listed class by class, and the list may only shrink.
 */
final class PackageCyclesTest {
  /**
   * Dependencies without which there is no cycle today: "class -> class" of two top-level types,
   * without the prefix "gladelug.". Nothing may be added.
   */
  private static final Set<String> KNOWN_BACKWARD_DEPENDENCIES =
      Set.of(
          "data.decisions.DecisionLogService -> data.StatusEndpoint",
          "data.relay.RelayService -> data.StatusEndpoint",
          "data.request.Request -> data.relay.Backend",
          "emulator.CommandLine -> emulator.control.FaultScenarios",
          "emulator.FleetEmulator -> emulator.control.ControlFaultRun",
          "emulator.FleetEmulator -> emulator.control.FaultScenarios",
          "emulator.FleetEmulator -> emulator.day.Day",
          "emulator.FleetEmulator -> emulator.scale.ScalePlan",
          "emulator.FleetEmulator -> emulator.scale.ScaleRun",
          "emulator.FleetEmulator -> emulator.sim.RequestScenarios");

  private static final Set<String> MODULE_PACKAGES =
      Set.of("common", "control", "data", "tools", "platform", "emulator");

  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("gladelug");

  /** For each package, the packages that it uses and an example of each use. */
  private static final class PackageGraph {
    private final Map<String, Map<String, String>> uses = new TreeMap<>();

    void add(TypeDependency dependency) {
      uses.computeIfAbsent(dependency.fromPackage(), name -> new TreeMap<>())
          .putIfAbsent(dependency.toPackage(), dependency.toString());
    }

    /** The shortest way of dependencies between two packages, empty when there is none. */
    List<String> path(String from, String to) {
      Map<String, String> previous = new HashMap<>();
      Deque<String> next = new ArrayDeque<>(List.of(from));
      while (!next.isEmpty() && !previous.containsKey(to)) {
        String name = next.remove();
        for (String used : uses.getOrDefault(name, Map.of()).keySet())
          if (previous.putIfAbsent(used, name) == null) next.add(used);
      }
      List<String> steps = new ArrayList<>();
      if (!previous.containsKey(to)) return steps;
      String step = to;
      do {
        steps.add(0, uses.get(previous.get(step)).get(step));
        step = previous.get(step);
      } while (!step.equals(from));
      return steps;
    }

    /** The shortest cycle through each package that lies on one, a dependency a step. */
    Set<List<String>> cycles() {
      Map<Set<String>, List<String>> cycles = new HashMap<>();
      for (String name : uses.keySet()) {
        List<String> cycle = path(name, name);
        if (!cycle.isEmpty()) cycles.putIfAbsent(new TreeSet<>(cycle), cycle);
      }
      return Set.copyOf(cycles.values());
    }
  }

  /** A use of one top-level type by another of a different package, both without "gladelug.". */
  private record TypeDependency(String from, String to) {
    String fromPackage() {
      return packageOf(from);
    }

    String toPackage() {
      return packageOf(to);
    }

    private static String packageOf(String type) {
      return type.substring(0, type.lastIndexOf('.'));
    }

    @Override
    public String toString() {
      return from + " -> " + to;
    }
  }

  private static String topLevelName(JavaClass type) {
    String name = type.getBaseComponentType().getName();
    int nested = name.indexOf('$');
    return (nested < 0 ? name : name.substring(0, nested)).replaceFirst("^gladelug\\.", "");
  }

  private static List<TypeDependency> dependenciesBetweenPackages() {
    List<TypeDependency> found = new ArrayList<>();
    for (JavaClass type : MAIN_CLASSES)
      for (Dependency dependency : type.getDirectDependenciesFromSelf()) {
        JavaClass target = dependency.getTargetClass().getBaseComponentType();
        if (!target.getPackageName().startsWith("gladelug")) continue;
        TypeDependency use = new TypeDependency(topLevelName(type), topLevelName(target));
        if (!use.fromPackage().equals(use.toPackage())) found.add(use);
      }
    return found;
  }

  @Test
  void classesOfEveryModuleAreSeen() {
    Set<String> modules = new TreeSet<>();
    for (JavaClass type : MAIN_CLASSES) modules.add(type.getPackageName().split("\\.")[1]);

    assertEquals(new TreeSet<>(MODULE_PACKAGES), modules);
  }

  @Test
  void packagesDependOnEachOtherInNoCircle() {
    PackageGraph graph = new PackageGraph();
    for (TypeDependency dependency : dependenciesBetweenPackages())
      if (!KNOWN_BACKWARD_DEPENDENCIES.contains(dependency.toString())) graph.add(dependency);

    StringBuilder report = new StringBuilder();
    for (List<String> cycle : graph.cycles())
      report.append("\ncycle:\n  ").append(String.join("\n  ", cycle));
    assertTrue(report.isEmpty(), report::toString);
  }

  @Test
  void everyListedDependencyStillClosesACycle() {
    PackageGraph graph = new PackageGraph();
    Map<String, TypeDependency> existing = new HashMap<>();
    for (TypeDependency dependency : dependenciesBetweenPackages()) {
      existing.put(dependency.toString(), dependency);
      graph.add(dependency);
    }

    Set<String> mended = new TreeSet<>();
    for (String listed : KNOWN_BACKWARD_DEPENDENCIES) {
      TypeDependency dependency = existing.get(listed);
      if (dependency == null
          || graph.path(dependency.toPackage(), dependency.fromPackage()).isEmpty())
        mended.add(listed);
    }
    assertEquals(Set.of(), mended, "no longer on a cycle, to be taken off the list");
  }

  @Test
  void aCircleOfThreePackagesIsNamedWithItsSteps() {
    PackageGraph graph = new PackageGraph();
    graph.add(new TypeDependency("a.First", "b.Second"));
    graph.add(new TypeDependency("b.Second", "c.Third"));
    graph.add(new TypeDependency("c.Third", "a.First"));
    graph.add(new TypeDependency("d.Fourth", "a.First"));

    assertEquals(
        Set.of(List.of("a.First -> b.Second", "b.Second -> c.Third", "c.Third -> a.First")),
        graph.cycles());
  }
}

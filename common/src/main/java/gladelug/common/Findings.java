package gladelug.common;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects findings so that a reader can go on after the first and report all of them together.
 * Whoever asked for the reading then looks at clean() once, and changes nothing unless it holds.
 */
public final class Findings {
  private final List<Finding> all = new ArrayList<>();

  public void add(String place, String what) {
    all.add(new Finding(place, what));
  }

  public boolean isEmpty() {
    return all.isEmpty();
  }

  public List<Finding> list() {
    return List.copyOf(all);
  }

  @Override
  public String toString() {
    StringBuilder builder = new StringBuilder();
    for (Finding f : all) builder.append(f).append('\n');
    return builder.toString();
  }
}

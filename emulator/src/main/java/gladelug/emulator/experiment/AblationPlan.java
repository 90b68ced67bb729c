package gladelug.emulator.experiment;

import gladelug.data.relay.Mechanism;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What is to be played.
 *
 * @param bench the bench's program, given by who runs the experiment
 * @param site the site file
 * @param days names of days
 * @param seeds seeds of each day; empty for the day's own
 * @param mechanisms those switched off, one at a time
 * @param options further options of the bench
 * @param out where tables, reports and the variants' checkouts go
 */
public record AblationPlan(
    Path bench,
    Path site,
    List<String> days,
    List<String> seeds,
    List<Mechanism> mechanisms,
    List<String> options,
    Path out) {
  /** The row with every mechanism on. */
  static final String ALL_ON = "all-on";

  /** One play: a variant is ALL_ON or the name of the mechanism that is off. */
  record Trial(String variant, String day, String seed) {
    String label() {
      return variant + "_" + day + (seed.isEmpty() ? "" : "_" + seed);
    }
  }

  /** The variants, the complete one first. */
  List<String> variants() {
    List<String> variants = new ArrayList<>(List.of(ALL_ON));
    for (Mechanism mechanism : mechanisms) variants.add(mechanism.settingName());
    return variants;
  }

  /** All plays of a variant. */
  List<Trial> trials(String variant) {
    List<Trial> trials = new ArrayList<>();
    for (String day : days)
      for (String seed : seeds.isEmpty() ? List.of("") : seeds)
        trials.add(new Trial(variant, day, seed));
    return trials;
  }

  /** The bench's command for a play; report is where it writes its figures. */
  List<String> command(Trial trial, Path report, String why) {
    List<String> command =
        new ArrayList<>(List.of(bench.toString(), "run", site.toString(), trial.day));
    if (!trial.seed.isEmpty()) command.addAll(List.of("--seed", trial.seed));
    command.addAll(options);
    command.addAll(List.of("--report", report.toString(), "--why", why));
    return command;
  }
}

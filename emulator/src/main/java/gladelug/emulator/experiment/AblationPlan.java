package gladelug.emulator.experiment;

import gladelug.data.relay.Mechanism;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The trials of an ablation.
 *
 * @param bench the bench's executable
 * @param site the site file
 * @param days the names of the days to run
 * @param seeds the seeds of each day; empty to use the day's own seed
 * @param mechanisms the mechanisms that are disabled, one at a time
 * @param options additional options for the bench
 * @param out the folder for tables, reports and the checkout
 */
public record AblationPlan(
    Path bench,
    Path site,
    List<String> days,
    List<String> seeds,
    List<Mechanism> mechanisms,
    List<String> options,
    Path out) {
  /** The variant with every mechanism enabled. */
  static final String ALL_ON = "all-on";

  /**
   * One run of the bench; the variant is ALL_ON or the name of the disabled mechanism, an empty
   * seed means the day's own.
   */
  record Trial(String variant, String day, String seed) {
    String label() {
      return variant + "_" + day + (seed.isEmpty() ? "" : "_" + seed);
    }
  }

  /** Returns the variants, the one with every mechanism enabled first. */
  List<String> variants() {
    List<String> variants = new ArrayList<>(List.of(ALL_ON));
    for (Mechanism mechanism : mechanisms) variants.add(mechanism.settingName());
    return variants;
  }

  /** Returns all trials of a variant. */
  List<Trial> trials(String variant) {
    List<Trial> trials = new ArrayList<>();
    for (String day : days)
      for (String seed : seeds.isEmpty() ? List.of("") : seeds)
        trials.add(new Trial(variant, day, seed));
    return trials;
  }

  /** Returns the bench's command for a trial, which writes its results to {@code report}. */
  List<String> command(Trial trial, Path report, String why) {
    List<String> command =
        new ArrayList<>(List.of(bench.toString(), "run", site.toString(), trial.day));
    if (!trial.seed.isEmpty()) command.addAll(List.of("--seed", trial.seed));
    command.addAll(options);
    command.addAll(List.of("--report", report.toString(), "--why", why));
    return command;
  }
}

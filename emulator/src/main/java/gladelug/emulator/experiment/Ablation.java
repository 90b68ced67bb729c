package gladelug.emulator.experiment;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Plays a plan: in a checkout of this repository the deploy file switches one mechanism of the
 * relays off after the other, and there the bench plays, one play after the other. A play that
 * gives no figure is said so and counts in no mean.
 */
public final class Ablation {
  private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");

  /** How the relay's command ends in the deploy file. */
  private static final String RELAY_COMMAND_END = "program.jar relay\"";

  /** The figure of a report that says which share of its requests was served. */
  private static final String SERVED = "served";

  private final AblationPlan plan;
  private final Path repository;
  private final AblationTable table = new AblationTable();

  /** repository: whose last commit is played. */
  public Ablation(AblationPlan plan, Path repository) {
    this.plan = plan;
    this.repository = repository;
  }

  /** Plays everything and writes the table after each variant. */
  public void run() throws IOException, InterruptedException {
    Files.createDirectories(plan.out());
    Path checkout = checkout();
    Path deployFile = checkout.resolve(DEPLOY_FILE);
    String complete = Files.readString(deployFile);
    for (String variant : plan.variants()) {
      writeDeployFile(deployFile, complete, variant);
      for (AblationPlan.Trial trial : plan.trials(variant))
        table.add(variant, runTrial(trial, checkout));
      table.write(plan.out(), plan.site().getFileName() + ", what callers get by each mechanism");
      System.out.println(table.markdown());
    }
  }

  /** One checkout for all variants, so that only the first has to be built. */
  private Path checkout() throws IOException, InterruptedException {
    Path folder = plan.out().resolve("checkout").toAbsolutePath();
    if (!Files.exists(folder))
      runProcess(
          List.of("git", "clone", "--quiet", repository.toString(), folder.toString()),
          repository,
          plan.out().resolve("clone.log"));
    return folder;
  }

  private static void writeDeployFile(Path deployFile, String complete, String variant)
      throws IOException {
    String off = RELAY_COMMAND_END.replace("\"", " --without " + variant + "\"");
    boolean all = variant.equals(AblationPlan.ALL_ON);
    Files.writeString(deployFile, all ? complete : complete.replace(RELAY_COMMAND_END, off));
  }

  private double runTrial(AblationPlan.Trial trial, Path checkout)
      throws IOException, InterruptedException {
    Path report = plan.out().resolve(trial.label() + ".json").toAbsolutePath();
    Path log = plan.out().resolve(trial.label() + ".txt");
    String why = "ablation, " + trial.variant() + (hasAllMechanisms(trial) ? "" : " off");
    int ended = runProcess(plan.command(trial, report, why), checkout, log);
    double served = ended == 0 || Files.exists(report) ? readServedShare(report) : Double.NaN;
    System.out.println(
        trial.label() + " " + (Double.isNaN(served) ? "no figure, see " + log : served));
    return served;
  }

  private static boolean hasAllMechanisms(AblationPlan.Trial trial) {
    return trial.variant().equals(AblationPlan.ALL_ON);
  }

  private static double readServedShare(Path report) throws IOException {
    try {
      JsonValue served = Json.parse(Files.readString(report)).asObject().get(SERVED);
      return served == null || !served.isNumber() ? Double.NaN : served.asDouble();
    } catch (ParseException e) {
      return Double.NaN;
    }
  }

  private static int runProcess(List<String> command, Path folder, Path log)
      throws IOException, InterruptedException {
    File output = log.toFile();
    return new ProcessBuilder(command)
        .directory(folder.toFile())
        .redirectErrorStream(true)
        .redirectOutput(output)
        .start()
        .waitFor();
  }
}

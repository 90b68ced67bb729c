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
 * Runs an ablation plan in a checkout of this repository: disables one relay mechanism after the
 * other in the deploy file and runs the bench's trials one by one. A trial without a result is
 * reported and excluded from the means.
 */
public final class Ablation {
  private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");

  /** The end of the relay's command in the deploy file. */
  private static final String RELAY_COMMAND_END = "program.jar relay\"";

  /** The field of a report with the share of requests that were served. */
  private static final String SERVED = "served";

  private final AblationPlan plan;
  private final Path repository;
  private final AblationTable table = new AblationTable();

  /** Creates an ablation that runs the last commit of {@code repository}. */
  public Ablation(AblationPlan plan, Path repository) {
    this.plan = plan;
    this.repository = repository;
  }

  /** Runs all trials and writes the table after each variant. */
  public void run() throws IOException, InterruptedException {
    Files.createDirectories(plan.out());
    Path checkout = checkout();
    Path deployFile = checkout.resolve(DEPLOY_FILE);
    String complete = Files.readString(deployFile);
    for (String variant : plan.variants()) {
      writeDeployFile(deployFile, complete, variant);
      for (AblationPlan.Trial trial : plan.trials(variant))
        table.add(variant, runTrial(trial, checkout));
      table.write(
          plan.out(), plan.site().getFileName() + ", share of requests served by each mechanism");
      System.out.println(table.markdown());
    }
  }

  /** Returns one checkout for all variants, so that only the first has to be built. */
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
    int exitCode = runProcess(plan.command(trial, report, why), checkout, log);
    double served = exitCode == 0 || Files.exists(report) ? readServedShare(report) : Double.NaN;
    System.out.println(
        trial.label() + " " + (Double.isNaN(served) ? "no result, see " + log : served));
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

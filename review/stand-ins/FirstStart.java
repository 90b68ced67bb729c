import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Of three machines that found a fleet, one loses its disk at the first start and comes back. */
final class FirstStart {
  /** After the start of all processes, while the lost one still starts. */
  private static final int LOST_AT_MS = 300;

  private static final int BACK_AFTER_MS = 1000;

  /** From then on; traffic starts 15 s after the machines do, and CatchUpS is 4, RecoveryS 12. */
  private static final double CONFIGURED_WITHIN_S = 45;

  private static final int REQUESTS = 12;

  private FirstStart() {}

  static int play(Stage stage, boolean trouble) throws Exception {
    Replica replica =
        new Replica(stage.ip(50), "i-7f3a91c2", Deployment.SERVICE, Deployment.MODEL, stage.record,
            (id, tenant, part, maker, by) -> {});
    stage.instances = () -> List.of(replica.listed("ready", "zone-1"));
    stage.startAll();
    stage.record.add("all processes are started");
    if (trouble) {
      Stage.sleep(LOST_AT_MS);
      lose(stage);
    }
    String text =
        Deployment.configuration(5, List.of(new Deployment.Tenant("kaje80", false)),
            List.of(Deployment.route("r-1", "/lohu930/", "safe", false)));
    boolean taken = stage.configure(5, 0, text, CONFIGURED_WITHIN_S);
    stage.record.add("the first configuration is " + (taken ? "" : "not ") + "acknowledged");
    if (taken) stage.waitReady(20, 1, 2, 3);
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Http.Message m =
          stage.call(stage.ip(1 + i % Stage.MACHINES), stage.frontend,
              Deployment.head("a" + i, "/lohu930/2f", "kaje80", "5c1e07a2:800", 3000),
              new byte[100], 3000);
      stage.record.add("request a" + i + " answered "
          + (m == null ? "nothing" : m.line() + " " + m.text()));
      if (m != null && m.status() == 200) served++;
    }
    stage.record.add(served + " of " + REQUESTS + " requests were served");
    return served == 0 ? Case.BROKEN : Case.HELD;
  }

  private static void lose(Stage stage) throws IOException, InterruptedException {
    Stage.Node lost = stage.second(3);
    lost.signal("KILL");
    lost.process.waitFor();
    Path data = stage.folder.resolve("data-3");
    if (Files.exists(data))
      try (Stream<Path> files = Files.list(data)) {
        for (Path p : files.toList()) Files.delete(p);
      }
    stage.record.add("the second process of machine 3 is killed, and its disk is lost");
    Path settings = stage.folder.resolve("settings-3-second.conf");
    String text = Files.readString(settings);
    Files.writeString(settings, text.replace("InitialBoot=true", "InitialBoot=false"));
    Stage.sleep(BACK_AFTER_MS);
    lost.start();
    stage.record.add("it starts again with an empty DataDirectory and InitialBoot=false");
  }
}

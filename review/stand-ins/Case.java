import java.nio.file.Path;

/**
 * Plays one case: java Case NAME FOLDER, from the project's root. Exits with 1 if the rule was
 * broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
 */
public final class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private Case() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = NOT_RUN;
    try (Record record = new Record(Path.of(args[1], "record.txt"));
        Stage stage = new Stage(Path.of("").toAbsolutePath(), record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(stage::close));
      record.add("case " + args[0] + ", trouble " + trouble);
      result =
          switch (args[0]) {
            case "isolation" -> Isolation.play(stage, trouble);
            case "bodies" -> Bodies.play(stage, trouble);
            case "large" -> LargeConfiguration.play(stage, trouble);
            case "spoilt" -> SpoiltAnswer.play(stage, trouble);
            default -> NOT_RUN;
          };
      record.add(result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "not run");
    }
    System.exit(result);
  }
}

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.List;

/** A model runner that is a process of its own, so that it can be killed. */
public final class RunnerProcess implements AutoCloseable {

  final Process process;
  final String id;
  final String address;

  private RunnerProcess(Process process, String id, String address) {
    this.process = process;
    this.id = id;
    this.address = address;
  }

  /** Serves until the process is killed; the port is its first line. */
  public static void main(String[] arguments) throws Exception {
    Runner runner = new Runner(null, arguments[0], arguments[1], "llm", arguments[2], 96, true);
    runner.unframedShare = Double.parseDouble(arguments[3]);
    runner.reportsRuns = true;
    runner.events = Integer.parseInt(arguments[4]);
    runner.eventMs = 5 * 4.73;
    System.out.println(runner.address());
    // Ends with the process that has started it.
    while (System.in.read() >= 0) {}
    Runtime.getRuntime().halt(0);
  }

  static RunnerProcess start(String ip, String id, String zone, double unframedShare, int events, Case setting)
      throws Exception {
    Process process =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "RunnerProcess",
                    ip,
                    id,
                    zone,
                    Double.toString(unframedShare),
                    Integer.toString(events)))
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
    String address = output.readLine();
    Http.daemon(
        () -> {
          for (String line = output.readLine(); line != null; line = output.readLine()) {
            setting.record(line);
          }
          return null;
        });
    return new RunnerProcess(process, id, address);
  }

  /** Returns the runner's entry in the store. */
  String entry(String zone, long beat) {
    return "{\"Service\":\"llm\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone
        + "\",\"Version\":\"v1\",\"Slots\":96,\"State\":\"ready\",\"ColdRemainingMs\":0,"
        + "\"Stage\":\"both\",\"Models\":[{\"Name\":\"" + Runner.MODEL
        + "\",\"Version\":1,\"Adapters\":[]}],\"Sequence\":" + beat + "}";
  }

  void kill() throws Exception {
    new ProcessBuilder("sh", "-c", "kill -KILL " + process.pid()).start().waitFor();
    process.waitFor();
  }

  @Override
  public void close() throws Exception {
    process.destroyForcibly().waitFor();
  }
}

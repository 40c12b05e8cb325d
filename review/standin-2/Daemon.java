import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon of the project, started with the command line of the deploy file. */
final class Daemon implements AutoCloseable {

  final String name;
  final String ip;
  private final Path root;
  private final Path directory;
  private final String zone;
  private final int storePort;
  private final String storeIp;
  private final int base;
  private boolean bootstrap = true;
  Process process;
  int starts;
  private boolean closed;

  Daemon(
      Path root, Path directory, String name, String ip, String zone, Store store, int base)
      throws Exception {
    this.root = root;
    this.directory = Files.createDirectories(directory.resolve(name));
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.storePort = store.port();
    this.storeIp = "127.0.0.1";
    this.base = base;
  }

  int callerPort() {
    return base;
  }

  /** Returns the command line of the role in the deploy file. */
  static List<String> command(Path root, String ip, int metricsPort) throws Exception {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    int at = deploy.indexOf("\nrun = \"") + 8;
    List<String> words =
        new ArrayList<>(List.of(deploy.substring(at, deploy.indexOf('"', at)).split(" ")));
    // All machines share one host here, so each needs a metrics port of its own.
    int metrics = words.indexOf("--metrics-port");
    words.set(metrics + 1, Integer.toString(metricsPort));
    return words;
  }

  void writeSettings() throws Exception {
    List<String> lines =
        List.of(
            "NodeName=" + name,
            "Role=gateway",
            "MachineClass=frontend",
            "Serves=frontend",
            "Ip=" + ip,
            "Zone=" + zone,
            "Region=rayong",
            "Zones.yard-north=rayong",
            "Zones.yard-south=rayong",
            "Zones.office-hall=rayong",
            "Listen.FrontendAddress=" + ip + ":" + base,
            "Listen.ReadyAddress=" + ip + ":" + (base + 1),
            "Listen.ControlAddress=" + ip + ":" + (base + 2),
            "InternalPorts=" + (base + 3) + "," + (base + 8),
            "Seeds=",
            "Bootstrap=" + bootstrap,
            "InTolerance=false",
            "Limits.CpuShare=0.75",
            "Limits.Cores=" + Integer.getInteger("cores", 1),
            "Limits.MemoryMb=430",
            "Limits.FileDescriptors=4100",
            "Limits.LinkMbps=1000.0",
            "Limits.DiskMb=0",
            "Discovery=platform",
            "Entry=virtual_ip",
            "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "FaultTolerance.Regions=0",
            "Bounds.SeedLagS=3",
            "Bounds.ReuseAfterS=2",
            "Bounds.ContactMs=3000",
            "Bounds.AckMs=4000",
            "Bounds.CatchUpS=4",
            "Bounds.DrainMs=2000",
            "Bounds.GraceS=8",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigApplyMs=2000",
            "Bounds.RollbackSlackMs=250",
            "Bounds.OuterMs=5000",
            "Bounds.RetryBudgetRatio=0.2",
            "Bounds.BudgetWindowS=10",
            "Bounds.RetryBudgetSlack=52",
            "Bounds.RecoveryS=12",
            "Bounds.PassMs=120",
            "Bounds.RetryAfterS=0",
            "Bounds.FencingEnforced=true",
            "Bounds.LeaseMs=3000",
            "Bounds.ThawMs=300",
            "Bounds.CeilingWindowS=5",
            "Bounds.CeilingFactor=1.1",
            "Bounds.version_ms=5000",
            "Platform.Address=" + storeIp + ":" + storePort,
            "Platform.form=objects",
            "Platform.WritesPerS=400",
            "Platform.ReadsPerS=2000",
            "Platform.HistoryS=20",
            "Platform.ValueBytes=1048576",
            "Platform.TtlMinMs=1000");
    Files.write(directory.resolve("node.conf"), lines);
  }

  synchronized void start() throws Exception {
    if (closed) {
      throw new IllegalStateException("the case has ended");
    }
    writeSettings();
    bootstrap = false;
    ProcessBuilder builder = new ProcessBuilder(command(root, ip, base + 9));
    builder.directory(root.toFile());
    builder.environment().keySet().removeIf(
        key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
    builder
        .environment()
        .put("SEQUOIAPASS_NODE_FILE", directory.resolve("node.conf").toString());
    File log = directory.resolve("log-" + starts++ + ".txt").toFile();
    process = builder.redirectErrorStream(true).redirectOutput(log).start();
  }

  Path log() {
    return directory.resolve("log-" + (starts - 1) + ".txt");
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** Returns the status of the readiness call; -1 if there is none within a second. */
  int readiness() {
    try (Http.Connection connection = Http.connect(ip, base + 1, 1_000)) {
      connection.socket.setSoTimeout(1_000);
      connection.send("GET /v1/readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
      Http.Message answer = Http.read(connection.in, true);
      return answer == null ? -1 : answer.status();
    } catch (Exception e) {
      return -1;
    }
  }

  void awaitReady(long timeoutMs) throws Exception {
    long until = Case.now() + timeoutMs;
    while (readiness() != 200) {
      if (Case.now() > until || !process.isAlive()) {
        throw new IllegalStateException(name + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  @Override
  public synchronized void close() throws Exception {
    closed = true;
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }
}

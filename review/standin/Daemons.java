import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the project's program in separate processes, with the command of the deploy file. */
final class Daemons implements AutoCloseable {

  private static final long MOST_MS = 115_000;

  /** One process, and where it listens. */
  static final class Daemon {
    final String name;
    final String ip;
    final int callers;
    final int ready;
    private final Path settings;
    private final Path log;
    Process process;

    private Daemon(String name, String ip, int callers, int ready, Path settings, Path log) {
      this.name = name;
      this.ip = ip;
      this.callers = callers;
      this.ready = ready;
      this.settings = settings;
      this.log = log;
    }
  }

  private final Path root;
  private final Path folder;
  private final Path logs;
  final String network;
  final List<Daemon> all = new ArrayList<>();

  Daemons(Path recordFolder) throws IOException {
    this.root = Path.of("").toAbsolutePath();
    this.logs =
        Files.createDirectories(
            root.resolve("target/review/logs").resolve(recordFolder.getFileName()));
    this.folder = Files.createTempDirectory("review");
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    Http.daemonThread(Daemons::endInTime);
  }

  /** Ends the script as one that couldn't run if it takes too long. */
  private static void endInTime() {
    try {
      Thread.sleep(MOST_MS);
    } catch (InterruptedException e) {
      return;
    }
    System.exit(2);
  }

  /** Returns an address of the loopback interface that no other stand-in uses. */
  String ip(int number) {
    return network + number;
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  Daemon start(String name, String zone, List<String> zones, String store, String bounds)
      throws IOException {
    String ip = ip(all.size() + 1);
    int callers = freePort(ip);
    int ready = freePort(ip);
    int control = freePort(ip);
    int first = freePort(ip);
    int last = freePort(ip);
    StringBuilder text = new StringBuilder();
    text.append("NodeName=").append(name).append('\n');
    text.append("Role=gateway\nMachineClass=frontend\nServes=frontend\n");
    text.append("Ip=").append(ip).append('\n');
    text.append("Zone=").append(zone).append("\nRegion=rayong\n");
    zones.forEach(one -> text.append("Zones.").append(one).append("=rayong\n"));
    text.append("Listen.FrontendAddress=").append(ip).append(':').append(callers).append('\n');
    text.append("Listen.ReadyAddress=").append(ip).append(':').append(ready).append('\n');
    text.append("Listen.ControlAddress=").append(ip).append(':').append(control).append('\n');
    text.append("InternalPorts=").append(Math.min(first, last)).append(',');
    text.append(Math.max(first, last)).append('\n');
    text.append("Bootstrap=true\nInTolerance=false\n");
    text.append("Limits.CpuShare=0.75\nLimits.Cores=1\nLimits.MemoryMb=430\n");
    text.append("Limits.FileDescriptors=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n");
    text.append("Discovery=platform\nEntry=virtual_ip\nHeartbeatMs=1200\n");
    text.append("Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n");
    text.append("FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n");
    text.append(
        """
        Bounds.SeedLagS=3
        Bounds.ReuseAfterS=2
        Bounds.ContactMs=3000
        Bounds.AckMs=4000
        Bounds.CatchUpS=4
        Bounds.DrainMs=2000
        Bounds.GraceS=8
        Bounds.LossSlackMs=200
        Bounds.ConfigApplyMs=2000
        Bounds.RollbackSlackMs=250
        Bounds.OuterMs=5000
        Bounds.RetryBudgetRatio=0.2
        Bounds.BudgetWindowS=10
        Bounds.RetryBudgetSlack=52
        Bounds.RecoveryS=12
        Bounds.PassMs=120
        Bounds.RetryAfterS=0
        Bounds.FencingEnforced=true
        Bounds.LeaseMs=3000
        Bounds.ThawMs=300
        Bounds.CeilingWindowS=5
        Bounds.CeilingFactor=1.1
        Bounds.version_ms=5000
        """);
    text.append(bounds);
    text.append("Platform.Address=").append(store).append('\n');
    text.append("Platform.form=objects\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n");
    text.append("Platform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n");
    Path settings = Files.writeString(folder.resolve(name + ".conf"), text);
    Daemon daemon =
        new Daemon(name, ip, callers, ready, settings, logs.resolve(name + ".log"));
    all.add(daemon);
    Files.deleteIfExists(daemon.log);
    launch(daemon);
    return daemon;
  }

  /** Starts the process of a daemon, for the first time or again. */
  void launch(Daemon daemon) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("SEQUOIAPASS_NODE_FILE", daemon.settings.toString());
    builder.directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
    daemon.process = builder.start();
  }

  /** Returns the status that the platform's readiness probe gets; 0 if there is no answer. */
  static int readiness(Daemon daemon) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(daemon.ip, daemon.ready), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
      String line = Http.line(socket.getInputStream());
      return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** Waits until all daemons are ready; returns false if one isn't in time. */
  boolean awaitReady(long timeoutMs) throws InterruptedException {
    long until = System.currentTimeMillis() + timeoutMs;
    for (Daemon daemon : all) {
      while (readiness(daemon) != 200) {
        if (System.currentTimeMillis() > until) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  @Override
  public void close() {
    for (Daemon daemon : all) {
      daemon.process.destroyForcibly();
    }
    for (Daemon daemon : all) {
      daemon.process.onExit().join();
    }
    File[] files = folder.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      file.delete();
    }
    folder.toFile().delete();
  }
}

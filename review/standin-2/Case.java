import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** What all cases share: the store, the daemons, the record, and consumers. */
final class Case implements AutoCloseable {

  static final String HOST = "ficu95.example";
  private static final long START = System.nanoTime();

  final Path root;
  final Path temporary;
  final boolean trouble;
  final Store store;
  final List<Daemon> daemons = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  private final PrintWriter record;
  private final AtomicInteger ids = new AtomicInteger();
  /** Below the ports that the kernel gives to outgoing connections. */
  private int nextBase = 10_000 + (int) (System.nanoTime() / 1_000 % 2_000) * 10;

  /** How an attempt of a consumer ended. */
  record Outcome(
      String id, String daemon, long sentMs, long endedMs, int status, Http.Message answer, String end) {

    boolean isComplete() {
      return end.equals("complete");
    }

    boolean isSuccess() {
      return isComplete() && status / 100 == 2;
    }
  }

  Case(Path root, Path recordFile, boolean trouble) throws Exception {
    this.root = root;
    this.trouble = trouble;
    this.temporary = Files.createTempDirectory("sequoiapass-review");
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    this.store = new Store("127.0.0.1");
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  /** Exit code of a broken rule; the JVM uses 1 for failures of its own. */
  private static final int BROKEN = 10;

  /** Runs a case: exit 0 if the rule held, {@link #BROKEN} if not, 2 if it could not run. */
  interface Script {
    /** Returns whether the rule held. */
    boolean play(Case setting) throws Exception;
  }

  static void main(String[] arguments, Script script) {
    int exit = 2;
    try (Case setting =
        new Case(
            Path.of(arguments[0]),
            Path.of(arguments[1]),
            !"0".equals(System.getenv("TROUBLE")))) {
      exit = script.play(setting) ? 0 : BROKEN;
      setting.record(exit == 0 ? "the rule held" : "the rule was broken");
      System.out.println(exit == 0 ? "the rule held" : "the rule was broken");
    } catch (Throwable e) {
      exit = 2;
      e.printStackTrace();
    }
    System.exit(exit);
  }

  /** A case in which too little was served says nothing about the rule. */
  static void require(boolean served, String what) {
    if (!served) {
      throw new IllegalStateException(what);
    }
  }

  /** Records a line and prints it. */
  void say(String line) {
    record(line);
    System.out.println(line);
  }

  /** Milliseconds since the start of the case. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  synchronized void record(String line) {
    record.println(now() + " " + line);
  }

  /** Adds a daemon on a loopback address of its own. */
  Daemon daemon(String name, String zone) throws Exception {
    String ip = "127.0.1." + (daemons.size() + 1);
    while (!isFree(ip, nextBase)) {
      nextBase += 10;
    }
    Daemon daemon = new Daemon(root, temporary, name, ip, zone, store, nextBase);
    nextBase += 10;
    daemons.add(daemon);
    return daemon;
  }

  private static boolean isFree(String ip, int base) {
    for (int port = base; port < base + 10; port++) {
      try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
        probe.bind(new java.net.InetSocketAddress(ip, port));
      } catch (java.io.IOException e) {
        return false;
      }
    }
    return true;
  }

  Runner runner(String id, String service, String zone, int slots, boolean isModel)
      throws Exception {
    Runner runner =
        new Runner(
            store, "127.0.2." + (runners.size() + 1), id, service, zone, slots, isModel);
    runners.add(runner);
    return runner;
  }

  /** Writes the configuration: a resumable and a plain stream, a call that may not be repeated. */
  void configure(long version, String extraRoutes, String limits) {
    store.put("config", "main", configuration(version, extraRoutes, limits));
  }

  static String route(
      String name, String prefix, String kind, long timeoutMs, long targetMs, String service,
      int attempts, String more) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
        + "\",\"RouteKind\":\"" + kind + "\",\"TimeoutMs\":" + timeoutMs + ",\"TargetLatencyMs\":"
        + targetMs + ",\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
        + more + "}";
  }

  static final String LIMITS =
      "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
          + "\"IdleTimeoutMs\":15000}";

  static String configuration(long version, String extraRoutes, String limits) {
    String stream = ",\"Sticky\":true,\"GapTargetMs\":400,\"Resumable\":";
    return "{\"Version\":" + version + ",\"Routes\":["
        + route("r-once", "/once/", "streaming", 6_000, 1_000, "llm", 1, stream + "false") + ","
        + route("r-resume", "/resume/", "streaming", 6_000, 1_000, "llm", 2, stream + "true") + ","
        + route("r-slip", "/slip/", "non_idempotent", 1_500, 386, "app", 1, "") + ","
        + route("r-ticket", "/ticket/", "idempotent", 1_500, 386, "app", 2, "")
        + extraRoutes
        + "],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":480,"
        + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":96,\"KvCapacityTokens\":201886,"
        + "\"KvBytes\":131072,\"LinkMbps\":1100000.0,\"Moves\":true,\"Backups\":true,\"Stride\":5,"
        + "\"MaxCount\":12,\"HostMb\":54000.0,\"DiskMb\":160000.0,\"PinMs\":4000.0,"
        + "\"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"" + Runner.MODEL
        + "\",\"WeightsMb\":16100.0,\"LoadS\":0.6,\"Adapters\":3000,\"AdapterSizeMb\":14.0,"
        + "\"WarmS\":0.27,\"DiskS\":0.35}],\"WeightsMb\":16500.0,\"AdapterSlots\":8,"
        + "\"LoadsPerS\":4.2}},{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":96,"
        + "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":" + limits + "}";
  }

  String id() {
    return String.format("%016x", 0x9c41d07b00000000L + ids.incrementAndGet());
  }

  static Map<String, String> headers(String id, long deadlineMs) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Sequoiapass-Request-Id", id);
    headers.put("Sequoiapass-Deadline-Ms", Long.toString(deadlineMs));
    return headers;
  }

  /** Headers of a request to a model. */
  static Map<String, String> modelHeaders(String id, long deadlineMs) {
    Map<String, String> headers = headers(id, deadlineMs);
    headers.put("Sequoiapass-Model", Runner.MODEL);
    headers.put("Sequoiapass-Token-Count", "1460,80");
    headers.put("Sequoiapass-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + id.substring(8) + ":250");
    return headers;
  }

  static byte[] bytes(String method, String target, Map<String, String> headers, byte[] body)
      throws Exception {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    byte[] start = head.toString().getBytes("ISO-8859-1");
    byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
    System.arraycopy(body, 0, all, start.length, body.length);
    return all;
  }

  /** Sends one request on a new connection and waits for its end. */
  Outcome send(
      Daemon daemon, String method, String target, Map<String, String> headers, byte[] body) {
    String id = headers.getOrDefault("Sequoiapass-Request-Id", "");
    long sent = now();
    long deadlineMs = Long.parseLong(headers.getOrDefault("Sequoiapass-Deadline-Ms", "1500"));
    try (Http.Connection connection = Http.connect(daemon.ip, daemon.callerPort(), 1_000)) {
      connection.socket.setSoTimeout((int) deadlineMs + 2_000);
      connection.out.write(bytes(method, target, headers, body));
      connection.out.flush();
      return receive(connection, id, daemon, sent);
    } catch (Exception e) {
      return done(new Outcome(id, daemon.name, sent, now(), 0, null, "not sent: " + e.getMessage()));
    }
  }

  /** Reads an answer. */
  Outcome receive(Http.Connection connection, String id, Daemon daemon, long sent) {
    Http.Message answer = null;
    String end = "complete";
    try {
      answer = Http.readHead(connection.in);
      if (answer == null) {
        end = "closed without an answer";
      } else {
        answer.body = Http.body(connection.in, answer, true);
      }
    } catch (Exception e) {
      end = e.getClass().getSimpleName() + " " + e.getMessage();
    }
    return done(
        new Outcome(id, daemon.name, sent, now(), answer == null ? 0 : answer.status(), answer, end));
  }

  /** What a consumer has of a stream; it goes on over several attempts. */
  static final class Received {
    volatile int lastEvent;
    volatile boolean complete;
    volatile int status;
    volatile String end = "";
  }

  /** Sends a request for a stream on a new connection and reads its events until it ends. */
  void stream(Daemon daemon, String target, Map<String, String> headers, Received received) {
    String id = headers.get("Sequoiapass-Request-Id");
    long sent = now();
    received.status = 0;
    received.end = "closed without an answer";
    try (Http.Connection connection = Http.connect(daemon.ip, daemon.callerPort(), 1_000)) {
      connection.socket.setSoTimeout(Integer.parseInt(headers.get("Sequoiapass-Deadline-Ms")) + 2_000);
      connection.out.write(bytes("POST", target, headers, "{}".getBytes("UTF-8")));
      connection.out.flush();
      Http.Message head = Http.readHead(connection.in);
      if (head != null) {
        received.status = head.status();
        received.end = "cut";
        if (head.status() != 200) {
          head.body = Http.body(connection.in, head, true);
          received.end = "refused " + head.text().replaceAll("\\s+", " ");
        } else {
          readEvents(connection, received);
        }
      }
    } catch (Exception e) {
      received.end += ": " + e.getMessage();
    }
    record(
        "stream " + id + " by " + daemon.name + " sent " + sent + " status " + received.status
            + " last event " + received.lastEvent + " " + received.end);
  }

  private static void readEvents(Http.Connection connection, Received received) throws Exception {
    var lines =
        new java.io.BufferedReader(new java.io.InputStreamReader(connection.in, "ISO-8859-1"));
    int next = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.startsWith("id: ")) {
        next = Integer.parseInt(line.substring(4));
      } else if (line.isEmpty() && next > 0) {
        // An event counts once its empty line has arrived.
        received.lastEvent = next;
        next = 0;
      } else if (line.equals("0")) {
        received.complete = true;
        received.end = "complete";
        return;
      }
    }
  }

  private Outcome done(Outcome outcome) {
    record(
        "answered " + outcome.id + " by " + outcome.daemon + " sent " + outcome.sentMs + " status "
            + outcome.status + " " + outcome.end);
    return outcome;
  }

  /** Runs a task for each of several threads and waits for all. */
  static <T> List<T> parallel(int count, java.util.function.IntFunction<T> task) throws Exception {
    List<T> results = Collections.synchronizedList(new ArrayList<>());
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int number = i;
      threads.add(
          Http.daemon(
              () -> {
                results.add(task.apply(number));
                return null;
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return results;
  }

  /** Writes what ran to the record. */
  void recordRuns() {
    for (Runner runner : runners) {
      synchronized (runner.runs) {
        runner.runs.forEach(
            run -> record("ran " + run.requestId() + " at " + run.runner() + " from " + run.atMs()));
      }
    }
  }

  private void end() {
    try {
      close();
    } catch (Exception e) {
      // The process ends.
    }
  }

  @Override
  public void close() throws Exception {
    for (Daemon daemon : daemons) {
      daemon.close();
    }
    for (Runner runner : runners) {
      runner.close();
    }
    store.close();
    if (System.getenv("KEEP") != null) {
      System.out.println("kept " + temporary);
      return;
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}

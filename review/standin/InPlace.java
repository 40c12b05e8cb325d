import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runners of a streaming service are updated in place: one after the other stops and starts again
 * under its id, as the next software version; the next stops as soon as the one before is back.
 */
final class InPlace {

  private static final int RUNNERS = 5;
  private static final int EVENTS = 12;
  private static final long EVENT_MS = 250;
  private static final int PER_S = 15;
  private static final int UPDATES = 5;
  private static final long DOWN_MS = 2_500;
  private static final long BACK_MS = 80;

  /** A runner that streams; it writes its software version into each event. */
  private static final class Streamer {
    private final String id;
    private final String ip;
    private final Store store;
    private final Record record;
    private Http.Server server;
    private final int port;
    private volatile String software = "v1";
    private volatile long born = System.currentTimeMillis();
    private volatile boolean up;
    private long heartbeats;

    Streamer(String id, String ip, Store store, Record record) throws IOException {
      this.id = id;
      this.ip = ip;
      this.store = store;
      this.record = record;
      this.port = Daemons.freePort(ip);
      start();
      Http.daemonThread(
          () -> {
            try {
              while (true) {
                register();
                Thread.sleep(1_200);
              }
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    }

    private void start() throws IOException {
      String process = software;
      server = new Http.Server(ip, port, (connection, request) -> handle(process, connection, request));
      up = true;
      register();
    }

    private synchronized void register() {
      if (!up) {
        return;
      }
      JsonObject entry =
          JsonParser.parseString(
                  "{\"Service\":\"notes-llm\",\"Zone\":\"yard-north\",\"Slots\":96,\"State\":\"ready\",\"ColdRemainingMs\":0}")
              .getAsJsonObject();
      entry.addProperty("Address", ip + ":" + port);
      entry.addProperty("Version", software);
      entry.addProperty("born", born);
      entry.addProperty("Sequence", ++heartbeats);
      store.put("servers", id, entry);
    }

    /** Ends the process; its connections are closed by the system. */
    void stop() {
      up = false;
      server.close();
    }

    void startAs(String newSoftware) throws IOException {
      software = newSoftware;
      born = System.currentTimeMillis();
      heartbeats = 0;
      start();
    }

    private void handle(String process, Http.Connection connection, Http.Request request)
        throws Exception {
      String requestId = request.header("Sequoiapass-Request-Id");
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Sequoiapass-Request-Id", requestId);
      String expected = request.header("Sequoiapass-Expected-Instance");
      if (!expected.isEmpty() && !expected.equals(id)) {
        connection.respond(421, headers, "{}");
        return;
      }
      if (!request.path().startsWith("/bale")) {
        connection.respond(404, headers, "{}");
        return;
      }
      String last = request.header("Last-Event-Id");
      int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
      record.line("run " + requestId + " at " + id + " " + process + " from event " + from);
      headers.put("Sequoiapass-Server-Stamp", "stamp." + id);
      headers.put("Content-Type", "text/event-stream");
      headers.put("Transfer-Encoding", "chunked");
      connection.send(Http.head(200, headers));
      for (int event = from; event <= EVENTS; event++) {
        Thread.sleep(EVENT_MS);
        String text = "id: " + event + "\ndata: " + process + " piece " + event + "\n\n";
        connection.send(Http.chunk(text.getBytes(StandardCharsets.UTF_8)));
      }
      connection.send(Http.chunk(new byte[0]));
    }
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[0]);
    Record record = new Record(folder.resolve("record.txt"));
    int exit = 2;
    try (Daemons daemons = new Daemons(folder)) {
      exit = play(trouble, record, daemons);
    } catch (Throwable e) {
      record.say("could not run: " + e);
    }
    System.exit(exit);
  }

  private static int play(boolean trouble, Record record, Daemons daemons) throws Exception {
    Store store = new Store(daemons.ip(201));
    JsonObject configuration = Site.configuration(3).getAsJsonObject();
    for (JsonElement service : configuration.getAsJsonArray("Services")) {
      service.getAsJsonObject().remove("Engine");
    }
    store.put("config", "main", configuration);
    List<Streamer> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(new Streamer("i-s" + i, daemons.ip(111 + i), store, record));
    }
    for (String name : List.of("north-1", "north-2")) {
      daemons.start(name, "yard-north", List.of("yard-north"), store.address(), "");
    }
    if (!daemons.awaitReady(20_000)) {
      record.say("could not run: the daemons aren't ready");
      return 2;
    }
    Thread.sleep(3_000);
    ExecutorService callers = Executors.newCachedThreadPool();
    Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    Thread load =
        new Thread(
            () -> {
              try {
                for (int i = 0; ; i++) {
                  String id = "g%06d".formatted(i);
                  Daemons.Daemon daemon = daemons.all.get(i % daemons.all.size());
                  callers.execute(
                      () -> {
                        record.line("send " + id + " to " + daemon.name);
                        Caller.Answer answer =
                            Caller.call(daemon, "POST", "/bale/1", id, Map.of(), "prompt", 5_000);
                        answers.put(id, answer);
                        record.line("answer " + id + " " + answer);
                      });
                  Thread.sleep(1_000 / PER_S);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    load.setDaemon(true);
    load.start();
    Thread.sleep(5_000);
    for (int update = 0; update < UPDATES; update++) {
      String software = "v" + (update + 2);
      for (Streamer runner : runners) {
        if (trouble) {
          record.line(runner.id + " stops");
          runner.stop();
        }
        Thread.sleep(DOWN_MS);
        if (trouble) {
          runner.startAs(software);
          record.line(runner.id + " starts as " + software);
        }
        Thread.sleep(BACK_MS);
      }
      record.say(trouble ? "all runners are " + software : "no runner was updated");
    }
    Thread.sleep(4_000);
    load.interrupt();
    callers.shutdown();
    callers.awaitTermination(7, TimeUnit.SECONDS);
    int joined = 0;
    for (Map.Entry<String, Caller.Answer> one : answers.entrySet()) {
      Set<String> versions = new TreeSet<>();
      for (String line : one.getValue().body().split("\n")) {
        if (line.startsWith("data: ")) {
          versions.add(line.split(" ")[1]);
        }
      }
      if (versions.size() > 1) {
        joined++;
        record.line("ORDER " + one.getKey() + " holds events of " + versions);
      }
    }
    long served = answers.values().stream().filter(Caller.Answer::served).count();
    record.say("sent " + answers.size() + ", served " + served + ", of two versions: " + joined);
    return joined > 2 ? 1 : 0;
  }
}

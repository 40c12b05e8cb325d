import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer's entry lacks fields that runners always write; a server of its own is there. */
final class PartialEntry {

  private static final int SECONDS = 45;
  private static final int PER_S = 30;

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
    store.put("config", "main", Site.configuration(3));
    for (int i = 0; i < 3; i++) {
      new Runner(
          "i-p" + i,
          daemons.ip(111 + i),
          Site.PLAIN,
          "yard-north",
          false,
          60,
          store,
          (runner, request) ->
              record.line("run " + request.header("Sequoiapass-Request-Id") + " at " + runner.id));
    }
    // The other writer's own server: it isn't a runner, and knows nothing of the platform.
    Map<String, String> ranElsewhere = new ConcurrentHashMap<>();
    Http.Server other =
        new Http.Server(
            daemons.ip(99),
            (connection, request) -> {
              String id = request.header("Sequoiapass-Request-Id");
              if (!id.isEmpty()) {
                ranElsewhere.put(id, request.method() + " " + request.target());
                record.line("run " + id + " at another service: " + request.target());
              }
              connection.respond(200, Map.of("Content-Type", "text/plain"), "done");
            });
    for (String name : List.of("north-1", "north-2")) {
      daemons.start(name, "yard-north", List.of("yard-north"), store.address(), "");
    }
    if (!daemons.awaitReady(20_000)) {
      record.say("could not run: the daemons aren't ready");
      return 2;
    }
    Thread.sleep(3_000);
    if (trouble) {
      JsonObject entry = new JsonObject();
      entry.addProperty("Service", Site.PLAIN);
      entry.addProperty("Address", other.address());
      entry.addProperty("Zone", "yard-north");
      entry.addProperty("Slots", 6);
      entry.addProperty("State", "ready");
      store.put("servers", "rack-7", entry);
      record.say("another writer's entry is stored; it has no Version, Sequence, ColdRemainingMs");
    }
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Caller.Answer> answers = new ArrayList<>();
    AtomicInteger lost = new AtomicInteger();
    for (int i = 0; i < SECONDS * PER_S; i++) {
      String id = "r%06d".formatted(i);
      Daemons.Daemon daemon = daemons.all.get(i % daemons.all.size());
      callers.execute(
          () -> {
            record.line("send " + id + " to " + daemon.name);
            Caller.Answer answer =
                Caller.call(daemon, "POST", "/slip/1", id, Map.of(), "slip", 1_500);
            synchronized (answers) {
              answers.add(answer);
            }
            if (ranElsewhere.containsKey(id) && !answer.served()) {
              lost.incrementAndGet();
            }
            record.line("answer " + id + " " + answer);
          });
      Thread.sleep(1_000 / PER_S);
    }
    callers.shutdown();
    callers.awaitTermination(5, TimeUnit.SECONDS);
    long served = answers.stream().filter(Caller.Answer::served).count();
    record.say("sent %d, served %d".formatted(SECONDS * PER_S, served));
    record.say(
        "run by another service: %d, of which lost to their callers: %d"
            .formatted(ranElsewhere.size(), lost.get()));
    return ranElsewhere.isEmpty() ? 0 : 1;
  }
}

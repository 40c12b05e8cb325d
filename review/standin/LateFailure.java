import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners of a plain service are too slow for a part of their requests: they run them until the
 * deadline, and their own failure comes some tens of milliseconds late.
 */
final class LateFailure {

  private static final int SECONDS = 75;
  private static final int CALLERS_PER_DAEMON = 80;
  private static final long DEADLINE_MS = 200;
  private static final long WORK_MS = 60;
  private static final double SLOW_SHARE = 0.45;

  /** Slow for 4 s of each 5 s. */
  private static final long SLOW_MS = 4_000;

  private static final long PERIOD_MS = 5_000;
  private static final double LEAST_LATE_MS = 35;
  private static final double MOST_LATE_MS = 45;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[0]);
    Record record = new Record(folder.resolve("record.txt"));
    int exit = 2;
    try (Daemons daemons = new Daemons(folder)) {
      exit = play(trouble, record, daemons);
    } catch (Exception e) {
      record.say("could not run: " + e);
    }
    System.exit(exit);
  }

  private static void startRunner(
      String id, String ip, Store store, boolean trouble, Record record, Set<String> ran)
      throws IOException {
    Http.Server server =
        new Http.Server(
            ip,
            (connection, request) -> {
              long startedAt = System.nanoTime();
              String requestId = request.header("Sequoiapass-Request-Id");
              String expected = request.header("Sequoiapass-Expected-Instance");
              Map<String, String> headers = new LinkedHashMap<>();
              headers.put("Sequoiapass-Request-Id", requestId);
              if (!expected.isEmpty() && !expected.equals(id)) {
                connection.respond(421, headers, "{}");
                return;
              }
              ran.add(requestId);
              headers.put("Sequoiapass-Server-Stamp", "stamp." + id);
              ThreadLocalRandom random = ThreadLocalRandom.current();
              boolean slow =
                  trouble
                      && record.ms() % PERIOD_MS < SLOW_MS
                      && random.nextDouble() < SLOW_SHARE;
              if (!slow) {
                Thread.sleep(WORK_MS);
                connection.respond(200, headers, "slip by " + id);
                return;
              }
              double lateMs = random.nextDouble(LEAST_LATE_MS, MOST_LATE_MS);
              double leftMs = Long.parseLong(request.header("Sequoiapass-Deadline-Ms")) + lateMs;
              long until = startedAt + (long) (leftMs * 1_000_000);
              TimeUnit.NANOSECONDS.sleep(until - System.nanoTime());
              record.line("run " + requestId + " at " + id + " failed " + lateMs + " ms late");
              connection.respond(504, headers, "{}");
            });
    Http.daemonThread(
        () -> {
          long heartbeats = 0;
          try {
            while (true) {
              JsonObject entry =
                  JsonParser.parseString(
                          "{\"Service\":\"intake-app\",\"Zone\":\"yard-north\",\"Version\":\"v1\",\"Slots\":96,\"State\":\"ready\",\"ColdRemainingMs\":0}")
                      .getAsJsonObject();
              entry.addProperty("Address", server.address());
              entry.addProperty("Sequence", ++heartbeats);
              store.put("servers", id, entry);
              Thread.sleep(1_200);
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private static int play(boolean trouble, Record record, Daemons daemons) throws Exception {
    Store store = new Store(daemons.ip(201));
    store.put("config", "main", Site.configuration(3));
    Set<String> ran = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 4; i++) {
      startRunner("i-p" + i, daemons.ip(111 + i), store, trouble, record, ran);
    }
    for (String name : List.of("north-1", "north-2", "north-3")) {
      daemons.start(
          name, "yard-north", List.of("yard-north"), store.address(), "Limits.Cores=2\n");
    }
    if (!daemons.awaitReady(20_000)) {
      record.say("could not run: the daemons aren't ready");
      return 2;
    }
    Thread.sleep(3_000);
    AtomicInteger number = new AtomicInteger();
    Map<String, Integer> outcomes = new ConcurrentHashMap<>();
    Set<String> refused = ConcurrentHashMap.newKeySet();
    long until = System.currentTimeMillis() + SECONDS * 1_000L;
    ExecutorService callers = Executors.newCachedThreadPool();
    for (Daemons.Daemon daemon : daemons.all) {
      for (int i = 0; i < CALLERS_PER_DAEMON; i++) {
        callers.execute(
            () -> {
              while (System.currentTimeMillis() < until) {
                String id = "r" + number.incrementAndGet();
                Caller.Answer answer =
                    Caller.call(daemon, "POST", "/slip/1", id, Map.of(), "slip", DEADLINE_MS);
                outcomes.merge(answer.toString(), 1, Integer::sum);
                if (answer.status() == 503 && ran.contains(id)) {
                  refused.add(id);
                  record.line("REFUSED " + id + " to " + daemon.name + " ran, answered 503");
                }
              }
            });
      }
    }
    callers.shutdown();
    callers.awaitTermination(SECONDS + 10, TimeUnit.SECONDS);
    record.say("sent " + number.get() + ", answered " + outcomes);
    record.say("refused and ran: " + refused.size());
    return refused.isEmpty() ? 0 : 1;
  }
}

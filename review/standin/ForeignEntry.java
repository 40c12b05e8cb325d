import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry among the runners that can't be read; then one runner of the plain
 * service is replaced.
 */
final class ForeignEntry {

  private static final long DRAIN_MS = 2_000;
  private static final int PER_S = 40;

  /** One of eight is replaced: a share of 0.125. */
  private static final int PLAIN_RUNNERS = 8;

  private static final int REPLACED = 1;
  private static final long DRAINS_FOR_MS = 6_000;
  private static final String FOREIGN = "rack 7";

  private enum Kind {
    /** An entry whose name is no id, and that its writer removes again. */
    NAME,
    /** An entry that is nested too deeply. */
    NESTED
  }

  /** A request that a runner received. */
  private record Arrival(long atMs, String runner, String id) {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[0]);
    Kind kind = Kind.valueOf(arguments[1]);
    List<String> zones =
        List.of("yard-north", "yard-south", "office-hall")
            .subList(0, Integer.parseInt(arguments[2]));
    Record record = new Record(folder.resolve("record.txt"));
    int exit = 2;
    try (Daemons daemons = new Daemons(folder)) {
      exit = play(trouble, kind, zones, record, daemons);
    } catch (Throwable e) {
      record.say("could not run: " + e);
    }
    System.exit(exit);
  }

  private static void write(Kind kind, Store store) {
    JsonObject entry =
        JsonParser.parseString(
                "{\"Service\":\"racks\",\"Zone\":\"yard-north\",\"State\":\"up\",\"Sequence\":1}")
            .getAsJsonObject();
    switch (kind) {
      case NAME -> {
        store.put("servers", FOREIGN, entry);
      }
      case NESTED -> {
        JsonElement nested = new JsonObject();
        for (int i = 0; i < 300; i++) {
          JsonObject outer = new JsonObject();
          outer.add("a", nested);
          nested = outer;
        }
        store.put("servers", "i-77c0ffee", nested);
      }
    }
  }

  private static int play(
      boolean trouble, Kind kind, List<String> zones, Record record, Daemons daemons)
      throws Exception {
    Store store = new Store(daemons.ip(201));
    store.put("config", "main", Site.configuration(3));
    List<Arrival> arrivals = new ArrayList<>();
    Runner.RunListener listener =
        (runner, request) -> {
          String id = request.header("Sequoiapass-Request-Id");
          record.line("run " + id + " at " + runner.id);
          synchronized (arrivals) {
            arrivals.add(new Arrival(record.ms(), runner.id, id));
          }
        };
    for (int i = 0; i < 3; i++) {
      String zone = zones.get(i % zones.size());
      new Runner("i-e" + i, daemons.ip(101 + i), Site.ENGINES, zone, true, 200, store, listener);
    }
    List<Runner> old = new ArrayList<>();
    for (int i = 0; i < PLAIN_RUNNERS; i++) {
      String zone = zones.get(i % zones.size());
      old.add(
          new Runner("i-p" + i, daemons.ip(111 + i), Site.PLAIN, zone, false, 300, store, listener));
    }
    for (int i = 0; i < Math.max(2, zones.size()); i++) {
      daemons.start(
          "frontend-" + i, zones.get(i % zones.size()), zones, store.address(), "");
    }
    if (!daemons.awaitReady(20_000)) {
      record.say("could not run: the daemons aren't ready");
      return 2;
    }
    Thread.sleep(4_000);
    ExecutorService callers = Executors.newCachedThreadPool();
    Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    Map<String, Long> sentAt = new ConcurrentHashMap<>();
    AtomicInteger number = new AtomicInteger();
    Thread load =
        new Thread(
            () -> {
              try {
                while (true) {
                  int i = number.incrementAndGet();
                  boolean stream = i % 4 == 0;
                  String id = (stream ? "g" : "r") + "%06d".formatted(i);
                  Daemons.Daemon daemon = daemons.all.get(i % daemons.all.size());
                  String adapter = "m0/a" + ThreadLocalRandom.current().nextInt(1, 200);
                  sentAt.put(id, record.ms());
                  record.line("send " + id + " to " + daemon.name);
                  callers.execute(
                      () -> {
                        Caller.Answer answer =
                            Caller.call(
                                daemon,
                                "POST",
                                stream ? "/mixed/1" : "/slip/1",
                                id,
                                stream
                                    ? Map.of(
                                        "Sequoiapass-Model", adapter,
                                        "Sequoiapass-Token-Count", "900,50",
                                        "Sequoiapass-Prompt-Prefix", "5c1e07a2:800")
                                    : Map.of(),
                                "prompt",
                                stream ? 6_000 : 1_500);
                        answers.put(id, answer);
                        record.line("answer " + id + " " + answer + " by " + daemon.name);
                      });
                  Thread.sleep(1_000 / PER_S);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    load.setDaemon(true);
    load.start();
    Thread.sleep(4_000);
    if (trouble) {
      record.say("another writer's entry is stored");
      write(kind, store);
    }
    Thread.sleep(3_000);
    if (trouble && kind == Kind.NAME) {
      record.say("another writer's entry is removed");
      store.delete("servers", FOREIGN);
    }
    Thread.sleep(4_000);
    Map<String, Long> leftAt = new ConcurrentHashMap<>();
    for (int i = 0; i < REPLACED; i++) {
      String zone = zones.get(i % zones.size());
      Runner next =
          new Runner("i-n" + i, daemons.ip(121 + i), Site.PLAIN, zone, false, 300, store, listener);
      record.say(next.id + " starts");
      Thread.sleep(2_500);
      old.get(i).drain();
      leftAt.put(old.get(i).id, record.ms());
      record.say(old.get(i).id + " drains");
      Thread.sleep(DRAINS_FOR_MS);
      old.get(i).exit();
      record.say(old.get(i).id + " has left");
    }
    long replacedAt = record.ms();
    Thread.sleep(8_000);
    load.interrupt();
    Thread.sleep(2_000);
    long late;
    synchronized (arrivals) {
      late =
          arrivals.stream()
              .filter(one -> leftAt.containsKey(one.runner()))
              .filter(one -> one.atMs() > leftAt.get(one.runner()) + DRAIN_MS)
              .peek(one -> record.line("DRAIN " + one))
              .count();
    }
    for (Daemons.Daemon daemon : daemons.all) {
      record.say(daemon.name + " readiness " + Daemons.readiness(daemon));
    }
    for (String what : List.of("r", "g")) {
      long[] counts = new long[4];
      answers.forEach(
          (id, answer) -> {
            if (id.startsWith(what)) {
              int after = sentAt.get(id) > replacedAt ? 2 : 0;
              counts[after]++;
              counts[after + 1] += answer.served() ? 1 : 0;
            }
          });
      record.say(
          "%s: served %d of %d until the replacement, %d of %d after"
              .formatted(what, counts[1], counts[0], counts[3], counts[2]));
    }
    long lost = answers.values().stream().filter(a -> a.status() == 502 || !a.complete()).count();
    record.say("lost after the start: " + lost + "; late arrivals at runners that leave: " + late);
    return late > 0 ? 1 : 0;
  }
}

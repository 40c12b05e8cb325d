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

/** Streams that must not be repeated, at runners that send some rejections a second time, late. */
final class LateRejection {

  private static final int SECONDS = 80;
  private static final int PER_S = 25;

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
    Map<String, List<String>> runs = new ConcurrentHashMap<>();
    List<Runner> runners = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      runners.add(
          new Runner(
              "i-e" + i,
              daemons.ip(101 + i),
              Site.ENGINES,
              "yard-north",
              true,
              200,
              store,
              (runner, request) -> {
                String id = request.header("Sequoiapass-Request-Id");
                List<String> at = runs.computeIfAbsent(id, any -> new ArrayList<>());
                synchronized (at) {
                  at.add(runner.id);
                }
                record.line("run " + id + " at " + runner.id);
              }));
    }
    for (String name : List.of("north-1", "north-2")) {
      daemons.start(name, "yard-north", List.of("yard-north"), store.address(), "");
    }
    if (!daemons.awaitReady(20_000)) {
      record.say("could not run: the daemons aren't ready");
      return 2;
    }
    Thread.sleep(3_000);
    AtomicInteger repeated = new AtomicInteger();
    long startedAt = record.ms();
    // The largest dose: three of five runners (share 0.6), 3 answers in 100, for 5 s at a time.
    for (Runner runner : runners.subList(0, 3)) {
      runner.isFaulty = () -> trouble && (record.ms() - startedAt) % 7_000 < 5_000;
      runner.repeatsRejection =
          () ->
              runner.isFaulty.getAsBoolean()
                  && ThreadLocalRandom.current().nextInt(100) < 3;
      runner.onRepeat =
          id -> {
            repeated.incrementAndGet();
            record.line("rejection sent again " + id + " at " + runner.id);
          };
    }
    ExecutorService callers = Executors.newCachedThreadPool();
    Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    for (int i = 0; i < SECONDS * PER_S; i++) {
      String id = "r%06d".formatted(i);
      Daemons.Daemon daemon = daemons.all.get(i % daemons.all.size());
      String adapter = "m0/a" + ThreadLocalRandom.current().nextInt(1, 3_000);
      callers.execute(
          () -> {
            record.line("send " + id + " to " + daemon.name + " for " + adapter);
            Caller.Answer answer =
                Caller.call(
                    daemon,
                    "POST",
                    "/mixed/1",
                    id,
                    Map.of(
                        "Sequoiapass-Model", adapter,
                        "Sequoiapass-Token-Count", "900,50",
                        "Sequoiapass-Prompt-Prefix", "5c1e07a2:800," + id.substring(1) + ":100"),
                    "prompt",
                    6_000);
            answers.put(id, answer);
            record.line("answer " + id + " " + answer);
          });
      Thread.sleep(1_000 / PER_S);
    }
    callers.shutdown();
    callers.awaitTermination(9, TimeUnit.SECONDS);
    long twice = runs.values().stream().filter(at -> at.size() > 1).count();
    runs.forEach(
        (id, at) -> {
          if (at.size() > 1) {
            record.line("TWICE " + id + " ran at " + at + ", answered " + answers.get(id));
          }
        });
    answers.forEach(
        (id, answer) -> {
          if (List.of(429, 503, 408, 421).contains(answer.status()) && runs.containsKey(id)) {
            record.line("REFUSED " + id + " ran at " + runs.get(id) + ", answered " + answer);
          }
        });
    long refused =
        answers.entrySet().stream()
            .filter(e -> List.of(429, 503, 408, 421).contains(e.getValue().status()))
            .filter(e -> runs.containsKey(e.getKey()))
            .count();
    long served = answers.values().stream().filter(Caller.Answer::served).count();
    int rejected = runners.stream().mapToInt(one -> one.rejected.get()).sum();
    record.say(
        "sent %d, served %d, rejected by runners %d, rejections sent again %d"
            .formatted(SECONDS * PER_S, served, rejected, repeated.get()));
    record.say("ran more than once: %d; refused and ran: %d".formatted(twice, refused));
    return twice > 0 ? 1 : 0;
  }
}

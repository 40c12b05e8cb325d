import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of a service are updated in place, one after the other: each stops and starts again
 * under its id and address with the next software version. No stream may hold events of two.
 */
public final class InPlace {

  private static final int RUNNERS = 12;
  private static final double STREAMS_PER_S = 12;
  private static final long DOWN_MS = 800;
  private static final long NEXT_MS = 100;
  private static final int ROUNDS = 3;
  private static final int EVENTS = 58;
  private static final String[] ZONES = {"yard-north", "yard-south", "office-hall"};

  private final Case setting;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger joined = new AtomicInteger();
  private final Random random = new Random(10);
  private final Runner[] runners = new Runner[RUNNERS];

  private InPlace(Case setting) {
    this.setting = setting;
  }

  public static void main(String[] arguments) {
    Case.main(arguments, setting -> new InPlace(setting).play());
  }

  private boolean play() throws Exception {
    String route =
        ","
            + Case.route(
                "r-events", "/events/", "streaming", 6_000, 800, "app", 2,
                ",\"Sticky\":true,\"GapTargetMs\":400,\"Resumable\":true");
    setting.configure(7, route, Case.LIMITS);
    for (int i = 0; i < RUNNERS; i++) {
      start(i, 0, "v1");
    }
    for (int i = 0; i < 6; i++) {
      setting.daemon("front-" + i, ZONES[i / 2]).start();
    }
    for (Daemon daemon : setting.daemons) {
      daemon.awaitReady(20_000);
    }
    Thread.sleep(4_000);
    AtomicBoolean stop = new AtomicBoolean();
    Http.daemon(
        () -> {
          while (!stop.get()) {
            Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / STREAMS_PER_S));
            Http.daemon(this::consume);
          }
          return null;
        });
    for (int step = 0; step < ROUNDS * RUNNERS; step++) {
      if (setting.trouble) {
        update(step % RUNNERS, "v" + (2 + step / RUNNERS));
      } else {
        Thread.sleep(DOWN_MS);
      }
      Thread.sleep(NEXT_MS);
    }
    stop.set(true);
    Thread.sleep(3_000);
    setting.recordRuns();
    setting.say(
        "streams: " + sent + ", complete " + whole + ", with events of two versions " + joined);
    Case.require(2 * whole.get() > sent.get(), "too few streams were served");
    return joined.get() <= 2;
  }

  private void start(int i, int port, String version) throws Exception {
    Runner runner =
        new Runner(
            setting.store, "127.0.2." + (i + 1), port, "i-app" + i, "app", ZONES[i % 3], 96, false,
            version, System.currentTimeMillis());
    runner.events = EVENTS;
    runner.eventMs = 5 * 4.73;
    runner.hook =
        (self, request, connection) -> {
          return self.stream(request, connection);
        };
    runners[i] = runner;
    setting.runners.add(runner);
  }

  private void update(int i, String version) throws Exception {
    Runner before = runners[i];
    int port = before.server.port();
    before.beats = false;
    setting.record("runner " + before.id + " stops");
    before.close();
    Thread.sleep(DOWN_MS);
    start(i, port, version);
    setting.record("runner " + before.id + " is " + version);
  }

  private Void consume() throws Exception {
    Daemon daemon = setting.daemons.get(random.nextInt(setting.daemons.size()));
    String id = setting.id();
    sent.incrementAndGet();
    Case.Outcome outcome =
        setting.send(
            daemon, "POST", "/events/2f", Case.headers(id, 6_000), "{}".getBytes("UTF-8"));
    if (outcome.answer() == null || outcome.status() != 200) {
      return null;
    }
    whole.addAndGet(outcome.isComplete() ? 1 : 0);
    List<String> versions = new ArrayList<>();
    for (String line : outcome.answer().text().split("\n")) {
      int by = line.lastIndexOf(" by ");
      if (by > 0 && !versions.contains(line.substring(by + 4))) {
        versions.add(line.substring(by + 4));
      }
    }
    if (versions.size() > 1) {
      joined.incrementAndGet();
      setting.record("ORDER " + id + " holds events of " + versions);
    }
    return null;
  }
}

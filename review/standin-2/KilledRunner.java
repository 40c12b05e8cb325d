import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners are killed one after the other while they write streams, some of which have neither a
 * length nor chunks. No stream may end as complete before its last event.
 */
public final class KilledRunner {

  private static final int EVENTS = 58;
  private static final double STREAMS_PER_S = 29.6;
  private static final int SUBJECTS = 46;
  private static final int RUNNERS = 12;

  /** A quarter of the runners. */
  private static final int AT_ONCE = 3;

  private static final int KILLS = 9;
  private static final long BETWEEN_KILLS_MS = 9_500;
  private static final long DOWN_MS = 2_000;

  /** Of the streams of every other runner. */
  private static final double UNFRAMED_SHARE = 0.05;

  private static final String[] ZONES = {"yard-north", "yard-south", "office-hall"};

  private final Case setting;
  private final List<RunnerProcess> runners = new ArrayList<>();
  private final ConcurrentHashMap<String, Long> beats = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final AtomicInteger early = new AtomicInteger();
  private final Random random = new Random(7);

  private KilledRunner(Case setting) {
    this.setting = setting;
  }

  public static void main(String[] arguments) {
    Case.main(arguments, setting -> new KilledRunner(setting).play());
  }

  private boolean play() throws Exception {
    setting.configure(7, "", Case.LIMITS);
    try {
      return playWithRunners();
    } finally {
      for (RunnerProcess runner : runners) {
        runner.close();
      }
    }
  }

  private boolean playWithRunners() throws Exception {
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(start(i, 0));
    }
    Http.daemon(
        () -> {
          while (true) {
            Thread.sleep(1_200);
            for (int i = 0; i < runners.size(); i++) {
              beat(i);
            }
          }
        });
    for (int i = 0; i < 3; i++) {
      setting.daemon("front-" + i, ZONES[i]).start();
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
    for (int i = 0; i < KILLS; i++) {
      Thread.sleep(BETWEEN_KILLS_MS - DOWN_MS);
      if (setting.trouble) {
        kill(i);
      } else {
        Thread.sleep(DOWN_MS);
      }
    }
    stop.set(true);
    Thread.sleep(8_000);
    setting.say(
        "streams: " + sent + ", whole " + whole + ", cut " + cut
            + ", ended as complete before the last event " + early);
    Case.require(2 * whole.get() > sent.get(), "too few streams were served");
    return early.get() == 0;
  }

  /** Every other runner states neither a length nor chunks in some of its answers. */
  private RunnerProcess start(int i, int life) throws Exception {
    RunnerProcess runner =
        RunnerProcess.start(
            "127.0.2." + (i + 1), "i-llm" + i + "-" + life, ZONES[i % 3],
            i % 2 == 0 ? UNFRAMED_SHARE : 0, EVENTS, setting);
    setting.store.put("servers", runner.id, runner.entry(ZONES[i % 3], 1));
    setting.record("runner " + runner.id + " at " + runner.address);
    return runner;
  }

  private void beat(int i) {
    RunnerProcess runner = runners.get(i);
    if (runner.process.isAlive()) {
      long beat = beats.merge(runner.id, 1L, Long::sum) + 1;
      setting.store.put("servers", runner.id, runner.entry(ZONES[i % 3], beat));
    }
  }

  private void kill(int round) throws Exception {
    List<RunnerProcess> killed = new ArrayList<>();
    for (int k = 0; k < AT_ONCE; k++) {
      RunnerProcess runner = runners.get(indexOf(round, k));
      setting.record("SIGKILL to runner " + runner.id);
      runner.kill();
      killed.add(runner);
    }
    Thread.sleep(DOWN_MS);
    for (int k = 0; k < AT_ONCE; k++) {
      runners.set(indexOf(round, k), start(indexOf(round, k), round + 1));
    }
    // The store removes the entries after three beats of silence.
    Http.daemon(
        () -> {
          Thread.sleep(1_600);
          killed.forEach(runner -> setting.store.delete("servers", runner.id));
          return null;
        });
  }

  /** Those that leave a length out come in turn. */
  private static int indexOf(int round, int k) {
    return 2 * (AT_ONCE * round + k) % RUNNERS;
  }

  private Void consume() {
    Daemon daemon = setting.daemons.get(random.nextInt(setting.daemons.size()));
    String id = setting.id();
    Case.Received received = new Case.Received();
    String target = sent.incrementAndGet() % 2 == 0 ? "/resume/2f" : "/once/2f";
    java.util.Map<String, String> headers = Case.modelHeaders(id, 6_000);
    // As on the sites, prompts have one of several first parts, so that all runners are used.
    headers.put(
        "Sequoiapass-Prompt-Prefix",
        String.format("5c1e07%02x:198,%s:628", random.nextInt(SUBJECTS), id.substring(8)));
    headers.put("Sequoiapass-Token-Count", "826,290");
    setting.stream(daemon, target, headers, received);
    if (!received.complete) {
      cut.incrementAndGet();
    } else if (received.lastEvent == EVENTS) {
      whole.incrementAndGet();
    } else {
      early.incrementAndGet();
      setting.record(
          "ORDER " + target + " " + id + " ended as complete after event " + received.lastEvent);
    }
    return null;
  }
}

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Daemons are killed one after the other while short streams run and a service has runners of two
 * software versions. Consumers take the cut streams up at daemons in touch.
 */
public final class KilledDaemon {

  private static final double STREAMS_PER_S = 60;
  private static final int KILLS = 30;
  private static final long BETWEEN_KILLS_MS = 2_600;
  private static final long RESTART_MS = 1_000;
  private static final long CONTACT_MS = 4_000;
  private static final int TAKEN_UP = 12;

  private final Case setting;
  private final Map<Daemon, Long> inTouchFrom = new ConcurrentHashMap<>();
  private final AtomicInteger first = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private final AtomicInteger takenUp = new AtomicInteger();
  private final AtomicInteger goneOn = new AtomicInteger();
  private final Random random = new Random(6);

  private KilledDaemon(Case setting) {
    this.setting = setting;
  }

  public static void main(String[] arguments) {
    Case.main(arguments, setting -> new KilledDaemon(setting).play());
  }

  private boolean play() throws Exception {
    setting.configure(7, "", Case.LIMITS);
    String[] zones = {"yard-north", "yard-south", "office-hall"};
    for (int i = 0; i < 12; i++) {
      Runner runner = setting.runner("i-llm" + i, "llm", zones[i % 3], 96, true);
      runner.events = 7;
      runner.firstMs = 40;
      runner.eventMs = 8 * 3.4;
      runner.version = i < 6 ? "v1" : "v2";
      runner.register();
    }
    String[] machines = {
      "yard-north", "yard-north", "yard-north", "yard-south", "yard-south", "office-hall"
    };
    for (int i = 0; i < machines.length; i++) {
      setting.daemon("front-" + i, machines[i]).start();
    }
    for (Daemon daemon : setting.daemons) {
      daemon.awaitReady(20_000);
      inTouchFrom.put(daemon, Case.now() + CONTACT_MS);
    }
    Thread.sleep(CONTACT_MS + 1_000);
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
      Thread.sleep(BETWEEN_KILLS_MS - RESTART_MS);
      if (setting.trouble) {
        killAndRestart(setting.daemons.get(i % setting.daemons.size()));
      }
    }
    stop.set(true);
    Thread.sleep(3_000);
    setting.recordRuns();
    double newShare = (double) begun.get() / first.get();
    double upShare = takenUp.get() == 0 ? 1 : (double) goneOn.get() / takenUp.get();
    setting.say(
        "new streams: " + begun + " of " + first + " begin; taken up: " + goneOn + " of " + takenUp
            + " go on");
    Case.require(2 * begun.get() > first.get(), "too few streams began");
    return takenUp.get() < TAKEN_UP || upShare >= newShare / 2;
  }

  private void killAndRestart(Daemon daemon) throws Exception {
    inTouchFrom.put(daemon, Long.MAX_VALUE);
    setting.record("SIGKILL to " + daemon.name);
    daemon.signal("KILL");
    daemon.process.waitFor();
    Thread.sleep(RESTART_MS);
    daemon.start();
    setting.record("started " + daemon.name);
    Http.daemon(
        () -> {
          daemon.awaitReady(20_000);
          inTouchFrom.put(daemon, Case.now() + CONTACT_MS);
          return null;
        });
  }

  private List<Daemon> inTouch() {
    List<Daemon> found = new ArrayList<>();
    for (Daemon daemon : setting.daemons) {
      if (Case.now() >= inTouchFrom.get(daemon)) {
        found.add(daemon);
      }
    }
    Collections.shuffle(found);
    return found;
  }

  /** One consumer: a stream, and once more where it was cut after an event. */
  private Void consume() {
    Daemon daemon = inTouch().get(0);
    String id = setting.id();
    Case.Received received = new Case.Received();
    first.incrementAndGet();
    setting.stream(daemon, "/resume/2f", Case.modelHeaders(id, 5_000), received);
    if (received.lastEvent > 0) {
      begun.incrementAndGet();
    }
    if (received.complete || received.lastEvent == 0) {
      return null;
    }
    List<Daemon> others = inTouch();
    others.remove(daemon);
    Map<String, String> headers = Case.modelHeaders(setting.id(), 4_500);
    headers.put("Last-Event-Id", Integer.toString(received.lastEvent));
    headers.put("Resumes", id);
    int before = received.lastEvent;
    takenUp.incrementAndGet();
    setting.stream(others.get(0), "/resume/2f", headers, received);
    if (received.lastEvent > before || received.complete) {
      goneOn.incrementAndGet();
    }
    setting.record("taken up " + id + " after event " + before + ": " + received.end);
    return null;
  }
}

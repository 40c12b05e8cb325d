import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once: a kind of request with long bodies, which keep within the configuration's
 * limit, comes 2.4 times as often for some seconds, on connections that are kept. Callers with short
 * calls at the same daemons need their answers in time.
 */
public final class LongBodies {

  private static final int BODY_BYTES = 1_000_000;
  private static final double BRIEFS_PER_S = 29.6;
  private static final int DAEMONS = 1;
  private static final int CALLERS = 5;
  private static final long CALL_INTERVAL_MS = 400;
  private static final long CALL_TIMEOUT_MS = 800;
  private static final long CALL_DEADLINE_MS = 1_500;
  private static final long BRIEF_DEADLINE_MS = 15_000;
  private static final long SLACK_MS = 500;
  private static final long USUAL_MS = 8_000;
  private static final double BURST = 2.4;
  private static final int BURSTS = 2;
  private static final long BURST_MS = 5_000;
  private static final int MIN_UNANSWERED = 8;
  private static final String[] ZONES = {"yard-north", "yard-south", "office-hall"};

  private final Case setting;
  private final byte[] body = new byte[BODY_BYTES];
  private final Map<Daemon, BlockingQueue<Http.Connection>> idle = new ConcurrentHashMap<>();
  private final AtomicBoolean bursting = new AtomicBoolean();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicInteger calls = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final Set<String> closed = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> briefs = new ConcurrentHashMap<>();
  private final Random random = new Random(9);

  private LongBodies(Case setting) {
    this.setting = setting;
    Arrays.fill(body, (byte) 'x');
  }

  public static void main(String[] arguments) {
    Case.main(arguments, setting -> new LongBodies(setting).play());
  }

  private boolean play() throws Exception {
    String routes =
        ","
            + Case.route("r-pay", "/pay/", "non_idempotent", CALL_TIMEOUT_MS, 386, "app", 1, "")
            + ","
            + Case.route(
                "r-brief", "/brief/", "streaming", BRIEF_DEADLINE_MS, 800, "llm", 2,
                ",\"Sticky\":true,\"GapTargetMs\":400,\"Resumable\":true");
    setting.configure(7, routes, Case.LIMITS);
    for (int i = 0; i < 13; i++) {
      Runner runner = setting.runner("i-llm" + i, "llm", ZONES[i % 3], 96, true);
      runner.events = 58;
      runner.eventMs = 5 * 4.73;
    }
    for (int i = 0; i < 3; i++) {
      setting.runner("i-app" + i, "app", ZONES[i], 6, false).workMs = 85;
    }
    for (int i = 0; i < DAEMONS; i++) {
      setting.daemon("front-" + i, ZONES[i]).start();
    }
    for (Daemon daemon : setting.daemons) {
      daemon.awaitReady(20_000);
      idle.put(daemon, new LinkedBlockingDeque<>());
    }
    Thread.sleep(4_000);
    for (Daemon daemon : setting.daemons) {
      for (int i = 0; i < CALLERS; i++) {
        Http.daemon(() -> call(daemon));
      }
      Http.daemon(() -> sendBriefs(daemon));
    }
    Thread.sleep(USUAL_MS);
    for (int i = 0; i < BURSTS; i++) {
      setting.record("burst " + i);
      bursting.set(setting.trouble);
      Thread.sleep(BURST_MS);
      bursting.set(false);
      Thread.sleep(USUAL_MS);
    }
    stop.set(true);
    Thread.sleep(CALL_DEADLINE_MS + 2 * SLACK_MS);
    setting.recordRuns();
    return judge();
  }

  private boolean judge() throws Exception {
    long lost = 0;
    for (Runner runner : setting.runners) {
      synchronized (runner.runs) {
        lost += runner.runs.stream().filter(run -> closed.contains(run.requestId())).count();
      }
    }
    setting.say("long requests: " + briefs);
    setting.say(
        "short calls: " + calls + ", unanswered at the route's timeout " + overdue
            + ", half a second later " + unanswered + "; passed on, then closed without an answer "
            + lost);
    Case.require(calls.get() > 60, "too few calls were made");
    boolean isLate = overdue.get() >= MIN_UNANSWERED && 2 * unanswered.get() > overdue.get();
    return !isLate && lost <= 3;
  }

  private Void sendBriefs(Daemon daemon) throws Exception {
    while (!stop.get()) {
      double perS = BRIEFS_PER_S * (bursting.get() ? BURST : 1);
      Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / perS));
      Http.daemon(() -> brief(daemon));
    }
    return null;
  }

  /** A consumer that keeps its connection for its next request. */
  private Void brief(Daemon daemon) throws Exception {
    String id = setting.id();
    Http.Connection connection = idle.get(daemon).poll();
    boolean isReused = connection != null;
    long sent = Case.now();
    try {
      if (!isReused) {
        connection = Http.connect(daemon.ip, daemon.callerPort(), 1_000);
      }
      connection.socket.setSoTimeout((int) BRIEF_DEADLINE_MS + 2_000);
      connection.out.write(
          Case.bytes("POST", "/brief/2f", Case.modelHeaders(id, BRIEF_DEADLINE_MS), body));
      Case.Outcome outcome = setting.receive(connection, id, daemon, sent);
      String how = outcome.isComplete() ? "complete" : outcome.status() > 0 ? "cut" : "no answer";
      briefs.merge(outcome.status() + " " + how, 1, Integer::sum);
      if (isReused && outcome.end().equals("closed without an answer")) {
        closed.add(id);
      }
      if (outcome.isComplete() && !outcome.answer().header("connection").equals("close")) {
        idle.get(daemon).add(connection);
      } else {
        connection.close();
      }
    } catch (java.io.IOException e) {
      briefs.merge("not sent", 1, Integer::sum);
    }
    return null;
  }

  /** A caller with short calls on one connection. */
  private Void call(Daemon daemon) throws Exception {
    while (!stop.get()) {
      try (Http.Connection connection = Http.connect(daemon.ip, daemon.callerPort(), 1_000)) {
        boolean kept = true;
        for (int i = 0; kept && !stop.get(); i++) {
          kept = call(daemon, connection, i > 0);
          Thread.sleep(CALL_INTERVAL_MS);
        }
      } catch (java.io.IOException e) {
        // Tries again on a new connection.
        Thread.sleep(CALL_INTERVAL_MS);
      }
    }
    return null;
  }

  private boolean call(Daemon daemon, Http.Connection connection, boolean isReused)
      throws Exception {
    String id = setting.id();
    long sent = Case.now();
    connection.socket.setSoTimeout((int) CALL_DEADLINE_MS);
    connection.out.write(
        Case.bytes(
            "POST", "/pay/2f", Case.headers(id, CALL_DEADLINE_MS), "{}".getBytes("UTF-8")));
    Case.Outcome outcome = setting.receive(connection, id, daemon, sent);
    calls.incrementAndGet();
    long tookMs = outcome.endedMs() - sent;
    if (tookMs > CALL_TIMEOUT_MS) {
      overdue.incrementAndGet();
    }
    if (tookMs > CALL_TIMEOUT_MS + SLACK_MS) {
      unanswered.incrementAndGet();
    }
    if (isReused && outcome.end().equals("closed without an answer")) {
      closed.add(id);
    }
    return outcome.isComplete() && !outcome.answer().header("connection").equals("close");
  }
}

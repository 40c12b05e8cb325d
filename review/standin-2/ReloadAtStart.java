import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The settings file of two starting daemons changes, so each gets SIGHUP soon after its start. None
 * may end by itself; the platform starts one that has ended again.
 */
public final class ReloadAtStart {

  private static final int MACHINES = 2;
  private static final int ROUNDS = 4;
  private static final int MOST_ENDS = 2;
  private static final long SIGNAL_AFTER_MS = 250;
  private static final long RESTART_MS = 1_000;

  private ReloadAtStart() {}

  public static void main(String[] arguments) {
    Case.main(arguments, ReloadAtStart::play);
  }

  private static boolean play(Case setting) throws Exception {
    setting.configure(7, "", Case.LIMITS);
    setting.runner("i-app0", "app", "yard-north", 6, false);
    setting.runner("i-llm0", "llm", "yard-north", 96, true);
    // The other four of the six machines are there all the time.
    String[] zones = {"yard-north", "yard-south", "yard-north", "yard-north", "yard-south", "office-hall"};
    for (int i = 0; i < zones.length; i++) {
      setting.daemon("front-" + i, zones[i]);
    }
    for (Daemon daemon : setting.daemons.subList(MACHINES, zones.length)) {
      daemon.start();
      daemon.awaitReady(20_000);
    }
    List<Integer> ends = new ArrayList<>();
    for (Daemon daemon : setting.daemons.subList(0, MACHINES)) {
      ends.add(startAndReload(setting, daemon));
    }
    setting.say("ends by itself, by machine: " + ends);
    return ends.stream().anyMatch(count -> count <= MOST_ENDS);
  }

  /** Returns how often the process has ended by itself. */
  private static int startAndReload(Case setting, Daemon daemon) throws Exception {
    int ends = 0;
    daemon.start();
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(SIGNAL_AFTER_MS);
      if (setting.trouble) {
        daemon.writeSettings();
        daemon.signal("HUP");
        setting.record("SIGHUP to " + daemon.name);
      }
      if (daemon.process.waitFor(3, TimeUnit.SECONDS)) {
        ends++;
        setting.record(daemon.name + " ended by itself with status " + daemon.process.exitValue());
        Thread.sleep(RESTART_MS);
        daemon.start();
      }
    }
    daemon.awaitReady(20_000);
    return ends;
  }
}

package io.sequoiapass.testbed.measure;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.version.WatcherElection;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.proxy.ProxyFault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures the time from the platform's acceptance of a change until every daemon has applied it,
 * and the daemons' calls to the platform in the meantime.
 *
 * <p>The time line of a daemon records when it applied a version of an object; all processes share
 * the machine's wall clock. Watches are cut by the proxy between a daemon and the platform, which
 * cuts the daemon's other calls too. Not safe for use by several threads.
 */
final class PropagationMeasurement {

  private static final int WATCHERS = 2;
  private static final int ADAPTERS = 40;
  private static final String FIRST_DATA_CENTRE = "dc-1";
  private static final double QUIET_RATE = 2;
  private static final long READY_LIMIT_MS = 90_000;

  /** Time after which a change that some daemon has not applied counts as lost. */
  private static final long APPLY_LIMIT_MS = 10_000;

  private final int seconds;
  private final int dataCentres;
  private final int daemons;
  private final int rate;

  PropagationMeasurement(int seconds, int dataCentres, int daemons, int rate) {
    this.seconds = seconds;
    this.dataCentres = dataCentres;
    this.daemons = daemons;
    this.rate = rate;
  }

  int run() throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .dataCentres(dataCentres)
            .daemons(daemons)
            .engines(1)
            .adapters(ADAPTERS)
            .withPlatformProxies()
            .daemonJvmFlags("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
            .start()) {
      cluster.awaitReady(READY_LIMIT_MS);
      System.out.printf("%d data centres with %d daemons each%n", dataCentres, daemons);
      System.out.println(
          "| watches | changes/s | changes | p50 ms | p99 ms | max ms | not in force"
              + " | WATCH/s | HOSTS/s | LIST/s | READ/s | PUT/s | a daemon/s | a data centre/s"
              + " | control B/s a daemon | most B/s |");
      System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
      boolean complete = phase(cluster, "whole", 0);
      complete &= phase(cluster, "whole", QUIET_RATE);
      complete &= phase(cluster, "whole", rate);
      List<String> fifth = fifthOfWatchers(cluster);
      cluster.proxies().toPlatform(fifth.get(0)).set(ProxyFault.cut());
      cluster.proxies().toPlatform(fifth.get(fifth.size() - 1)).set(ProxyFault.freeze());
      complete &= phase(cluster, "a fifth cut", QUIET_RATE);
      complete &= phase(cluster, "a fifth cut", rate);
      watchers(cluster, FIRST_DATA_CENTRE)
          .forEach(daemon -> cluster.proxies().toPlatform(daemon).set(ProxyFault.cut()));
      complete &= phase(cluster, "all of one data centre cut", QUIET_RATE);
      return complete ? 0 : 1;
    }
  }

  /** Returns a fifth of the watchers, rounded up, at most one per data centre. */
  private List<String> fifthOfWatchers(Cluster cluster) {
    List<String> first = new ArrayList<>();
    for (int i = 1; i <= dataCentres; i++) {
      first.add(watchers(cluster, "dc-" + i).get(0));
    }
    int fifth = (dataCentres * WATCHERS + 4) / 5;
    return first.subList(0, Math.max(1, Math.min(fifth, first.size())));
  }

  private static List<String> watchers(Cluster cluster, String dataCentre) {
    List<DaemonId> members =
        cluster.daemons().stream()
            .filter(node -> node.dataCentre().equals(dataCentre))
            .map(node -> new DaemonId(node.id()))
            .toList();
    return WatcherElection.create(new DataCentreId(dataCentre), WATCHERS).watchers(members).stream()
        .map(DaemonId::value)
        .toList();
  }

  private boolean phase(Cluster cluster, String watches, double changesPerSecond)
      throws IOException, InterruptedException {
    ChangeWatch changes = new ChangeWatch(cluster);
    PlatformCalls before = PlatformCalls.of(cluster);
    long start = System.nanoTime();
    long end = start + TimeUnit.SECONDS.toNanos(seconds);
    for (int i = 0; changesPerSecond > 0 && System.nanoTime() < end; i++) {
      changes.change(ClusterNames.adapter(i % ADAPTERS));
      long due = start + (long) ((i + 1) * TimeUnit.SECONDS.toNanos(1) / changesPerSecond);
      TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
    }
    TimeUnit.NANOSECONDS.sleep(Math.max(0, end - System.nanoTime()));
    PlatformCalls calls = PlatformCalls.of(cluster).since(before);
    PropagationTimes times = changes.await(APPLY_LIMIT_MS);
    System.out.printf("| %s | %.0f | %s | %s |%n", watches, changesPerSecond, times, calls.row());
    return times.lost() == 0;
  }
}

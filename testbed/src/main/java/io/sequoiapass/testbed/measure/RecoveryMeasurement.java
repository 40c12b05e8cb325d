package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.launch.Cluster;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Measures the rate of calls to the platform before, during and after an outage. A thundering herd
 * of calls on recovery would overload the platform again.
 *
 * <p>Not safe for use by several threads.
 */
final class RecoveryMeasurement {

  private static final int BEFORE_SECONDS = 5;
  private static final long SLICE_MS = 500;
  private static final long READY_LIMIT_MS = 90_000;

  private final int seconds;
  private final int dataCentres;
  private final int daemons;
  private final int outageSeconds;

  RecoveryMeasurement(int seconds, int dataCentres, int daemons, int outageSeconds) {
    this.seconds = seconds;
    this.dataCentres = dataCentres;
    this.daemons = daemons;
    this.outageSeconds = outageSeconds;
  }

  int run() throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .dataCentres(dataCentres)
            .daemons(daemons)
            .engines(1)
            .adapters(40)
            .daemonJvmFlags("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
            .start()) {
      cluster.awaitReady(READY_LIMIT_MS);
      System.out.printf(
          "%d data centres with %d daemons each, platform out for %d s%n",
          dataCentres, daemons, outageSeconds);
      System.out.println(
          "| time | WATCH/s | HOSTS/s | LIST/s | READ/s | PUT/s | a daemon/s | a data centre/s"
              + " | control B/s a daemon | most B/s |");
      System.out.println("|---|---|---|---|---|---|---|---|---|---|");
      printSlice(cluster, "before", TimeUnit.SECONDS.toMillis(BEFORE_SECONDS));
      cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");
      printSlice(cluster, "out", TimeUnit.SECONDS.toMillis(outageSeconds));
      cluster.setFaults(cluster.platformAddress(), "{}");
      long slices = TimeUnit.SECONDS.toMillis(seconds) / SLICE_MS;
      for (int i = 1; i <= slices; i++) {
        printSlice(cluster, "%.1f s after".formatted(i * SLICE_MS / 1_000.0), SLICE_MS);
      }
      return 0;
    }
  }

  private static void printSlice(Cluster cluster, String name, long millis)
      throws IOException, InterruptedException {
    PlatformCalls before = PlatformCalls.of(cluster);
    TimeUnit.MILLISECONDS.sleep(millis);
    System.out.printf("| %s | %s |%n", name, PlatformCalls.of(cluster).since(before).row());
  }
}

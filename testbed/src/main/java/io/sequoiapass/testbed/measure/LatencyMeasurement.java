package io.sequoiapass.testbed.measure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Measures the time to the first token on three paths side by side: to the engine directly, through
 * the engine's owner, and through another daemon and the owner.
 *
 * <p>All three paths lead to one engine at the same rate in the same run, so that the engine's
 * steps and load and other work on the machine affect all of them equally. Adapters are loaded
 * before the measurement.
 */
final class LatencyMeasurement {

  private static final int ADAPTERS = 3;
  private static final int TOKENS = 4;
  private static final int WARM_UP_SECONDS = 5;
  private static final int WARM_UP_CALLS = 5;
  private static final long READY_LIMIT_MS = 20_000;
  private static final long TIMEOUT_MS = 20_000;
  private static final long POLL_INTERVAL_MS = 50;

  private final int seconds;
  private final int rate;
  private final long seed;

  LatencyMeasurement(int seconds, int rate, long seed) {
    this.seconds = seconds;
    this.rate = rate;
    this.seed = seed;
  }

  int run() throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(2)
            .engines(1)
            .adapters(ADAPTERS)
            .engineSize(ADAPTERS, 512)
            .engineFlags("--stream-micros", "10", "--adapter-micros", "50")
            .daemonJvmFlags("-XX:TieredStopAtLevel=4")
            .start()) {
      cluster.awaitServing(READY_LIMIT_MS);
      DaemonNode other = findForwarder(cluster);
      DaemonNode owner =
          cluster.daemons().stream().filter(daemon -> daemon != other).findFirst().orElseThrow();
      return measure(cluster, owner, other);
    }
  }

  /**
   * Returns the daemon that forwards its requests, detected from the bytes it sends to its peer.
   */
  private static DaemonNode findForwarder(Cluster cluster)
      throws IOException, InterruptedException {
    DaemonNode first = cluster.daemons().get(0);
    for (DaemonNode daemon : cluster.daemons()) {
      for (int adapter = 0; adapter < ADAPTERS; adapter++) {
        warmUp(cluster, daemon, adapter);
      }
    }
    long before = dataBytes(cluster, first);
    warmUp(cluster, first, 0);
    boolean forwards = dataBytes(cluster, first) > before;
    return forwards ? first : cluster.daemons().get(1);
  }

  private static long dataBytes(Cluster cluster, DaemonNode daemon)
      throws IOException, InterruptedException {
    JsonObject metrics =
        cluster
            .http()
            .read(HttpCall.to(daemon.operatorAddress(), "GET", "/metrics"), JsonObject.class);
    return metrics.get("peer.data.bytes").getAsLong();
  }

  private static void warmUp(Cluster cluster, DaemonNode daemon, int adapter)
      throws IOException, InterruptedException {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      HttpAnswer answer = cluster.http().send(daemonCall(daemon, adapter, "warm-up"));
      if (answer.ok()) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    throw new IOException("no answer from " + daemon.id() + " after " + WARM_UP_CALLS + " calls");
  }

  private int measure(Cluster cluster, DaemonNode owner, DaemonNode other)
      throws IOException, InterruptedException {
    Map<Integer, String> handles = handles(cluster);
    InetSocketAddress engine = cluster.endpoint("e1").address();
    PathTimes direct = new PathTimes("engine directly");
    PathTimes one = new PathTimes("through its owner");
    PathTimes two = new PathTimes("through another daemon and owner");
    var group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      HttpClient client = HttpClient.create(group, 1_000);
      Random random = new Random(seed);
      long planned =
          new PathLoad(group, client, direct, rate, random)
              .schedule(
                  WARM_UP_SECONDS,
                  seconds,
                  (id, adapter) ->
                      engineCall(engine, adapter, handles.get(adapter), "direct" + id));
      planned +=
          new PathLoad(group, client, one, rate, random)
              .schedule(WARM_UP_SECONDS, seconds, (id, a) -> daemonCall(owner, a, "one" + id));
      planned +=
          new PathLoad(group, client, two, rate, random)
              .schedule(WARM_UP_SECONDS, seconds, (id, a) -> daemonCall(other, a, "two" + id));
      awaitAll(planned, List.of(direct, one, two));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    return print(direct, one, two);
  }

  private void awaitAll(long planned, List<PathTimes> paths)
      throws IOException, InterruptedException {
    long polls =
        (TimeUnit.SECONDS.toMillis(WARM_UP_SECONDS + seconds) + TIMEOUT_MS) / POLL_INTERVAL_MS;
    while (paths.stream().mapToLong(PathTimes::endedCount).sum() < planned) {
      polls--;
      if (polls < 0) {
        throw new IOException("not all of " + planned + " requests ended");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private int print(PathTimes direct, PathTimes one, PathTimes two) {
    System.out.printf("first token in ms, %d requests/s on each path, %d s%n", rate, seconds);
    System.out.println(
        "| path                             | requests | failed | p50 | p95 | p99 |");
    System.out.println("|---|---|---|---|---|---|");
    System.out.println(direct.row());
    System.out.println(one.row());
    System.out.println(two.row());
    for (PathTimes path : List.of(direct, one, two)) {
      path.reasons().forEach(System.out::println);
    }
    System.out.printf(
        "latency: added_p50_ms=%.2f added_p95_ms=%.2f added_p99_ms=%.2f%n",
        two.millisAt(50) - direct.millisAt(50),
        two.millisAt(95) - direct.millisAt(95),
        two.millisAt(99) - direct.millisAt(99));
    return direct.failedCount() + one.failedCount() + two.failedCount() == 0 ? 0 : 1;
  }

  private static Map<Integer, String> handles(Cluster cluster)
      throws IOException, InterruptedException {
    InetSocketAddress engine = cluster.endpoint("e1").address();
    JsonObject state =
        cluster.http().read(HttpCall.to(engine, "GET", "/v1/state"), JsonObject.class);
    Map<Integer, String> handles = new HashMap<>();
    for (JsonElement slot : state.getAsJsonArray("slots")) {
      for (int adapter = 0; adapter < ADAPTERS; adapter++) {
        JsonObject fields = slot.getAsJsonObject();
        if (fields.get("adapter").getAsString().equals(ClusterNames.adapter(adapter))) {
          handles.put(adapter, fields.get("handle").getAsString());
        }
      }
    }
    if (handles.size() < ADAPTERS) {
      throw new IOException("not all adapters are loaded: " + state);
    }
    return handles;
  }

  private static HttpCall daemonCall(DaemonNode daemon, int adapter, String id) {
    return HttpCall.to(daemon.callerAddress(), "POST", "/v1/completions")
        .header("Request-Id", id)
        .body(
            "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d,\"stream\":true}"
                .formatted(ClusterNames.adapter(adapter), TOKENS));
  }

  private static HttpCall engineCall(
      InetSocketAddress engine, int adapter, String handle, String id) {
    return HttpCall.to(engine, "POST", "/v1/completions")
        .body(
            ("{\"request_id\":\"%s\",\"attempt\":1,\"adapter\":\"%s\",\"version\":\"%s\","
                    + "\"handle\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}")
                .formatted(
                    id,
                    ClusterNames.adapter(adapter),
                    ClusterNames.CURRENT_VERSION,
                    handle,
                    TOKENS));
  }

  /** Creates the call of one request. */
  @FunctionalInterface
  interface CallFactory {
    HttpCall call(int id, int adapter);
  }

  /** Sends the requests of one path with exponential gaps at a mean rate. */
  private static final class PathLoad {

    private final MultiThreadIoEventLoopGroup group;
    private final HttpClient client;
    private final PathTimes times;
    private final int rate;
    private final Random random;

    PathLoad(
        MultiThreadIoEventLoopGroup group,
        HttpClient client,
        PathTimes times,
        int rate,
        Random random) {
      this.group = group;
      this.client = client;
      this.times = times;
      this.rate = rate;
      this.random = random;
    }

    long schedule(int warmUpSeconds, int seconds, CallFactory calls) {
      double at = 0;
      int id = 0;
      // Random gaps: with even gaps of 5 ms all requests would hit the same phase of engine steps.
      for (at += gap(); at < warmUpSeconds + seconds; at += gap()) {
        boolean measured = at >= warmUpSeconds;
        HttpCall call = calls.call(id, random.nextInt(ADAPTERS));
        group
            .next()
            .schedule(
                () -> client.stream(call, TIMEOUT_MS, new FirstTokenProbe(times, measured)),
                (long) (at * 1e6),
                TimeUnit.MICROSECONDS);
        id++;
      }
      return id;
    }

    private double gap() {
      return -Math.log(1 - random.nextDouble()) / rate;
    }
  }
}

package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.net.InetSocketAddress;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OverloadTest {

  private static final String FLOOD = "flood";
  private static final long LIMIT_MS = 30_000;
  private static final int ADAPTERS = 4;
  private static final int SECONDS = 12;
  private static final int DEADLINE_MS = 3_000;
  private static final int PROBES = 20;
  private static final long PROBE_INTERVAL_MS = 500;

  /**
   * Sized for some 35 answers a second: 16 streams of 5 tokens, with steps that are long compared
   * with the delays of a busy machine. All rates are low enough for two cores to carry callers,
   * daemons and engine: at twice these rates the cores are saturated, and half of the refusals,
   * decided within 1 ms, take 450 ms to be sent.
   */
  private static final int STREAMS = 16;

  private static final String STEP_MICROS = "80000";
  private static final int TOKENS = 5;
  private static final int QUIET_RATE = 10;
  private static final int FLOOD_RATE = 105;

  /** Half of the refusals are decided on arrival; the owner's timer runs every 20 ms. */
  private static final double MAX_HOLD_MS = 20;

  private static Cluster cluster() throws Exception {
    Cluster cluster =
        Cluster.builder()
            .daemons(2)
            .engines(1)
            .adapters(ADAPTERS)
            .engineSize(ADAPTERS, STREAMS)
            .engineFlags("--base-micros", STEP_MICROS)
            .daemonFlags("--admission", System.getProperty("sequoiapass.admission", "true"))
            .daemonJvmFlags("-XX:TieredStopAtLevel=4")
            .start();
    cluster.awaitServing(LIMIT_MS);
    cluster
        .objects()
        .put(
            "service",
            FLOOD,
            new ObjectValues.Service(
                ClusterNames.MODEL, List.of("*"), null, true, "INTERACTIVE", 100_000));
    for (DaemonNode daemon : cluster.daemons()) {
      for (int adapter = 0; adapter < ADAPTERS; adapter++) {
        awaitAnswer(daemon, adapter);
      }
    }
    return cluster;
  }

  private static void awaitAnswer(DaemonNode daemon, int adapter) throws Exception {
    for (long polls = LIMIT_MS / 50; polls > 0; polls--) {
      if (sendRequest(daemon, adapter).statusCode() == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no answer from " + daemon.id() + " for adapter " + adapter);
  }

  private static HttpResponse<String> sendRequest(DaemonNode daemon, int adapter) throws Exception {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}"
            .formatted(ClusterNames.adapter(adapter), TOKENS);
    return new HttpProbe(daemon.callerAddress())
        .call(
            "POST",
            "/v1/completions",
            body,
            "Service",
            FLOOD,
            "Deadline-Ms",
            Integer.toString(DEADLINE_MS));
  }

  private static List<PlannedRequest> plan(int rate, long seed) {
    return new LoadPlan(SECONDS, rate, ADAPTERS, 0, TOKENS, 0, 0, 0, seed).requests();
  }

  /**
   * Returns the plan with every request at priority INTERACTIVE. Priority takes precedence over the
   * fair share of services, so a flood of interactive requests shows how services share.
   */
  private static List<PlannedRequest> interactive(List<PlannedRequest> plan) {
    return plan.stream()
        .map(
            request ->
                new PlannedRequest(
                    request.id(),
                    request.atMicros(),
                    request.adapter(),
                    request.version(),
                    request.maxTokens(),
                    "INTERACTIVE",
                    request.repeatable()))
        .toList();
  }

  private static LoadTool load(Cluster cluster, String service, List<PlannedRequest> plan) {
    List<InetSocketAddress> daemons =
        cluster.daemons().stream().map(DaemonNode::callerAddress).toList();
    LoadTool tool = LoadTool.to(daemons).deadlineMs(DEADLINE_MS).service(service);
    tool.start(plan);
    return tool;
  }

  private static boolean inTime(RequestResult result) {
    return result.verdict() == Verdict.COMPLETE
        && result.tookMicros() <= TimeUnit.MILLISECONDS.toMicros(DEADLINE_MS);
  }

  private static double inTimeShare(LoadReport report, Predicate<RequestResult> which) {
    List<RequestResult> counted = report.results().stream().filter(which).toList();
    return counted.stream().filter(OverloadTest::inTime).count() / (double) counted.size();
  }

  /**
   * Returns the median time for which the owner with the most refusals held the refused requests.
   */
  private static double heldBeforeRefusalMs(Cluster cluster) throws Exception {
    double median = -1;
    long most = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      JsonObject metrics =
          cluster
              .http()
              .read(HttpCall.to(daemon.operatorAddress(), "GET", "/metrics"), JsonObject.class);
      if (metrics.has("admission.refused.after.ms")) {
        JsonObject held = metrics.getAsJsonObject("admission.refused.after.ms");
        System.out.println("overload: " + daemon.id() + " held what it refused, in ms: " + held);
        if (held.get("count").getAsLong() > most) {
          most = held.get("count").getAsLong();
          median = held.get("p50").getAsDouble();
        }
      }
    }
    assertThat(most).as("some owner refused something").isPositive();
    return median;
  }

  private static long refusedWithinMs(LoadReport report, double share) {
    List<Long> times =
        report.results().stream()
            .filter(result -> result.verdict() == Verdict.NOT_RUN)
            .map(RequestResult::tookMicros)
            .sorted()
            .toList();
    return TimeUnit.MICROSECONDS.toMillis(times.get((int) (share * (times.size() - 1))));
  }

  @Nested
  class OneServiceFloods {

    // One service sends three times the engine's capacity, another a quarter of it. With one queue
    // for both, instead of fair queueing by service, the quiet service's callers would get answers
    // after their deadline or none; only its batch requests, for which no caller waits, may yield
    // to the flood. The flood's callers get NOT RUN immediately, with a time to retry after, and
    // the engine must have no record of a request that was reported as NOT RUN.
    @Test
    void theOtherServiceIsAnsweredInTimeAndRefusalsAreImmediate() throws Exception {
      try (Cluster cluster = cluster();
          LoadTool quiet = load(cluster, ClusterNames.NOTES, plan(QUIET_RATE, 1));
          LoadTool flood = load(cluster, FLOOD, interactive(plan(FLOOD_RATE, 2)))) {
        List<String> retryAfter = retryAfterOfRefusals(cluster.daemons().get(0));
        LoadReport quietReport = quiet.await(LIMIT_MS);
        LoadReport floodReport = flood.await(LIMIT_MS);
        ConsistencyChecker checker = ConsistencyChecker.of(cluster);
        quietReport = checker.apply(quietReport);
        floodReport = checker.apply(floodReport);
        double share = inTimeShare(quietReport, any -> true);
        double priority =
            inTimeShare(quietReport, result -> result.request().priority().equals("DEADLINE"));
        double nonBatch =
            inTimeShare(quietReport, result -> !result.request().priority().equals("BATCH"));
        long refused = floodReport.count(Verdict.NOT_RUN);
        System.out.printf(
            "overload: quiet in time %.3f, without its batch work %.3f, its priority work %.3f, flood refused %d of %d, half"
                + " within %d ms, 95 of 100 within %d ms%n%s%n%s%n",
            share,
            nonBatch,
            priority,
            refused,
            floodReport.sent(),
            refusedWithinMs(floodReport, 0.5),
            refusedWithinMs(floodReport, 0.95),
            quietReport.reasons(5),
            floodReport.reasons(5));
        assertThat(quietReport.count(Verdict.WRONG) + floodReport.count(Verdict.WRONG)).isZero();
        assertThat(quietReport.unanswered() + floodReport.unanswered()).isZero();
        assertThat(nonBatch).as("quiet service in time").isGreaterThan(0.85);
        assertThat(priority).as("its priority work in time").isGreaterThan(0.9);
        assertThat(refused).isGreaterThan(floodReport.sent() / 3);
        assertThat(heldBeforeRefusalMs(cluster)).as("held by the owner").isLessThan(MAX_HOLD_MS);
        assertThat(refusedWithinMs(floodReport, 1)).as("the last one").isLessThan(DEADLINE_MS);
        assertThat(retryAfter)
            .isNotEmpty()
            .allSatisfy(seconds -> assertThat(Integer.parseInt(seconds)).isPositive());
      }
    }

    /**
     * Returns the Retry-After of refusals. Probes are sent at a fixed rate, since each of those
     * that are answered waits in the queue for seconds.
     */
    private static List<String> retryAfterOfRefusals(DaemonNode daemon) throws Exception {
      ExecutorService senders = Executors.newFixedThreadPool(PROBES);
      try {
        List<Future<HttpResponse<String>>> probes = new ArrayList<>();
        for (int i = 0; i < PROBES; i++) {
          int adapter = i % ADAPTERS;
          probes.add(senders.submit(() -> sendRequest(daemon, adapter)));
          TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MS);
        }
        List<String> found = new ArrayList<>();
        for (Future<HttpResponse<String>> probe : probes) {
          HttpHeaders headers = probe.get().headers();
          if (headers.firstValue("Outcome").equals(Optional.of("NOT_RUN"))) {
            found.add(headers.firstValue("Retry-After").orElse("-1"));
          }
        }
        return found;
      } finally {
        senders.shutdown();
      }
    }
  }
}

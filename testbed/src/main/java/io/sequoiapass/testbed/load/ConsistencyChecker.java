package io.sequoiapass.testbed.load;

import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.launch.EndpointNode.EndpointKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the results that callers received with the runs that the stand-ins recorded.
 *
 * <p>A request is wrong, whatever its caller received, if it was reported as NOT RUN but ran, if it
 * ran twice although it must not, or if it ran on an adapter other than the requested one. A
 * stand-in keeps its record in memory, so violations on a process that was replaced since can be
 * missed. Instances are immutable.
 */
public final class ConsistencyChecker {

  private static final char INTERNAL_ID_SEPARATOR = '~';

  private final List<EndpointReport.Engine> engines;
  private final Map<String, List<String>> adaptersByRequest;
  private final Map<String, Integer> runsByRequest;

  ConsistencyChecker(
      List<EndpointReport.Engine> engines,
      Map<String, List<String>> adaptersByRequest,
      Map<String, Integer> runsByRequest) {
    this.engines = engines;
    this.adaptersByRequest = adaptersByRequest;
    this.runsByRequest = runsByRequest;
  }

  /**
   * Collects the reports of all endpoints of a cluster.
   *
   * @param cluster the cluster
   * @throws IOException if an endpoint does not answer
   * @throws InterruptedException if the wait is interrupted
   */
  public static ConsistencyChecker of(Cluster cluster) throws IOException, InterruptedException {
    List<EndpointReport.Engine> engines = new ArrayList<>();
    Map<String, List<String>> adapters = new HashMap<>();
    Map<String, Integer> runs = new HashMap<>();
    for (EndpointNode node : cluster.endpoints()) {
      HttpCall call = HttpCall.to(node.address(), "GET", "/judge");
      if (node.kind() == EndpointKind.ENGINE) {
        EndpointReport.Engine engine = cluster.http().read(call, EndpointReport.Engine.class);
        engines.add(engine);
        for (EndpointReport.Run run : engine.runs()) {
          String id = callerId(run.requestId());
          runs.merge(id, run.count(), Integer::sum);
          adapters
              .computeIfAbsent(id, any -> new ArrayList<>())
              .add(run.adapter() + "@" + run.version());
        }
      } else {
        EndpointReport.Service service = cluster.http().read(call, EndpointReport.Service.class);
        service.runsByRequest().forEach((id, n) -> runs.merge(callerId(id), n, Integer::sum));
      }
    }
    return new ConsistencyChecker(List.copyOf(engines), adapters, runs);
  }

  private static String callerId(String internalId) {
    int end = internalId.lastIndexOf(INTERNAL_ID_SEPARATOR);
    return end < 0 ? internalId : internalId.substring(0, end);
  }

  /**
   * Returns a copy of a report in which results that contradict the stand-ins' records are wrong.
   *
   * @param report the results that callers received
   */
  public LoadReport apply(LoadReport report) {
    return report.map(this::check);
  }

  private RequestResult check(RequestResult result) {
    PlannedRequest request = result.request();
    int runs = runsByRequest.getOrDefault(request.id(), 0);
    if (result.verdict() == Verdict.NOT_RUN && runs > 0) {
      return result.asWrong("reported as NOT RUN, but ran " + runs + " times: " + result.detail());
    }
    if (!request.repeatable() && runs > 1) {
      return result.asWrong("must not run twice, but ran " + runs + " times");
    }
    if (request.adapter().isPresent()) {
      String adapter = request.adapter().get() + "@";
      for (String ranOn : adaptersByRequest.getOrDefault(request.id(), List.of())) {
        if (!ranOn.startsWith(adapter)) {
          return result.asWrong("ran on " + ranOn);
        }
      }
    }
    return result;
  }

  /** Returns the number of evictions of adapters that were serving requests. */
  public long violations() {
    return engines.stream().mapToLong(EndpointReport.Engine::violations).sum();
  }

  /** Returns a description of each recorded eviction of a serving adapter. */
  public List<String> violationDetails() {
    return engines.stream()
        .flatMap(engine -> engine.violationDetails().stream().map(d -> engine.endpoint() + " " + d))
        .toList();
  }

  /** Returns the number of adapter loads over all engines. */
  public long loads() {
    return engines.stream().mapToLong(EndpointReport.Engine::loads).sum();
  }

  /** Returns the number of evictions over all engines. */
  public long evictions() {
    return engines.stream().mapToLong(EndpointReport.Engine::evictions).sum();
  }

  /** Returns the number of tokens that all engines generated. */
  public long tokens() {
    return engines.stream().mapToLong(EndpointReport.Engine::tokens).sum();
  }

  /** Returns the mean number of streams in a step, over all steps of all engines. */
  public double streamsPerStep() {
    return perStep(engines.stream().mapToDouble(e -> e.streamsPerStep() * e.steps()).sum());
  }

  /** Returns the mean number of distinct adapters in a step, over all steps of all engines. */
  public double adaptersPerStep() {
    return perStep(engines.stream().mapToDouble(e -> e.adaptersPerStep() * e.steps()).sum());
  }

  private double perStep(double sum) {
    long steps = engines.stream().mapToLong(EndpointReport.Engine::steps).sum();
    return steps == 0 ? 0 : sum / steps;
  }
}

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
 * Compares what callers were told with what the stand-ins say ran.
 *
 * <p>A request that was told NOT RUN and ran, one that may not run twice and did, and one that ran
 * on another adapter than it named are wrong, whatever the caller saw. A stand-in whose process was
 * replaced has forgotten its runs, so this finds less there. Instances are immutable.
 */
public final class Judgement {

  private static final char INTERNAL_PART = '~';

  private final List<JudgeReport.Engine> engines;
  private final Map<String, List<String>> adaptersByRequest;
  private final Map<String, Integer> runsByRequest;

  Judgement(
      List<JudgeReport.Engine> engines,
      Map<String, List<String>> adaptersByRequest,
      Map<String, Integer> runsByRequest) {
    this.engines = engines;
    this.adaptersByRequest = adaptersByRequest;
    this.runsByRequest = runsByRequest;
  }

  /**
   * Asks all endpoints of a cluster.
   *
   * @param cluster the cluster
   * @throws IOException if one does not answer
   * @throws InterruptedException if the wait is interrupted
   */
  public static Judgement of(Cluster cluster) throws IOException, InterruptedException {
    List<JudgeReport.Engine> engines = new ArrayList<>();
    Map<String, List<String>> adapters = new HashMap<>();
    Map<String, Integer> runs = new HashMap<>();
    for (EndpointNode node : cluster.endpoints()) {
      HttpCall call = HttpCall.to(node.address(), "GET", "/judge");
      if (node.kind() == EndpointKind.ENGINE) {
        JudgeReport.Engine engine = cluster.http().read(call, JudgeReport.Engine.class);
        engines.add(engine);
        for (JudgeReport.Run run : engine.runs()) {
          String id = callerId(run.requestId());
          runs.merge(id, run.count(), Integer::sum);
          adapters
              .computeIfAbsent(id, any -> new ArrayList<>())
              .add(run.adapter() + "@" + run.version());
        }
      } else {
        JudgeReport.Service service = cluster.http().read(call, JudgeReport.Service.class);
        service.runsByRequest().forEach((id, n) -> runs.merge(callerId(id), n, Integer::sum));
      }
    }
    return new Judgement(List.copyOf(engines), adapters, runs);
  }

  private static String callerId(String internalId) {
    int end = internalId.lastIndexOf(INTERNAL_PART);
    return end < 0 ? internalId : internalId.substring(0, end);
  }

  /**
   * Returns a report in which results that the judges contradict are wrong.
   *
   * @param report what callers were told
   */
  public LoadReport apply(LoadReport report) {
    return report.with(this::judge);
  }

  private RequestResult judge(RequestResult result) {
    PlannedRequest request = result.request();
    int runs = runsByRequest.getOrDefault(request.id(), 0);
    if (result.verdict() == Verdict.NOT_RUN && runs > 0) {
      return result.judgedWrong("told NOT RUN, but ran " + runs + " times: " + result.detail());
    }
    if (!request.repeatable() && runs > 1) {
      return result.judgedWrong("may not run twice, but ran " + runs + " times");
    }
    if (request.adapter().isPresent()) {
      String adapter = request.adapter().get() + "@";
      for (String ranOn : adaptersByRequest.getOrDefault(request.id(), List.of())) {
        if (!ranOn.startsWith(adapter)) {
          return result.judgedWrong("ran on " + ranOn);
        }
      }
    }
    return result;
  }

  /** Returns how often an adapter was evicted while it served. */
  public long violations() {
    return engines.stream().mapToLong(JudgeReport.Engine::violations).sum();
  }

  /** Returns what is known of those evictions. */
  public List<String> violationDetails() {
    return engines.stream()
        .flatMap(engine -> engine.violationDetails().stream().map(d -> engine.endpoint() + " " + d))
        .toList();
  }

  /** Returns the loads that engines made. */
  public long loads() {
    return engines.stream().mapToLong(JudgeReport.Engine::loads).sum();
  }

  /** Returns the evictions that engines made. */
  public long evictions() {
    return engines.stream().mapToLong(JudgeReport.Engine::evictions).sum();
  }

  /** Returns the tokens that engines made. */
  public long tokens() {
    return engines.stream().mapToLong(JudgeReport.Engine::tokens).sum();
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
    long steps = engines.stream().mapToLong(JudgeReport.Engine::steps).sum();
    return steps == 0 ? 0 : sum / steps;
  }
}

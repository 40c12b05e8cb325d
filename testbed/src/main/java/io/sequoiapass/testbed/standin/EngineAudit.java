package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.standin.EngineMessages.Completion;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what an engine ran, for which requests, and which guarantees were violated; survives the
 * simulated restarts of the engine.
 *
 * <p>A run is counted when its stream joins the batch. Confined to one event loop.
 */
final class EngineAudit {

  private static final int MAX_RUNS = 500_000;

  private final Map<RunKey, Run> runs = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long violationCount;
  private long accepted;
  private long tokens;
  private long steps;
  private long streamSteps;
  private long adapterSteps;
  private long loads;
  private long failedLoads;
  private long evictions;
  private long notLoaded;
  private long busy;
  private long staleRefused;
  private long staleObeyed;
  private long prefixHits;

  void accepted() {
    accepted++;
  }

  void started(Completion request) {
    RunKey key = new RunKey(request.requestId(), request.attempt());
    Run run = runs.get(key);
    if (run == null && runs.size() < MAX_RUNS) {
      run = new Run(request);
      runs.put(key, run);
    }
    if (run != null) {
      run.count++;
    }
  }

  void token(Completion request) {
    tokens++;
    Run run = runs.get(new RunKey(request.requestId(), request.attempt()));
    if (run != null) {
      run.tokens++;
    }
  }

  void step(int streams, int adapters) {
    steps++;
    streamSteps += streams;
    adapterSteps += adapters;
  }

  void loaded() {
    loads++;
  }

  void loadFailed() {
    failedLoads++;
  }

  void evicted(EngineSlot slot, int streams) {
    evictions++;
    if (streams > 0) {
      violationCount++;
      if (violations.size() < 100) {
        violations.add("evicted " + slot.adapter() + "@" + slot.version() + " serving " + streams);
      }
    }
  }

  void notLoaded() {
    notLoaded++;
  }

  void busy() {
    busy++;
  }

  void staleRefused() {
    staleRefused++;
  }

  void staleObeyed() {
    staleObeyed++;
  }

  void prefixHit() {
    prefixHits++;
  }

  Report report(String endpoint, String boot, boolean withRuns) {
    double busySteps = Math.max(1, steps);
    return new Report(
        endpoint,
        boot,
        violationCount,
        List.copyOf(violations),
        accepted,
        tokens,
        steps,
        streamSteps / busySteps,
        adapterSteps / busySteps,
        loads,
        failedLoads,
        evictions,
        notLoaded,
        busy,
        staleRefused,
        staleObeyed,
        prefixHits,
        runs.size() >= MAX_RUNS,
        withRuns ? List.copyOf(runs.values()) : List.of());
  }

  /** Audit report; {@code truncated} means that some runs may be missing from the list. */
  record Report(
      String endpoint,
      String boot,
      long violations,
      List<String> violationDetails,
      long accepted,
      long tokens,
      long steps,
      double streamsPerStep,
      double adaptersPerStep,
      long loads,
      long failedLoads,
      long evictions,
      long notLoaded,
      long busy,
      long staleRefused,
      long staleObeyed,
      long prefixHits,
      boolean truncated,
      List<Run> runs) {}

  /** Runs of one attempt of a request; Gson writes its fields. */
  static final class Run {

    private final String requestId;
    private final int attempt;
    private final String adapter;
    private final String version;
    private int count;
    private int tokens;

    Run(Completion request) {
      this.requestId = request.requestId();
      this.attempt = request.attempt();
      this.adapter = request.adapter();
      this.version = request.version();
    }

    @Override
    public String toString() {
      return requestId + "/" + attempt + " on " + adapter + "@" + version + " x" + count + ", "
          + tokens + " tokens";
    }
  }

  private record RunKey(String requestId, int attempt) {}
}

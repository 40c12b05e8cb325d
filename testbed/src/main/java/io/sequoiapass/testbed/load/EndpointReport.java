package io.sequoiapass.testbed.load;

import java.util.List;
import java.util.Map;

/** Reports of the stand-ins on what they ran, with the field names of their JSON form. */
final class EndpointReport {

  private EndpointReport() {}

  /** Counters and runs of an engine. */
  record Engine(
      String endpoint,
      long violations,
      List<String> violationDetails,
      long tokens,
      long steps,
      double streamsPerStep,
      double adaptersPerStep,
      long loads,
      long failedLoads,
      long evictions,
      boolean truncated,
      List<Run> runs) {}

  /** An attempt that an engine ran. */
  record Run(
      String requestId, int attempt, String adapter, String version, int count, int tokens) {}

  /** Run counts of a plain service. */
  record Service(String endpoint, long runs, Map<String, Integer> runsByRequest) {}
}

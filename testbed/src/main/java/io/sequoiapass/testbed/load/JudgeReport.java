package io.sequoiapass.testbed.load;

import java.util.List;
import java.util.Map;

/** Holds what the judges of the stand-ins tell, as JSON names it. */
final class JudgeReport {

  private JudgeReport() {}

  /** An engine's counts. */
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

  /** One attempt that an engine ran. */
  record Run(
      String requestId, int attempt, String adapter, String version, int count, int tokens) {}

  /** A plain service's counts. */
  record Service(String endpoint, long runs, Map<String, Integer> runsByRequest) {}
}

package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.ClockReading;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The load that a daemon has reported to one coordinator, to be subtracted from the total load of
 * all daemons.
 *
 * <pre>{@code
 * reported.add(sentAt, usages);
 * Map<EndpointId, Load> others = reported.others(totals, includedReport);
 * }</pre>
 *
 * <p>A total contains the daemon's report that the coordinator had received, not the newest one.
 * Not safe for use by several threads.
 */
final class ReportedLoads {

  /** Far more than are in transit at a time. */
  private static final int MAX_REPORTS = 16;

  private final Deque<Report> reports = new ArrayDeque<>();

  private record Report(ClockReading sentAt, Map<EndpointId, Load> loads) {}

  /** Records a report that is sent. */
  void add(ClockReading sentAt, List<EndpointUsage> usages) {
    Map<EndpointId, Load> loads = new HashMap<>();
    usages.forEach(usage -> loads.put(usage.endpoint(), usage.load()));
    reports.addLast(new Report(sentAt, loads));
    if (reports.size() > MAX_REPORTS) {
      reports.removeFirst();
    }
  }

  /**
   * Returns the other daemons' load.
   *
   * @param totals the load of all daemons
   * @param included which report of this daemon the totals contain; empty if none
   */
  Map<EndpointId, Load> others(Map<EndpointId, Load> totals, Optional<ClockReading> included) {
    Map<EndpointId, Load> others = new HashMap<>(totals);
    if (included.isEmpty()) {
      return others;
    }
    while (!reports.isEmpty() && !reports.getFirst().sentAt().equals(included.get())) {
      reports.removeFirst();
    }
    if (!reports.isEmpty()) {
      reports
          .getFirst()
          .loads()
          .forEach(
              (endpoint, own) -> others.computeIfPresent(endpoint, (id, all) -> all.minus(own)));
    }
    return others;
  }

  /** Forgets all reports, since the connection was lost. */
  void clear() {
    reports.clear();
  }
}

package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.WorkspaceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Derives the reports on one link from totals, so that each link gets every unit once.
 *
 * <p>A coordinator that is newly linked does not learn what was admitted before, so it allocates
 * less until it has counted a whole window. Not safe for use by several threads.
 */
public final class UsageReporter {

  private final Map<WorkspaceId, WorkspaceUsage> reported = new HashMap<>();

  /**
   * Starts a new link.
   *
   * @param totals the totals so far
   */
  public void reset(List<WorkspaceUsage> totals) {
    reported.clear();
    totals.forEach(total -> reported.put(total.workspace(), total));
  }

  /**
   * Returns what has changed since the last report.
   *
   * @param totals the totals now
   */
  public List<WorkspaceUsage> next(List<WorkspaceUsage> totals) {
    List<WorkspaceUsage> changes = new ArrayList<>();
    for (WorkspaceUsage total : totals) {
      WorkspaceUsage before = reported.put(total.workspace(), total);
      long asked = total.asked() - (before == null ? 0 : before.asked());
      long admitted = total.admitted() - (before == null ? 0 : before.admitted());
      if (asked != 0 || admitted != 0) {
        changes.add(new WorkspaceUsage(total.workspace(), asked, admitted));
      }
    }
    return changes;
  }
}

package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Exponentially decaying count of the slots that each workspace got from the queue; the workspace
 * with the fewest comes next.
 *
 * <p>Answers a load in which a few workspaces send several times their usual: they get the slots
 * that the others leave. Memory is bounded, since a count that has decayed is removed: there are at
 * most as many as slots assigned within some seconds. Not safe for use by several threads.
 */
final class SlotShares {

  /**
   * Time in which a slot's weight halves, in milliseconds: a slot is held for about this time, so a
   * workspace that sent nothing before has no lasting advantage.
   */
  private static final double HALF_LIFE_MS = 1_000;

  /** Counts below this are removed. */
  private static final double MIN_COUNT = 0.02;

  private final Map<Optional<WorkspaceId>, Double> counts = new HashMap<>();
  private long decayedAt;

  /** Records a slot for a queued load. */
  void assigned(Optional<WorkspaceId> workspace, long now) {
    decay(now);
    counts.merge(workspace, 1.0, Double::sum);
  }

  /** Returns the recent slots of a workspace. */
  double of(Optional<WorkspaceId> workspace, long now) {
    decay(now);
    return counts.getOrDefault(workspace, 0.0);
  }

  /** Returns the number of workspaces with recent slots. */
  int size() {
    return counts.size();
  }

  private void decay(long now) {
    if (now <= decayedAt) {
      return;
    }
    double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MS);
    counts.replaceAll((workspace, count) -> count * factor);
    counts.values().removeIf(count -> count < MIN_COUNT);
    decayedAt = now;
  }
}

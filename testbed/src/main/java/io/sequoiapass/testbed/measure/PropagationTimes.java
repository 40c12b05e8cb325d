package io.sequoiapass.testbed.measure;

import java.util.List;

/**
 * Holds how long changes took to be in force everywhere.
 *
 * @param millis one time a change and daemon, sorted
 * @param changes how many changes were made
 * @param lost pairs of change and daemon that were not in force within the limit
 */
record PropagationTimes(List<Long> millis, int changes, int lost) {

  PropagationTimes {
    millis = millis.stream().sorted().toList();
  }

  private long quantile(double share) {
    return millis.isEmpty() ? 0 : millis.get((int) Math.ceil(share * millis.size()) - 1);
  }

  @Override
  public String toString() {
    return changes == 0
        ? "0 | - | - | - | -"
        : "%d | %d | %d | %d | %d"
            .formatted(changes, quantile(0.5), quantile(0.99), quantile(1), lost);
  }
}

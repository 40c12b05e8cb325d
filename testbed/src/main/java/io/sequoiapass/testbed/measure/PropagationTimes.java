package io.sequoiapass.testbed.measure;

import java.util.List;

/**
 * Times that changes took to be applied by the daemons.
 *
 * @param millis a time for each pair of change and daemon, sorted, in milliseconds
 * @param changes number of changes
 * @param lost number of pairs for which the change was not applied within the limit
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

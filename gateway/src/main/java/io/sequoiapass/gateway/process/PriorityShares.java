package io.sequoiapass.gateway.process;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Divides the requests that a service can admit among priorities, the most urgent first.
 *
 * <p>Answers the load of a burst of a less urgent kind: without it, each kind would lose the same
 * part. Every priority keeps a small part of its requests, so that none starves. The methods are
 * pure.
 */
final class PriorityShares {

  /**
   * Least part of a priority's requests, relative to the part of all requests that is admitted. No
   * kind may be served less than a quarter as often as the mean; the rest allows for requests that
   * are admitted and fail.
   */
  static final double FLOOR = 0.35;

  private PriorityShares() {}

  /**
   * Returns the requests per second that each priority may send.
   *
   * @param asked requests per second by priority
   * @param admittedPerS requests per second that can be admitted
   */
  static SortedMap<Integer, Double> divide(SortedMap<Integer, Double> asked, double admittedPerS) {
    double total = asked.values().stream().mapToDouble(Double::doubleValue).sum();
    double floor = total > 0 ? FLOOR * Math.min(1, admittedPerS / total) : 0;
    double left = admittedPerS - floor * total;
    SortedMap<Integer, Double> admitted = new TreeMap<>();
    for (var entry : asked.entrySet()) {
      double least = entry.getValue() * floor;
      double more = Math.max(0, Math.min(entry.getValue() - least, left));
      left -= more;
      admitted.put(entry.getKey(), least + more);
    }
    return admitted;
  }
}

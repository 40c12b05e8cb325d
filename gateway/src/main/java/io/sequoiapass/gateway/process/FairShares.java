package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Divides the requests that one priority can send among its workspaces by weighted max-min
 * fairness.
 *
 * <p>Answers the load of a workspace that sends several times its usual: workspaces that ask for
 * less than an equal part get all of it, and the others share what is left. The methods are pure.
 */
final class FairShares {

  private FairShares() {}

  /**
   * What one workspace asks for.
   *
   * @param askedPerS requests per second
   * @param weight its part relative to the others'; positive
   */
  record Claim(double askedPerS, double weight) {

    private double perWeight() {
      return askedPerS / weight;
    }

    /**
     * Returns the part of its requests that the workspace may send, from 0 to 1.
     *
     * @param level requests per second for each unit of weight
     */
    double share(double level) {
      return askedPerS <= 0 ? 1 : Math.min(1, level * weight / askedPerS);
    }
  }

  /**
   * Returns the claims of flows of one priority. A flow without a workspace stands for several
   * workspaces, taken as large as the others.
   *
   * @param asked requests per second by flow
   */
  static SortedMap<Flow, Claim> claims(Map<Flow, Double> asked) {
    double usualPerS = medianPerS(asked);
    SortedMap<Flow, Claim> claims = new TreeMap<>();
    asked.forEach(
        (flow, perS) -> {
          boolean isOne = flow.workspace().isPresent() || usualPerS <= 0;
          claims.put(flow, new Claim(perS, isOne ? 1 : Math.max(1, perS / usualPerS)));
        });
    return claims;
  }

  /** Returns what the median workspace asks for, in requests per second; 0 if there is none. */
  static double medianPerS(Map<Flow, Double> asked) {
    double[] each =
        asked.entrySet().stream()
            .filter(entry -> entry.getKey().workspace().isPresent())
            .mapToDouble(Map.Entry::getValue)
            .sorted()
            .toArray();
    return each.length == 0 ? 0 : each[each.length / 2];
  }

  /**
   * Returns how much each unit of weight gets, in requests per second; infinite if all claims can
   * be met.
   *
   * @param claims the claims
   * @param availablePerS requests per second for all of them
   */
  static double level(List<Claim> claims, double availablePerS) {
    List<Claim> ascending =
        claims.stream().sorted(Comparator.comparingDouble(Claim::perWeight)).toList();
    double left = Math.max(0, availablePerS);
    double weights = claims.stream().mapToDouble(Claim::weight).sum();
    for (Claim claim : ascending) {
      if (claim.perWeight() * weights > left) {
        return left / weights;
      }
      left -= claim.askedPerS();
      weights -= claim.weight();
    }
    return Double.POSITIVE_INFINITY;
  }
}

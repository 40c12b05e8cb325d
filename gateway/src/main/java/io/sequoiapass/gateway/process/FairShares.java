package io.sequoiapass.gateway.process;

import java.util.Comparator;
import java.util.List;

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

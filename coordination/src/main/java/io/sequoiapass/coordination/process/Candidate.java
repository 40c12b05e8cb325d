package io.sequoiapass.coordination.process;

/**
 * Daemon process that endpoints may be assigned to.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param weight its share of endpoints, relative to other candidates
 * @param incarnation the incarnation of the daemon
 */
public record Candidate(double weight, long incarnation) {

  /** Checks the weight. */
  public Candidate {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be > 0: " + weight);
    }
  }
}

package io.sequoiapass.coordination.process;

/**
 * A daemon process that may be given endpoints.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param weight the share of endpoints it is to have, relative to the others'
 * @param incarnation the process's number under its daemon's name
 */
public record Candidate(double weight, long incarnation) {

  /** Checks the weight. */
  public Candidate {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be > 0: " + weight);
    }
  }
}

package io.sequoiapass.coordination.process;

/**
 * A daemon states which retries it keeps of those that a coordinator has leased to it, and how many
 * it needs. It has released the others when it sends the claim.
 *
 * @param number identifies the claim; a daemon never uses one twice
 * @param kept number of retries that it keeps
 * @param needed number of retries that it has borrowed or was denied
 */
public record RetryClaim(long number, int kept, int needed) {

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a number of retries is negative
   */
  public RetryClaim {
    if (kept < 0 || needed < 0) {
      throw new IllegalArgumentException("kept " + kept + ", needed " + needed);
    }
  }
}

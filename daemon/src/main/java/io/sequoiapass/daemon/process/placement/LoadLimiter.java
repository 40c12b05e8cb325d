package io.sequoiapass.daemon.process.placement;

/**
 * Limits this owner's loads from the weight store that all owners share.
 *
 * <p>It permits one load at a time, since a second one would only slow the first. The duration of
 * its loads gives an estimate of how many loads the store serves at the same time, without
 * messages.
 */
final class LoadLimiter {

  /** Weight of the newest load in the moving average. */
  private static final double NEWEST_LOAD_WEIGHT = 0.3;

  /** Older reports of other owners' loads are ignored. */
  private static final long MAX_REPORT_AGE_MS = 1_000;

  private final long loadAloneMs;
  private double contention = 1;
  private int inProgress;
  private int otherLoads;
  private long otherLoadsAtMs = -MAX_REPORT_AGE_MS - 1;

  LoadLimiter(long loadAloneMs) {
    this.loadAloneMs = loadAloneMs;
  }

  boolean isIdle() {
    return inProgress == 0;
  }

  /** Records the number of loads that the other owners had in progress at their last report. */
  void recordOtherLoads(long nowMs, int loads) {
    otherLoads = loads;
    otherLoadsAtMs = nowMs;
  }

  /**
   * Returns whether a load that has waited this long may start: immediately while the store looks
   * idle, otherwise after the delay for each load of the other owners. A lost or old report
   * therefore delays a load but never prevents it.
   */
  boolean mayStart(long nowMs, long waitedMs, long delayMs) {
    boolean fresh = nowMs - otherLoadsAtMs <= MAX_REPORT_AGE_MS;
    return !fresh || otherLoads == 0 || waitedMs >= delayMs * otherLoads;
  }

  int inProgress() {
    return inProgress;
  }

  void acquire() {
    inProgress++;
  }

  /** Releases the permit of a load that ended or timed out. */
  void release() {
    inProgress--;
  }

  /** Updates the contention estimate from a load that succeeded. */
  void recordDuration(long durationMs) {
    double sample = Math.max(1, durationMs / (double) loadAloneMs);
    contention += NEWEST_LOAD_WEIGHT * (sample - contention);
  }

  /**
   * Returns the estimated number of loads that the store serves at the same time, including this
   * owner's; at least 1.
   */
  double contention() {
    return contention;
  }
}

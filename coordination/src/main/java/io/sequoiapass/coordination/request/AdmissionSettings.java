package io.sequoiapass.coordination.request;

import java.util.function.IntUnaryOperator;

/**
 * Holds the limits of an {@link AdmissionQueue}; a preset supplies them.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param maxQueued requests that may wait in all; bounds memory and the longest wait
 * @param maxQueuedPerService requests of one service and priority that may wait
 * @param lowerPriorityEvery each so-manieth request is taken from the lowest priority that waits,
 *     so that batch work goes on under load; at least 2
 * @param minServiceMillis the least time that serving takes, while nothing longer was measured:
 *     with less left, a request is refused instead of being run in vain; an engine step
 * @param initialPerSecond the drain rate assumed before any is measured; too low a one keeps the
 *     queue short until it is, too high a one takes in what is refused at its last moment
 * @param maxComeBackMillis the longest come-back time told
 */
public record AdmissionSettings(
    int maxQueued,
    int maxQueuedPerService,
    int lowerPriorityEvery,
    long minServiceMillis,
    double initialPerSecond,
    long maxComeBackMillis) {

  /** Suits a daemon that serves some 65 requests a second, of which each priority has a part. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(512, 128, 16, 5, 20, 30_000);

  /** Checks the limits. */
  public AdmissionSettings {
    if (maxQueued < 1 || maxQueuedPerService < 1 || maxQueuedPerService > maxQueued) {
      throw new IllegalArgumentException(
          "queued %d, per service %d".formatted(maxQueued, maxQueuedPerService));
    }
    if (lowerPriorityEvery < 2 || minServiceMillis < 0 || !(initialPerSecond > 0)) {
      throw new IllegalArgumentException(
          "lower priority every %d, service %d ms, %s a second"
              .formatted(lowerPriorityEvery, minServiceMillis, initialPerSecond));
    }
    if (maxComeBackMillis < 1) {
      throw new IllegalArgumentException("come back %d ms".formatted(maxComeBackMillis));
    }
  }

  /**
   * Returns these limits with other bounds.
   *
   * @param queued requests that may wait in all
   * @param queuedPerService requests of one service and priority that may wait
   */
  public AdmissionSettings holding(int queued, int queuedPerService) {
    return new AdmissionSettings(
        queued,
        queuedPerService,
        lowerPriorityEvery,
        minServiceMillis,
        initialPerSecond,
        maxComeBackMillis);
  }

  /**
   * Returns these limits with bounds as a preset asks for them.
   *
   * @param bound maps the bound of ordinary days to the one wanted
   */
  public AdmissionSettings bounded(IntUnaryOperator bound) {
    int queued = bound.applyAsInt(maxQueued);
    return holding(queued, Math.min(queued, bound.applyAsInt(maxQueuedPerService)));
  }
}

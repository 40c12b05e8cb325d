package io.sequoiapass.coordination.request;

import java.util.function.IntUnaryOperator;

/**
 * Settings of an {@link AdmissionQueue}, supplied by a preset.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param maxQueued maximum number of waiting requests; bounds memory and the longest wait
 * @param maxQueuedPerService maximum number of waiting requests per service and priority
 * @param lowerPriorityEvery one in this many requests is taken from the lowest waiting priority, so
 *     that batch work progresses under load; at least 2
 * @param minServiceMillis minimum service time assumed while no longer one has been observed, in
 *     milliseconds; with less time left a request is refused, since it could not finish; one engine
 *     step
 * @param initialPerSecond drain rate assumed before any is observed, in requests per second; if too
 *     low, it keeps the queue short until then; if too high, it admits requests that are refused
 *     just before their deadline
 * @param maxComeBackMillis upper bound of the retry time sent to callers, in milliseconds
 */
public record AdmissionSettings(
    int maxQueued,
    int maxQueuedPerService,
    int lowerPriorityEvery,
    long minServiceMillis,
    double initialPerSecond,
    long maxComeBackMillis) {

  /** Defaults for a daemon that serves about 65 requests per second over all priorities. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(512, 128, 16, 5, 20, 30_000);

  /** Validates the settings. */
  public AdmissionSettings {
    if (maxQueued < 1 || maxQueuedPerService < 1 || maxQueuedPerService > maxQueued) {
      throw new IllegalArgumentException(
          "maxQueued %d or maxQueuedPerService %d out of range"
              .formatted(maxQueued, maxQueuedPerService));
    }
    if (lowerPriorityEvery < 2 || minServiceMillis < 0 || !(initialPerSecond > 0)) {
      throw new IllegalArgumentException(
          "lowerPriorityEvery %d, minimum service time %d ms or drain rate %s per second out of range"
              .formatted(lowerPriorityEvery, minServiceMillis, initialPerSecond));
    }
    if (maxComeBackMillis < 1) {
      throw new IllegalArgumentException(
          "maximum retry time must be positive: %d ms".formatted(maxComeBackMillis));
    }
  }

  /**
   * Returns a copy with other queue bounds.
   *
   * @param queued maximum number of waiting requests
   * @param queuedPerService maximum number of waiting requests per service and priority
   */
  public AdmissionSettings withBounds(int queued, int queuedPerService) {
    return new AdmissionSettings(
        queued,
        queuedPerService,
        lowerPriorityEvery,
        minServiceMillis,
        initialPerSecond,
        maxComeBackMillis);
  }

  /**
   * Returns a copy with queue bounds adjusted for a preset.
   *
   * @param bound maps a bound of the ordinary preset to the bound to use
   */
  public AdmissionSettings mapBounds(IntUnaryOperator bound) {
    int queued = bound.applyAsInt(maxQueued);
    return withBounds(queued, Math.min(queued, bound.applyAsInt(maxQueuedPerService)));
  }
}

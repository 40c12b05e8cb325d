package io.sequoiapass.daemon.process.placement;

/**
 * Decides when this owner may begin a load at the weight store that all owners share.
 *
 * <p>One load of its own at a time: a second would only slow the first. How long its loads take
 * tells how many others load at the same time, with no message.
 */
final class LoadTurns {

  /** Weight of the newest load in the estimate. */
  private static final double NEWEST = 0.3;

  private final long loadAloneMs;
  private double contention = 1;
  private int underWay;

  LoadTurns(long loadAloneMs) {
    this.loadAloneMs = loadAloneMs;
  }

  boolean free() {
    return underWay == 0;
  }

  void begin() {
    underWay++;
  }

  /** A load ended or was given up as hung. */
  void end() {
    underWay--;
  }

  /** Learns from a load that succeeded. */
  void took(long durationMs) {
    double sample = Math.max(1, durationMs / (double) loadAloneMs);
    contention += NEWEST * (sample - contention);
  }

  /** Returns about how many loads the store serves at once, this owner's included; at least 1. */
  double contention() {
    return contention;
  }
}

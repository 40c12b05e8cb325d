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

  /** An older report is not believed. */
  private static final long REPORT_AGE_MS = 1_000;

  private final long loadAloneMs;
  private double contention = 1;
  private int underWay;
  private int othersUnderWay;
  private long othersAtMs = -REPORT_AGE_MS - 1;

  LoadTurns(long loadAloneMs) {
    this.loadAloneMs = loadAloneMs;
  }

  boolean free() {
    return underWay == 0;
  }

  /** Learns how many loads the other owners had under way at last report. */
  void others(long nowMs, int loads) {
    othersUnderWay = loads;
    othersAtMs = nowMs;
  }

  /**
   * Tells whether a load that has waited so long may begin: at once when the store looks idle, else
   * after its patience, so that a lost or old report delays a load but never stops it.
   */
  boolean mayBegin(long nowMs, long waitedMs, long patienceMs) {
    boolean fresh = nowMs - othersAtMs <= REPORT_AGE_MS;
    return !fresh || othersUnderWay == 0 || waitedMs >= patienceMs * othersUnderWay;
  }

  int underWay() {
    return underWay;
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

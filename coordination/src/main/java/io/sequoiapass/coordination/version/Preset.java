package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.request.Priority;

/**
 * Operating mode selected by the operators for the entire system; exactly one is in force.
 *
 * <p>Each preset is a set of parameters that decisions read, so that no decision depends on a
 * specific preset.
 */
public enum Preset {
  /** Normal operation: limited prefetch, batch work, planned moves. */
  ORDINARY(1.0, 0.25, 1.0, true, true),
  /** Peak load: short queues, loads for waiting requests only, no batch work, no planned moves. */
  PEAK(0.5, 0.0, 2.0, false, false),
  /** Planned host maintenance: long queues bridge restarts, and endpoints may be moved. */
  MAINTENANCE(1.5, 0.1, 1.0, true, true);

  private final double queueBoundFactor;
  private final double prefetchShare;
  private final double stallFactor;
  private final boolean batchAdmitted;
  private final boolean plannedMoves;

  Preset(
      double queueBoundFactor,
      double prefetchShare,
      double stallFactor,
      boolean batchAdmitted,
      boolean plannedMoves) {
    this.queueBoundFactor = queueBoundFactor;
    this.prefetchShare = prefetchShare;
    this.stallFactor = stallFactor;
    this.batchAdmitted = batchAdmitted;
    this.plannedMoves = plannedMoves;
  }

  /**
   * Returns the bound of a queue under this preset.
   *
   * @param ordinaryBound the bound under ORDINARY
   */
  public int queueBound(int ordinaryBound) {
    return Math.max(1, (int) Math.round(ordinaryBound * queueBoundFactor));
  }

  /**
   * Returns the share of the weight store's loads that may be used to prefetch adapters without
   * waiting requests.
   */
  public double prefetchShare() {
    return prefetchShare;
  }

  /**
   * Returns the weight of load stalls relative to batch efficiency, as a multiple of the ORDINARY
   * weight. At peak load the weight store saturates first, and each avoided load shortens all other
   * waits.
   */
  public double stallFactor() {
    return stallFactor;
  }

  /** Returns whether new requests with the given priority are admitted. */
  public boolean admits(Priority priority) {
    return batchAdmitted || priority != Priority.BATCH;
  }

  /** Returns whether endpoints may be moved for balance, or daemons drained for planned work. */
  public boolean allowsPlannedMoves() {
    return plannedMoves;
  }
}

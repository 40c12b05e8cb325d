package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.request.Priority;

/**
 * The operators' choice of how the whole system weighs its work; exactly one is in force.
 *
 * <p>Each is a set of answers that decisions ask for, so that no decision names a preset.
 */
public enum Preset {
  /** Ordinary days: some prefetch, batch work, planned moves. */
  ORDINARY(1.0, 0.25, 1.0, true, true),
  /** Peaks: short queues, loads for waiting requests only, no batch work, nothing moved. */
  PEAK(0.5, 0.0, 2.0, false, false),
  /** Planned work on hosts: long queues bridge restarts, and endpoints move. */
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
   * Returns the bound of a queue.
   *
   * @param ordinaryBound its bound on ordinary days
   */
  public int queueBound(int ordinaryBound) {
    return Math.max(1, (int) Math.round(ordinaryBound * queueBoundFactor));
  }

  /** Returns the share of the weight store's loads that may go to adapters nobody waits for. */
  public double prefetchShare() {
    return prefetchShare;
  }

  /**
   * Returns by how much load stalls weigh more against batch efficiency than on ordinary days: at a
   * peak the weight store is the first to be full, and each load saved shortens all other waits.
   */
  public double stallFactor() {
    return stallFactor;
  }

  /** Returns whether new requests of a priority are admitted. */
  public boolean admits(Priority priority) {
    return batchAdmitted || priority != Priority.BATCH;
  }

  /** Returns whether endpoints may be moved for balance, or daemons drained for planned work. */
  public boolean allowsPlannedMoves() {
    return plannedMoves;
  }
}

package io.sequoiapass.testbed.policy;

import io.sequoiapass.daemon.process.placement.Urgency;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Results of one run. Excludes requests that arrive during the warm-up. */
final class Score {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final SimulationConfig config;
  private final Histogram stalls = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram deadlineStalls = new Histogram(SIGNIFICANT_DIGITS);
  private final StallBreakdown breakdown = new StallBreakdown();
  private double stallMs;
  private double busyMs;
  private long tokens;
  private long loads;
  private long evictions;
  private long answered;
  private long lost;

  Score(SimulationConfig config) {
    this.config = config;
  }

  void started(Workload.Arrival arrival, Engine.Slot slot, double queuedMs, double nowMs) {
    double readyMs = Math.max(queuedMs, Math.min(nowMs, slot.readyMs));
    record(arrival, readyMs - queuedMs);
    if (isMeasured(arrival) && readyMs > queuedMs) {
      breakdown.waited(slot, queuedMs, readyMs);
    }
  }

  /**
   * Records a request that was refused or had not started by its deadline. Its whole time from
   * arrival to deadline counts as stall, since a policy could otherwise improve its result by
   * refusing requests.
   */
  void lost(Workload.Arrival arrival) {
    record(arrival, arrival.deadlineMs() - arrival.atMs());
    if (isMeasured(arrival)) {
      breakdown.lost(arrival.deadlineMs() - arrival.atMs());
      lost++;
    }
  }

  void answered(Workload.Arrival arrival) {
    if (isMeasured(arrival)) {
      answered++;
    }
  }

  void load(double nowMs, LoadCause cause, boolean evicts) {
    if (nowMs >= config.warmUpMs() && nowMs < config.endMs()) {
      loads++;
      breakdown.load(cause);
      evictions += evicts ? 1 : 0;
    }
  }

  void engines(List<Engine> engines) {
    for (Engine engine : engines) {
      busyMs += engine.busyMs;
      tokens += engine.tokens;
    }
  }

  StallBreakdown breakdown() {
    return breakdown;
  }

  double stallSeconds() {
    return stallMs / 1000;
  }

  long stallMsAtPercentile(double percentile) {
    return stalls.getValueAtPercentile(percentile);
  }

  long deadlineStallMsAtPercentile(double percentile) {
    return deadlineStalls.getValueAtPercentile(percentile);
  }

  /**
   * Returns the tokens generated per millisecond of engine busy time, as a fraction of the rate of
   * a full batch that uses a single adapter.
   */
  double batchEfficiency() {
    double fullStepMs = Engine.STEP_MS + Engine.STREAM_MS * (config.maxStreams() - 1);
    return tokens / busyMs / (config.maxStreams() / fullStepMs);
  }

  long loads() {
    return loads;
  }

  long evictions() {
    return evictions;
  }

  long lost() {
    return lost;
  }

  /**
   * Returns the number of answered requests that arrived after the warm-up, per second of the
   * measured time.
   */
  double goodputPerSecond() {
    return answered * 1000.0 / (config.endMs() - config.warmUpMs());
  }

  private void record(Workload.Arrival arrival, double waitedMs) {
    if (!isMeasured(arrival)) {
      return;
    }
    stallMs += waitedMs;
    stalls.recordValue(Math.round(waitedMs));
    if (arrival.urgency() == Urgency.DEADLINE) {
      deadlineStalls.recordValue(Math.round(waitedMs));
    }
  }

  private boolean isMeasured(Workload.Arrival arrival) {
    return arrival.atMs() >= config.warmUpMs();
  }
}

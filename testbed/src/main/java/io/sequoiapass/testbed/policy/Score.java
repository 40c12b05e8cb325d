package io.sequoiapass.testbed.policy;

import io.sequoiapass.daemon.process.placement.Urgency;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What one run came to; only requests that arrive after the warm-up count. */
final class Score {

  private static final int DIGITS = 3;

  private final Shape shape;
  private final Histogram stalls = new Histogram(DIGITS);
  private final Histogram deadlineStalls = new Histogram(DIGITS);
  private final Breakdown breakdown = new Breakdown();
  private double stallMs;
  private double busyMs;
  private long tokens;
  private long loads;
  private long evictions;
  private long answered;
  private long lost;

  Score(Shape shape) {
    this.shape = shape;
  }

  void started(Workload.Arrival arrival, Engine.Slot slot, double queuedMs, double nowMs) {
    double readyMs = Math.max(queuedMs, Math.min(nowMs, slot.readyMs));
    record(arrival, readyMs - queuedMs);
    if (counts(arrival) && readyMs > queuedMs) {
      breakdown.waited(slot, queuedMs, readyMs);
    }
  }

  /** Counts the whole time up to the deadline, so that refusing can't improve a policy's stalls. */
  void lost(Workload.Arrival arrival) {
    record(arrival, arrival.deadlineMs() - arrival.atMs());
    if (counts(arrival)) {
      breakdown.lost(arrival.deadlineMs() - arrival.atMs());
      lost++;
    }
  }

  void answered(Workload.Arrival arrival) {
    if (counts(arrival)) {
      answered++;
    }
  }

  void load(double nowMs, LoadCause cause, boolean evicts) {
    if (nowMs >= shape.warmUpMs() && nowMs < shape.endMs()) {
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

  Breakdown breakdown() {
    return breakdown;
  }

  double stallSeconds() {
    return stallMs / 1000;
  }

  long stallAt(double percentile) {
    return stalls.getValueAtPercentile(percentile);
  }

  long deadlineStallAt(double percentile) {
    return deadlineStalls.getValueAtPercentile(percentile);
  }

  /** Tokens for the engines' busy time, as a share of a full batch of one adapter. */
  double batchEfficiency() {
    double fullStepMs = Engine.STEP_MS + Engine.STREAM_MS * (shape.maxStreams() - 1);
    return tokens / busyMs / (shape.maxStreams() / fullStepMs);
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

  double goodput() {
    return answered * 1000.0 / (shape.endMs() - shape.warmUpMs());
  }

  private void record(Workload.Arrival arrival, double waitedMs) {
    if (!counts(arrival)) {
      return;
    }
    stallMs += waitedMs;
    stalls.recordValue(Math.round(waitedMs));
    if (arrival.urgency() == Urgency.DEADLINE) {
      deadlineStalls.recordValue(Math.round(waitedMs));
    }
  }

  private boolean counts(Workload.Arrival arrival) {
    return arrival.atMs() >= shape.warmUpMs();
  }
}

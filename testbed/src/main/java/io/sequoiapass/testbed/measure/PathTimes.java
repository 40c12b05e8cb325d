package io.sequoiapass.testbed.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Collects the latencies of one path. Safe for use by several threads. */
final class PathTimes {

  private static final long MAX_MICROS = 60_000_000;

  private static final int MAX_REASONS = 3;

  private final String name;
  private final List<String> reasons = new ArrayList<>();
  private final Histogram histogram = new Histogram(MAX_MICROS, 3);
  private long failed;
  private long ended;

  PathTimes(String name) {
    this.name = name;
  }

  synchronized void answered(long micros, boolean measured) {
    ended++;
    if (measured) {
      histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
    }
  }

  synchronized void failed(String why) {
    ended++;
    failed++;
    if (reasons.size() < MAX_REASONS) {
      reasons.add(name + ": " + why);
    }
  }

  synchronized List<String> reasons() {
    return List.copyOf(reasons);
  }

  synchronized long endedCount() {
    return ended;
  }

  synchronized long failedCount() {
    return failed;
  }

  synchronized double millisAt(double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  synchronized String row() {
    return "| %-32s | %8d | %6d | %7.2f | %7.2f | %7.2f |"
        .formatted(
            name, histogram.getTotalCount(), failed, millisAt(50), millisAt(95), millisAt(99));
  }
}

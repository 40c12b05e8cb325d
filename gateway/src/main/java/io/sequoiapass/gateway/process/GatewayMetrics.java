package io.sequoiapass.gateway.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Counters and histograms of the daemon, written in the text format of metrics collectors.
 *
 * <p>Safe for use by several threads.
 */
public final class GatewayMetrics {

  /** Window of a histogram, in seconds: two of the usual scrape intervals. */
  private static final long WINDOW_S = 30;

  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry registry = new MetricRegistry();
  private final List<Supplier<Map<String, Long>>> gauges = new CopyOnWriteArrayList<>();

  /**
   * Adds gauges.
   *
   * @param values returns the current values by name; called by any thread
   */
  void addGauges(Supplier<Map<String, Long>> values) {
    gauges.add(values);
  }

  /**
   * Counts one event.
   *
   * @param name the counter's name, with labels in braces where it has any
   */
  public void count(String name) {
    registry.counter(name).inc();
  }

  /**
   * Records a duration.
   *
   * @param name the histogram's name
   * @param ms the time in milliseconds
   */
  public void time(String name, long ms) {
    registry
        .histogram(
            name,
            () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_S, TimeUnit.SECONDS)))
        .update(ms);
  }

  /** Returns all metrics as text. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
      text.append(counter.getKey()).append(' ').append(counter.getValue().getCount()).append('\n');
    }
    gauges.forEach(
        values ->
            values
                .get()
                .forEach(
                    (name, value) -> text.append(name).append(' ').append(value).append('\n')));
    registry.getHistograms().forEach((name, histogram) -> append(text, name, histogram));
    Runtime runtime = Runtime.getRuntime();
    text.append("sequoiapass_heap_bytes ")
        .append(runtime.totalMemory() - runtime.freeMemory())
        .append('\n');
    return text.toString();
  }

  private static void append(StringBuilder text, String name, Histogram histogram) {
    Snapshot snapshot = histogram.getSnapshot();
    for (double quantile : QUANTILES) {
      text.append(
          String.format(
              Locale.ROOT,
              "%s{quantile=\"%s\"} %.1f%n",
              name,
              quantile,
              snapshot.getValue(quantile)));
    }
    text.append(name).append("_count ").append(histogram.getCount()).append('\n');
  }
}

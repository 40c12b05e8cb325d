package io.sequoiapass.testbed.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Results of the requests of one load.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class LoadReport {

  private static final long LONGEST_MICROS = 600_000_000;

  private final List<RequestResult> results;
  private final long durationMicros;
  private final long missing;

  LoadReport(List<RequestResult> results, long durationMicros) {
    this(results, durationMicros, 0);
  }

  private LoadReport(List<RequestResult> results, long durationMicros, long missing) {
    this.results = List.copyOf(results);
    this.durationMicros = durationMicros;
    this.missing = missing;
  }

  LoadReport withMissing(long count) {
    return new LoadReport(results, durationMicros, count);
  }

  LoadReport map(Function<RequestResult, RequestResult> change) {
    return new LoadReport(results.stream().map(change).toList(), durationMicros, missing);
  }

  /** Returns all results. */
  public List<RequestResult> results() {
    return results;
  }

  /**
   * Returns the number of requests that ended with a verdict.
   *
   * @param verdict the verdict
   */
  public long count(Verdict verdict) {
    return results.stream().filter(result -> result.verdict() == verdict).count();
  }

  /** Returns the number of requests without a final answer. */
  public long unanswered() {
    return count(Verdict.UNANSWERED) + missing;
  }

  /** Returns the number of requests that were sent. */
  public long sent() {
    return results.size() + missing;
  }

  /**
   * Returns a histogram of the times to the first token, in microseconds.
   *
   * @param which selects the requests
   */
  public Histogram firstTokens(Predicate<RequestResult> which) {
    Histogram histogram = new Histogram(LONGEST_MICROS, 3);
    results.stream()
        .filter(which)
        .filter(result -> result.firstTokenMicros() >= 0)
        .forEach(
            result -> histogram.recordValue(Math.min(LONGEST_MICROS, result.firstTokenMicros())));
    return histogram;
  }

  /**
   * Returns the reasons of incomplete answers with their counts, the most frequent first.
   *
   * @param limit maximum number of reasons
   */
  public List<String> reasons(int limit) {
    Map<String, Integer> counts = new TreeMap<>();
    results.stream()
        .filter(result -> result.verdict() != Verdict.COMPLETE)
        .forEach(result -> counts.merge(reason(result), 1, Integer::sum));
    if (missing > 0) {
      counts.put("no result when the wait ended", (int) missing);
    }
    return counts.entrySet().stream()
        .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
        .limit(limit)
        .map(entry -> entry.getValue() + " x " + entry.getKey())
        .toList();
  }

  private static String reason(RequestResult result) {
    // Request ids are masked so that equal reasons are counted together.
    return result.verdict() + ": " + result.detail().replace(result.request().id(), "ID");
  }
}

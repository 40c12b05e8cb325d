package io.sequoiapass.testbed.load;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Tells how the requests of one load ended.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class LoadReport {

  private static final long LONGEST_MICROS = 600_000_000;

  private final List<RequestResult> results;
  private final long tookMicros;
  private final long missing;

  LoadReport(List<RequestResult> results, long tookMicros) {
    this(results, tookMicros, 0);
  }

  private LoadReport(List<RequestResult> results, long tookMicros, long missing) {
    this.results = List.copyOf(results);
    this.tookMicros = tookMicros;
    this.missing = missing;
  }

  LoadReport incomplete(long notEnded) {
    return new LoadReport(results, tookMicros, notEnded);
  }

  LoadReport with(Function<RequestResult, RequestResult> change) {
    return new LoadReport(results.stream().map(change).toList(), tookMicros, missing);
  }

  /** Returns all results. */
  public List<RequestResult> results() {
    return results;
  }

  /**
   * Returns how many requests ended so.
   *
   * @param verdict how
   */
  public long count(Verdict verdict) {
    return results.stream().filter(result -> result.verdict() == verdict).count();
  }

  /** Returns how many requests got no final answer. */
  public long unanswered() {
    return count(Verdict.UNANSWERED) + missing;
  }

  /** Returns how many requests were sent. */
  public long sent() {
    return results.size() + missing;
  }

  /**
   * Returns the times to the first token, in microseconds.
   *
   * @param which the requests meant
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
   * Returns why requests were not whole, the most frequent reasons first.
   *
   * @param limit how many at most
   */
  public List<String> reasons(int limit) {
    Map<String, Integer> counts = new TreeMap<>();
    results.stream()
        .filter(result -> result.verdict() != Verdict.WHOLE)
        .forEach(result -> counts.merge(reason(result), 1, Integer::sum));
    return counts.entrySet().stream()
        .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
        .limit(limit)
        .map(entry -> entry.getValue() + " x " + entry.getKey())
        .toList();
  }

  private static String reason(RequestResult result) {
    // Without the request's own name, so that equal reasons fall together.
    return result.verdict() + ": " + result.detail().replace(result.request().id(), "ID");
  }
}

package io.sequoiapass.gateway.process;

/**
 * Learns how many times as long as the engines of its service one engine takes.
 *
 * <p>Engines of one service differ in speed, and one may turn slow for seconds; taken for equal, a
 * slow one gets its full share of requests, and they are late. What was learned fades while the
 * engine gets nothing, so that one that has recovered is found again. Not safe for use by several
 * threads.
 */
final class Slowness {

  /** Weight of one answer's beginning. */
  private static final double WEIGHT = 0.12;

  /** Bounds of one sample: a beginning beyond them tells of something else. */
  private static final double LEAST = 0.25;

  private static final double MOST = 8;

  /** Time in which what was learned fades to a third without answers, in milliseconds. */
  private static final double FADES_MS = 5_000;

  private double logarithm;
  private long learnedAt;

  /**
   * Takes in the beginning of an answer.
   *
   * @param actualMs the time until it began, in milliseconds
   * @param expectedMs the time that an engine of usual speed would have taken, in milliseconds
   * @param now the time, in milliseconds
   */
  void sample(double actualMs, double expectedMs, long now) {
    double ratio = Math.max(LEAST, Math.min(MOST, actualMs / expectedMs));
    double known = faded(now);
    logarithm = known + WEIGHT * (Math.log(ratio) - known);
    learnedAt = now;
  }

  /** Returns how many times as long as usual the engine takes. */
  double value(long now) {
    return Math.exp(faded(now));
  }

  private double faded(long now) {
    return logarithm * Math.exp((learnedAt - now) / FADES_MS);
  }
}

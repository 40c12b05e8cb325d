package io.sequoiapass.coordination.request;

/**
 * Settings of a request's attempts.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param maxAttempts maximum number of attempts, including the first; a request that failed this
 *     often is more likely to be the cause than the endpoints
 * @param maxBufferedTokens maximum number of tokens buffered behind a missing one; bounds the
 *     memory of one request
 * @param gapMillis how long to wait for a missing token, in milliseconds: longer than links
 *     reorder, shorter than a caller notices
 * @param stallMillis how long a started stream may be silent, in milliseconds: many engine steps,
 *     so that only a frozen owner or engine times out
 * @param maxMoves maximum number of attempts returned because the endpoint's owner changed, in
 *     addition to {@code maxAttempts}; a rolling restart of a data centre moves an endpoint a few
 *     times, and more moves indicate a fault
 * @param movePauseMillis delay before the next attempt after such a move, in milliseconds, while
 *     the new owner's table is being propagated
 * @param ownerRetryIntervalMillis interval between attempts to find an owner after the last one was
 *     lost, in milliseconds; a takeover takes seconds, and a caller does not notice a tenth of a
 *     second
 */
public record AttemptSettings(
    int maxAttempts,
    int maxBufferedTokens,
    long gapMillis,
    long stallMillis,
    int maxMoves,
    long movePauseMillis,
    long ownerRetryIntervalMillis) {

  /** Defaults for engine steps of about 5 ms and link latencies of a few milliseconds. */
  public static final AttemptSettings DEFAULT =
      new AttemptSettings(4, 256, 250, 2_000, 16, 20, 100);

  /** Validates the settings. */
  public AttemptSettings {
    if (maxAttempts < 1 || maxBufferedTokens < 0 || gapMillis <= 0 || stallMillis <= gapMillis) {
      throw new IllegalArgumentException(
          "maxAttempts %d, maxBufferedTokens %d, gap %d ms or stall %d ms out of range"
              .formatted(maxAttempts, maxBufferedTokens, gapMillis, stallMillis));
    }
    if (maxMoves < 0 || movePauseMillis <= 0 || ownerRetryIntervalMillis <= 0) {
      throw new IllegalArgumentException(
          "maxMoves %d, move pause %d ms or owner retry interval %d ms out of range"
              .formatted(maxMoves, movePauseMillis, ownerRetryIntervalMillis));
    }
  }
}

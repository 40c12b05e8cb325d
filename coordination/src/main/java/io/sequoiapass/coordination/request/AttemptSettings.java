package io.sequoiapass.coordination.request;

/**
 * Holds the limits of a request's attempts.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param maxAttempts attempts of one request, the first included; a request that failed this often
 *     is likelier to be the cause than the endpoints
 * @param maxHeldTokens tokens kept behind a missing one; bounds the memory of one request
 * @param gapMillis how long a missing token may stay away: more than links reorder by, less than a
 *     caller notices
 * @param stallMillis how long a stream that has begun may be silent: many engine steps, so that
 *     only a frozen owner or engine is given up on
 * @param maxMoves attempts that may be given back because the endpoint's owner changed, beside
 *     {@code maxAttempts}: a rolling restart of a data centre moves an endpoint a few times, and
 *     more than that is a fault
 * @param movePauseMillis how long to wait after such a move: the new owner's table is on its way
 * @param ownerPauseMillis how often an owner is looked for after the last one was lost: takeovers
 *     take seconds, and a caller notices no tenth of one
 */
public record AttemptSettings(
    int maxAttempts,
    int maxHeldTokens,
    long gapMillis,
    long stallMillis,
    int maxMoves,
    long movePauseMillis,
    long ownerPauseMillis) {

  /** Suits engine steps of some 5 ms and links of a few milliseconds. */
  public static final AttemptSettings DEFAULT =
      new AttemptSettings(4, 256, 250, 2_000, 16, 20, 100);

  /** Checks the limits. */
  public AttemptSettings {
    if (maxAttempts < 1 || maxHeldTokens < 0 || gapMillis <= 0 || stallMillis <= gapMillis) {
      throw new IllegalArgumentException(
          "attempts %d, held %d, gap %d ms, stall %d ms"
              .formatted(maxAttempts, maxHeldTokens, gapMillis, stallMillis));
    }
    if (maxMoves < 0 || movePauseMillis <= 0 || ownerPauseMillis <= 0) {
      throw new IllegalArgumentException(
          "moves %d, pause %d ms, pause without owner %d ms"
              .formatted(maxMoves, movePauseMillis, ownerPauseMillis));
    }
  }
}

package io.sequoiapass.coordination.request;

/**
 * Holds the times and limits of a {@link Ledger}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param retentionMillis how long a key is remembered: longer than any caller goes on trying
 * @param maxDeadlineMillis the longest deadline of a request; a record has to outlive its request
 * @param settleMillis how long a new second may take to get its copies; members that leave within
 *     this time of each other may have taken both holders of a key along
 * @param copyTimeoutMillis how long a reservation waits for its copy
 * @param holderTimeoutMillis how long the entry that holds a key may take to say how it stands,
 *     before another caller of the key is told that it is in progress
 * @param askAgainMillis how long an answer of another member is awaited before it is asked again
 * @param maxRecords records kept at most; beyond it reservations are refused
 */
public record LedgerSettings(
    long retentionMillis,
    long maxDeadlineMillis,
    long settleMillis,
    long copyTimeoutMillis,
    long holderTimeoutMillis,
    long askAgainMillis,
    int maxRecords) {

  /** Keeps a key for ten minutes. */
  public static final LedgerSettings DEFAULT =
      new LedgerSettings(600_000, 120_000, 10_000, 500, 2_000, 500, 200_000);

  /** Checks the times and limits. */
  public LedgerSettings {
    if (retentionMillis <= maxDeadlineMillis + settleMillis) {
      throw new IllegalArgumentException(
          "retention %d ms must exceed the longest deadline %d ms and settling %d ms"
              .formatted(retentionMillis, maxDeadlineMillis, settleMillis));
    }
    if (copyTimeoutMillis <= 0
        || holderTimeoutMillis <= 0
        || askAgainMillis <= 0
        || maxRecords < 1) {
      throw new IllegalArgumentException(
          "copy timeout %d ms, holder timeout %d ms, ask again %d ms, records %d"
              .formatted(copyTimeoutMillis, holderTimeoutMillis, askAgainMillis, maxRecords));
    }
  }
}

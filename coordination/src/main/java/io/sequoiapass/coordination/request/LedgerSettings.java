package io.sequoiapass.coordination.request;

/**
 * Settings of a {@link Ledger}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param retentionMillis how long the record of a key is kept, in milliseconds: longer than any
 *     caller retries
 * @param maxDeadlineMillis the longest deadline of a request, in milliseconds; a record must
 *     outlive its request
 * @param settleMillis time allowed for a new secondary replica to receive its copies, in
 *     milliseconds; members that leave within this time of each other may include both replicas of
 *     a key
 * @param copyTimeoutMillis timeout of a reservation's copy, in milliseconds
 * @param holderTimeoutMillis timeout of a query to the holder of a key, in milliseconds; after it
 *     another caller of the key is told that the key is in progress
 * @param resendIntervalMillis interval after which a request for records is resent to members that
 *     have not replied, in milliseconds
 * @param maxRecords maximum number of records; beyond it reservations are refused
 */
public record LedgerSettings(
    long retentionMillis,
    long maxDeadlineMillis,
    long settleMillis,
    long copyTimeoutMillis,
    long holderTimeoutMillis,
    long resendIntervalMillis,
    int maxRecords) {

  /** Defaults with a retention of ten minutes. */
  public static final LedgerSettings DEFAULT =
      new LedgerSettings(600_000, 120_000, 10_000, 500, 2_000, 500, 200_000);

  /** Validates the settings. */
  public LedgerSettings {
    if (retentionMillis <= maxDeadlineMillis + settleMillis) {
      throw new IllegalArgumentException(
          "retention %d ms must exceed the longest deadline %d ms plus settling time %d ms"
              .formatted(retentionMillis, maxDeadlineMillis, settleMillis));
    }
    if (copyTimeoutMillis <= 0
        || holderTimeoutMillis <= 0
        || resendIntervalMillis <= 0
        || maxRecords < 1) {
      throw new IllegalArgumentException(
          "copy timeout %d ms, holder timeout %d ms, resend interval %d ms or maxRecords %d not positive"
              .formatted(copyTimeoutMillis, holderTimeoutMillis, resendIntervalMillis, maxRecords));
    }
  }
}

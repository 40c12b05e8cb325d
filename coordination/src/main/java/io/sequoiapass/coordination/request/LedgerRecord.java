package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import java.util.Objects;

/**
 * Is what a home knows of one idempotency key, as it is copied between daemons.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param key the key
 * @param digest a digest of the request's body, so that a key with another body is told apart
 * @param holder who reserved it
 * @param state what is known
 * @param sequence grows with each change; a higher one is newer on whichever daemon it is
 * @param expiresInMillis how long it has to be kept yet; a span, since clocks are not compared
 */
public record LedgerRecord(
    IdempotencyKey key,
    String digest,
    Holder holder,
    LedgerState state,
    long sequence,
    long expiresInMillis) {

  /**
   * Names one reservation. The entry makes the operation up for each request: a caller's own
   * request id would make two requests with the same id one holder, and both would start.
   *
   * @param entry the entry's life
   * @param operation unique among the operations of that life
   */
  public record Holder(LedgerMember entry, OperationId operation) {

    /** Checks the parts. */
    public Holder {
      Objects.requireNonNull(entry, "entry");
      Objects.requireNonNull(operation, "operation");
    }
  }

  /** Checks the parts. */
  public LedgerRecord {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(digest, "digest");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(state, "state");
  }

  LedgerRecord with(LedgerState newState, long newSequence, long newExpiresInMillis) {
    return new LedgerRecord(key, digest, holder, newState, newSequence, newExpiresInMillis);
  }
}

package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import java.util.Objects;

/**
 * Replicated record of one idempotency key.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param key the key
 * @param digest digest of the request body, which detects reuse of the key with another body
 * @param holder the reservation that holds the key
 * @param state the state of the key's work
 * @param sequence increases with each change; the record with the higher one is newer, on any
 *     daemon
 * @param expiresInMillis remaining retention in milliseconds; relative, since the daemons' clocks
 *     are not comparable
 */
public record LedgerRecord(
    IdempotencyKey key,
    String digest,
    Holder holder,
    LedgerState state,
    long sequence,
    long expiresInMillis) {

  /**
   * Identifies a reservation. The entry daemon generates the operation id for each request: with
   * the caller's request id, two requests with the same id would be one holder, and both would
   * start.
   *
   * @param entry the incarnation of the entry daemon
   * @param operation unique among the operations of that incarnation
   */
  public record Holder(LedgerMember entry, OperationId operation) {

    /** Validates the components. */
    public Holder {
      Objects.requireNonNull(entry, "entry");
      Objects.requireNonNull(operation, "operation");
    }
  }

  /** Validates the components. */
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

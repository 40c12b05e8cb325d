package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import io.sequoiapass.coordination.request.OutcomeClass;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * State of one request's exchange with the idempotency ledger, at its entry daemon; guarded by the
 * node's lock.
 */
final class KeyedStart {

  /** Resend interval while the primary replica changes; one answers within a few milliseconds. */
  private static final long RETRY_INTERVAL_MS = 100;

  /** Limits the backoff between sends of an unconfirmed outcome. */
  private static final long MAX_RETRY_INTERVAL_MS = 6_400;

  /** A change of primary replica takes one read of the membership; callers wait no longer. */
  private static final long START_TIMEOUT_MS = 4_000;

  /** After this the record stays open until the primary replica detects that this entry failed. */
  private static final long FINISH_TIMEOUT_MS = 60_000;

  private final IdempotencyKey key;
  private final String digest;
  private final Holder holder;
  private Step step;
  private OutcomeClass outcome;
  private Consumer<Optional<ErrorKind>> listener;
  private long retryIntervalMs = RETRY_INTERVAL_MS;
  private long nextSendAt;
  private long expiresAt;

  KeyedStart(IdempotencyKey key, String digest, Holder holder) {
    this.key = key;
    this.digest = digest;
    this.holder = holder;
  }

  IdempotencyKey key() {
    return key;
  }

  Holder holder() {
    return holder;
  }

  void begin(Consumer<Optional<ErrorKind>> answer, long nowMs, long deadlineMs) {
    listener = answer;
    step = Step.RESERVE;
    retryIntervalMs = RETRY_INTERVAL_MS;
    nextSendAt = nowMs;
    expiresAt = Math.min(deadlineMs, nowMs + START_TIMEOUT_MS);
  }

  void finish(OutcomeClass result, long nowMs) {
    listener = null;
    step = Step.FINISH;
    outcome = result;
    retryIntervalMs = RETRY_INTERVAL_MS;
    nextSendAt = nowMs;
    expiresAt = nowMs + FINISH_TIMEOUT_MS;
  }

  /** Makes the pending message due immediately, for a new primary replica. */
  void primaryChanged(long nowMs) {
    nextSendAt = Math.min(nextSendAt, nowMs);
  }

  /** Returns whether an answer of the primary replica is pending. */
  boolean isPending() {
    return step != null;
  }

  boolean isDue(long nowMs) {
    return isPending() && nowMs >= nextSendAt;
  }

  boolean isTimedOut(long nowMs) {
    return isPending() && nowMs >= expiresAt;
  }

  boolean isFinishing() {
    return step == Step.FINISH;
  }

  LedgerMessage message(long nowMs) {
    nextSendAt = nowMs + retryIntervalMs;
    if (isFinishing()) {
      // No request waits for this; a replica that needs the outcome queries it. Without backoff, a
      // minute without a primary replica would leave enough unconfirmed outcomes for thousands of
      // messages per second.
      retryIntervalMs = Math.min(2 * retryIntervalMs, MAX_RETRY_INTERVAL_MS);
    }
    return switch (step) {
      case RESERVE -> new LedgerMessage.Reserve(key, digest, holder);
      case MARK_START -> new LedgerMessage.MarkStart(key, holder);
      case FINISH -> new LedgerMessage.Finish(key, holder, outcome);
    };
  }

  /** Returns the reply to a replica's query for the state of this request. */
  LedgerMessage status(LedgerMessage.QueryHolder query) {
    return isFinishing()
        ? new LedgerMessage.Finish(key, holder, outcome)
        : new LedgerMessage.StillOpen(key, holder, query.requester());
  }

  /** Moves on after a confirmed step; returns true if no step is left. */
  boolean confirm(Step answered, long nowMs) {
    if (answered != step) {
      return false;
    }
    nextSendAt = nowMs;
    step = step == Step.RESERVE ? Step.MARK_START : null;
    return step == null;
  }

  /** Restarts after a replica could not decide; the next message is sent when it is due. */
  void restart() {
    if (step == Step.MARK_START) {
      // The replica that held the reservation may have failed.
      step = Step.RESERVE;
    }
  }

  Optional<Consumer<Optional<ErrorKind>>> takeListener() {
    Optional<Consumer<Optional<ErrorKind>>> taken = Optional.ofNullable(listener);
    listener = null;
    return taken;
  }

  void cancel() {
    step = null;
  }
}

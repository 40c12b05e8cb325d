package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import io.sequoiapass.coordination.request.OutcomeClass;
import java.util.Optional;
import java.util.function.Consumer;

/** Is one request's way through the ledger, seen from its entry; guarded by the node's lock. */
final class KeyedStart {

  /** A home that moves is asked again this often: it answers within a few milliseconds. */
  private static final long ASK_AGAIN_MS = 100;

  /** A change of home takes a read of the membership; a caller should not wait longer for it. */
  private static final long START_LIMIT_MS = 4_000;

  /** After this the record stays open until the home learns that this entry is gone. */
  private static final long FINISH_LIMIT_MS = 60_000;

  private final IdempotencyKey key;
  private final String digest;
  private final Holder holder;
  private Step step;
  private OutcomeClass outcome;
  private Consumer<Optional<ErrorKind>> listener;
  private long sendAt;
  private long until;

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
    sendAt = nowMs;
    until = Math.min(deadlineMs, nowMs + START_LIMIT_MS);
  }

  void finish(OutcomeClass how, long nowMs) {
    listener = null;
    step = Step.FINISH;
    outcome = how;
    sendAt = nowMs;
    until = nowMs + FINISH_LIMIT_MS;
  }

  /** Returns whether it waits for an answer of the home. */
  boolean isWaiting() {
    return step != null;
  }

  boolean isDue(long nowMs) {
    return isWaiting() && nowMs >= sendAt;
  }

  boolean isTooLate(long nowMs) {
    return isWaiting() && nowMs >= until;
  }

  boolean isFinishing() {
    return step == Step.FINISH;
  }

  LedgerMessage message(long nowMs) {
    sendAt = nowMs + ASK_AGAIN_MS;
    return switch (step) {
      case RESERVE -> new LedgerMessage.Reserve(key, digest, holder);
      case MARK_START -> new LedgerMessage.MarkStart(key, holder);
      case FINISH -> new LedgerMessage.Finish(key, holder, outcome);
    };
  }

  /** Takes that the step was done; returns true if the whole is. */
  boolean done(Step answered, long nowMs) {
    if (answered != step) {
      return false;
    }
    sendAt = nowMs;
    step = step == Step.RESERVE ? Step.MARK_START : null;
    return step == null;
  }

  /** Begins anew with a home that did not know, after a pause. */
  void again() {
    if (step == Step.MARK_START) {
      // The home that kept the reservation may be gone with it.
      step = Step.RESERVE;
    }
  }

  Optional<Consumer<Optional<ErrorKind>>> takeListener() {
    Optional<Consumer<Optional<ErrorKind>>> taken = Optional.ofNullable(listener);
    listener = null;
    return taken;
  }

  void rest() {
    step = null;
  }
}

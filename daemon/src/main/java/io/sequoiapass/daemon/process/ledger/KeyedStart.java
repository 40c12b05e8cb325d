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

  /** The longest pause before an outcome that was not confirmed is sent again. */
  private static final long MAX_PAUSE_MS = 6_400;

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
  private long pauseMs = ASK_AGAIN_MS;
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
    pauseMs = ASK_AGAIN_MS;
    sendAt = nowMs;
    until = Math.min(deadlineMs, nowMs + START_LIMIT_MS);
  }

  void finish(OutcomeClass how, long nowMs) {
    listener = null;
    step = Step.FINISH;
    outcome = how;
    pauseMs = ASK_AGAIN_MS;
    sendAt = nowMs;
    until = nowMs + FINISH_LIMIT_MS;
  }

  /** Lets it be sent to a new home at once. */
  void homeMoved(long nowMs) {
    sendAt = Math.min(sendAt, nowMs);
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
    sendAt = nowMs + pauseMs;
    if (isFinishing()) {
      // Nobody waits for it: a home that needs it asks. At the full pace the unheard outcomes of a
      // minute without a home would be thousands of messages a second.
      pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
    }
    return switch (step) {
      case RESERVE -> new LedgerMessage.Reserve(key, digest, holder);
      case MARK_START -> new LedgerMessage.MarkStart(key, holder);
      case FINISH -> new LedgerMessage.Finish(key, holder, outcome);
    };
  }

  /** Returns what a home is told that asks how this stands. */
  LedgerMessage standing(LedgerMessage.AskHolder ask) {
    return isFinishing()
        ? new LedgerMessage.Finish(key, holder, outcome)
        : new LedgerMessage.StillOpen(key, holder, ask.asker());
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

package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Is a message about idempotency keys between two daemons.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface LedgerMessage {

  /**
   * Entry to home: hold this key for me.
   *
   * @param key the key
   * @param digest the digest of the body
   * @param holder the reservation
   */
  record Reserve(IdempotencyKey key, String digest, Holder holder) implements LedgerMessage {}

  /**
   * Entry to home: I am about to grant the start.
   *
   * @param key the key
   * @param holder the reservation
   */
  record MarkStart(IdempotencyKey key, Holder holder) implements LedgerMessage {}

  /**
   * Entry to home: this is how it ended. Sent again until it is answered.
   *
   * @param key the key
   * @param holder the reservation
   * @param outcome how it ended; {@code NOT_RUN} only with a {@link NotRunProof} in hand
   */
  record Finish(IdempotencyKey key, Holder holder, OutcomeClass outcome) implements LedgerMessage {}

  /** Tells what an answer is to. */
  enum Step {
    /** To {@link Reserve}. */
    RESERVE,
    /** To {@link MarkStart}. */
    MARK_START,
    /** To {@link Finish}. */
    FINISH
  }

  /**
   * Home to entry: done, or why not.
   *
   * @param key the key
   * @param holder the reservation
   * @param step what was asked
   * @param refusal why not, or empty
   */
  record Answer(IdempotencyKey key, Holder holder, Step step, Optional<ErrorKind> refusal)
      implements LedgerMessage {}

  /**
   * Home to the entry that holds a key: how does it stand? Sent only when another asks for the key,
   * so that requests with keys of their own cost no message more.
   *
   * @param key the key
   * @param holder the reservation that has the key
   * @param asker the reservation that wants it
   */
  record AskHolder(IdempotencyKey key, Holder holder, Holder asker) implements LedgerMessage {}

  /**
   * Entry to home, to {@link AskHolder}: it has not ended. One that has ended is answered by {@link
   * Finish}.
   *
   * @param key the key
   * @param holder the reservation that has the key
   * @param asker the reservation that was asked for; the answer for an earlier one may be out of
   *     date
   */
  record StillOpen(IdempotencyKey key, Holder holder, Holder asker) implements LedgerMessage {}

  /**
   * Home to second: keep this copy.
   *
   * @param record the record
   */
  record Copy(LedgerRecord record) implements LedgerMessage {}

  /**
   * Second to home: the copy is kept.
   *
   * @param by the life that keeps it
   * @param key the key
   * @param sequence the sequence of the copy
   */
  record Copied(LedgerMember by, IdempotencyKey key, long sequence) implements LedgerMessage {}

  /**
   * New member to every other: I am a member; send me what you know of the keys that are mine, and
   * decide about them no longer.
   *
   * @param by the asking life
   * @param view the version of the membership that it acts on
   */
  record AskRecords(LedgerMember by, long view) implements LedgerMessage {}

  /**
   * Answer to {@link AskRecords}.
   *
   * @param by the answering life
   * @param view the version that was asked with
   * @param records the records whose home or second the asker is
   * @param lost the losses that may have taken records along
   * @param seasoned whether the answering life knows of the time before the asker's start
   */
  record Records(
      LedgerMember by, long view, List<LedgerRecord> records, List<Loss> lost, boolean seasoned)
      implements LedgerMessage {}

  /**
   * Tells that several members left so close together that both holders of a key may be gone.
   *
   * @param before the members before
   * @param left those that left
   * @param remainingMillis how long keys of theirs have to be refused yet
   */
  record Loss(Set<LedgerMember> before, Set<LedgerMember> left, long remainingMillis) {}
}

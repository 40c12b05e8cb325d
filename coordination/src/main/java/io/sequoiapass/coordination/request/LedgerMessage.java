package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A message about idempotency keys between two daemons.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface LedgerMessage {

  /**
   * Entry daemon to primary replica: reserves a key.
   *
   * @param key the key
   * @param digest digest of the request body
   * @param holder the reservation
   */
  record Reserve(IdempotencyKey key, String digest, Holder holder) implements LedgerMessage {}

  /**
   * Entry daemon to primary replica: requests permission to grant the start.
   *
   * @param key the key
   * @param holder the reservation
   */
  record MarkStart(IdempotencyKey key, Holder holder) implements LedgerMessage {}

  /**
   * Entry daemon to primary replica: reports the outcome. Resent until it is answered.
   *
   * @param key the key
   * @param holder the reservation
   * @param outcome the outcome; {@code NOT_RUN} only with a {@link NotRunProof}
   */
  record Finish(IdempotencyKey key, Holder holder, OutcomeClass outcome) implements LedgerMessage {}

  /** The message that an {@link Answer} replies to. */
  enum Step {
    /** {@link Reserve}. */
    RESERVE,
    /** {@link MarkStart}. */
    MARK_START,
    /** {@link Finish}. */
    FINISH
  }

  /**
   * Primary replica to entry daemon: confirms or refuses a step.
   *
   * @param key the key
   * @param holder the reservation
   * @param step the step that is answered
   * @param refusal the reason of a refusal, or empty
   */
  record Answer(IdempotencyKey key, Holder holder, Step step, Optional<ErrorKind> refusal)
      implements LedgerMessage {}

  /**
   * Primary replica to the entry daemon that holds a key: queries whether the holder has ended.
   * Sent only when another request uses the key, so that requests with distinct keys cost no extra
   * message.
   *
   * @param key the key
   * @param holder the reservation that holds the key
   * @param requester the reservation that requests the key
   */
  record QueryHolder(IdempotencyKey key, Holder holder, Holder requester)
      implements LedgerMessage {}

  /**
   * Entry daemon to primary replica, in reply to {@link QueryHolder}: the holder has not ended. A
   * holder that has ended is reported with {@link Finish}.
   *
   * @param key the key
   * @param holder the reservation that holds the key
   * @param requester the reservation named in the query; a reply for an earlier reservation may be
   *     out of date
   */
  record StillOpen(IdempotencyKey key, Holder holder, Holder requester) implements LedgerMessage {}

  /**
   * Primary to secondary replica: store this copy.
   *
   * @param record the record
   */
  record Copy(LedgerRecord record) implements LedgerMessage {}

  /**
   * Secondary to primary replica: the copy is stored.
   *
   * @param by the incarnation that stored it
   * @param key the key
   * @param sequence sequence number of the copy
   */
  record Copied(LedgerMember by, IdempotencyKey key, long sequence) implements LedgerMessage {}

  /**
   * New member to every other member: requests the records of the keys that it is a replica of, and
   * that the receiver stop deciding about them.
   *
   * @param by the requesting incarnation
   * @param view the version of the membership that it acts on
   */
  record RequestRecords(LedgerMember by, long view) implements LedgerMessage {}

  /**
   * Reply to {@link RequestRecords}.
   *
   * @param by the replying incarnation
   * @param view the membership version of the request
   * @param records the records that the requester is a replica of
   * @param lost the replica losses that may have removed records
   * @param retentionElapsed whether the replying incarnation can have missed no record from before
   *     the requester's start
   */
  record Records(
      LedgerMember by,
      long view,
      List<LedgerRecord> records,
      List<Loss> lost,
      boolean retentionElapsed)
      implements LedgerMessage {}

  /**
   * A replica loss: several members left so close together that both replicas of a key may have
   * failed.
   *
   * @param before the members before the loss
   * @param left the members that left
   * @param remainingMillis how much longer to refuse the affected keys, in milliseconds
   */
  record Loss(Set<LedgerMember> before, Set<LedgerMember> left, long remainingMillis) {}
}

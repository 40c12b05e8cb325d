package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A ledger record with the local replication state of its daemon; not safe for use by several
 * threads.
 */
final class LedgerEntry {

  private LedgerRecord record;
  private boolean primarySinceCreation;
  private long expiresAt;
  private LedgerMember copyHolder;
  private Map<Step, DaemonId> pendingReplies = new EnumMap<>(Step.class);
  private long pendingSince;
  private final Map<Holder, Requester> requesters = new LinkedHashMap<>();

  private record Requester(DaemonId entry, long since) {}

  private LedgerEntry(LedgerRecord record, boolean primarySinceCreation, long nowMillis) {
    this.record = record;
    this.primarySinceCreation = primarySinceCreation;
    this.expiresAt = nowMillis + record.expiresInMillis();
  }

  /** Returns the entry of a record created by this daemon as its primary replica. */
  static LedgerEntry createdHere(LedgerRecord record, long nowMillis) {
    return new LedgerEntry(record, true, nowMillis);
  }

  /** Returns the entry of a record created by another daemon. */
  static LedgerEntry copyOf(LedgerRecord record, long nowMillis) {
    return new LedgerEntry(record, false, nowMillis);
  }

  LedgerRecord record() {
    return record;
  }

  LedgerRecord recordAt(long nowMillis) {
    return record.with(record.state(), record.sequence(), Math.max(0, expiresAt - nowMillis));
  }

  boolean isPrimarySinceCreation() {
    return primarySinceCreation;
  }

  /**
   * Records that another daemon decides about the key and may grant a start without notifying this
   * one.
   */
  void markNotPrimary() {
    primarySinceCreation = false;
  }

  boolean isExpired(long nowMillis) {
    return nowMillis >= expiresAt;
  }

  void change(LedgerState state, long sequence, long newExpiresAt) {
    record = record.with(state, sequence, record.expiresInMillis());
    expiresAt = newExpiresAt;
    copyHolder = null;
  }

  void markStarted() {
    record = record.with(LedgerState.STARTED, record.sequence(), record.expiresInMillis());
  }

  void markCopiedTo(LedgerMember member) {
    copyHolder = member;
  }

  boolean isCopiedTo(Optional<LedgerMember> member) {
    return member.isPresent() && member.get().equals(copyHolder);
  }

  void addPendingReply(DaemonId entry, Step step, long nowMillis) {
    if (pendingReplies.isEmpty()) {
      pendingSince = nowMillis;
    }
    pendingReplies.put(step, entry);
  }

  /**
   * Returns how long replies have been waiting for the copy confirmation, or a negative number if
   * none are pending.
   */
  long pendingMillis(long nowMillis) {
    return pendingReplies.isEmpty() ? -1 : nowMillis - pendingSince;
  }

  boolean hasPendingReply(Step step) {
    return pendingReplies.containsKey(step);
  }

  /** Adds a reservation that waits for the reply of the holder. */
  void addRequester(Holder requester, DaemonId entry, long nowMillis) {
    requesters.putIfAbsent(requester, new Requester(entry, nowMillis));
  }

  /** Removes a waiting reservation and returns its daemon; empty if it is not waiting. */
  Optional<DaemonId> removeRequester(Holder requester) {
    return Optional.ofNullable(requesters.remove(requester)).map(Requester::entry);
  }

  /** Removes and returns the reservations that have been waiting since before a time. */
  Map<Holder, DaemonId> removeRequesters(long beforeMillis) {
    Map<Holder, DaemonId> removed = new LinkedHashMap<>();
    requesters.forEach(
        (requester, waiter) -> {
          if (waiter.since < beforeMillis) {
            removed.put(requester, waiter.entry);
          }
        });
    requesters.keySet().removeAll(removed.keySet());
    return removed;
  }

  Map<Step, DaemonId> removePendingReplies() {
    Map<Step, DaemonId> removed = pendingReplies;
    pendingReplies = new EnumMap<>(Step.class);
    return removed;
  }
}

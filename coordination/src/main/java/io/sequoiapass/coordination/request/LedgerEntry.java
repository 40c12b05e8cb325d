package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Holds one record with what its daemon knows about it; not safe for use by several threads. */
final class LedgerEntry {

  private LedgerRecord record;
  private boolean own;
  private long expiresAt;
  private LedgerMember copyAt;
  private Map<Step, DaemonId> waiting = new EnumMap<>(Step.class);
  private long waitingSince;
  private final Map<Holder, Asker> askers = new LinkedHashMap<>();

  private record Asker(DaemonId entry, long since) {}

  private LedgerEntry(LedgerRecord record, boolean own, long nowMillis) {
    this.record = record;
    this.own = own;
    this.expiresAt = nowMillis + record.expiresInMillis();
  }

  /** Returns the entry of a record that this daemon makes as its home. */
  static LedgerEntry own(LedgerRecord record, long nowMillis) {
    return new LedgerEntry(record, true, nowMillis);
  }

  /** Returns the entry of a record that another daemon made. */
  static LedgerEntry copyOf(LedgerRecord record, long nowMillis) {
    return new LedgerEntry(record, false, nowMillis);
  }

  LedgerRecord record() {
    return record;
  }

  LedgerRecord recordAt(long nowMillis) {
    return record.with(record.state(), record.sequence(), Math.max(0, expiresAt - nowMillis));
  }

  boolean isOwn() {
    return own;
  }

  /** Notes that another daemon decides, and may let a start go without this one hearing of it. */
  void disown() {
    own = false;
  }

  boolean isExpired(long nowMillis) {
    return nowMillis >= expiresAt;
  }

  void change(LedgerState state, long sequence, long newExpiresAt) {
    record = record.with(state, sequence, record.expiresInMillis());
    expiresAt = newExpiresAt;
    copyAt = null;
  }

  void started() {
    record = record.with(LedgerState.STARTED, record.sequence(), record.expiresInMillis());
  }

  void copiedTo(LedgerMember member) {
    copyAt = member;
  }

  boolean isCopiedTo(Optional<LedgerMember> member) {
    return member.isPresent() && member.get().equals(copyAt);
  }

  void await(DaemonId entry, Step step, long nowMillis) {
    if (waiting.isEmpty()) {
      waitingSince = nowMillis;
    }
    waiting.put(step, entry);
  }

  /** Returns how long answers have waited for the copy, or a negative number if none wait. */
  long waitedSince(long nowMillis) {
    return waiting.isEmpty() ? -1 : nowMillis - waitingSince;
  }

  boolean waits(Step step) {
    return waiting.containsKey(step);
  }

  /** Notes that another reservation waits for the holder's word. */
  void awaitHolder(Holder asker, DaemonId entry, long nowMillis) {
    askers.putIfAbsent(asker, new Asker(entry, nowMillis));
  }

  /** Ends the wait of one reservation; empty if it does not wait. */
  Optional<DaemonId> takeAsker(Holder asker) {
    return Optional.ofNullable(askers.remove(asker)).map(Asker::entry);
  }

  /** Ends the wait of all reservations that began to wait before a time. */
  Map<Holder, DaemonId> takeAskers(long beforeMillis) {
    Map<Holder, DaemonId> taken = new LinkedHashMap<>();
    askers.forEach(
        (asker, waiting) -> {
          if (waiting.since < beforeMillis) {
            taken.put(asker, waiting.entry);
          }
        });
    askers.keySet().removeAll(taken.keySet());
    return taken;
  }

  Map<Step, DaemonId> takeWaiting() {
    Map<Step, DaemonId> taken = waiting;
    waiting = new EnumMap<>(Step.class);
    return taken;
  }
}

package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.LedgerMessage.Answer;
import io.sequoiapass.coordination.request.LedgerMessage.Copied;
import io.sequoiapass.coordination.request.LedgerMessage.Copy;
import io.sequoiapass.coordination.request.LedgerMessage.Finish;
import io.sequoiapass.coordination.request.LedgerMessage.MarkStart;
import io.sequoiapass.coordination.request.LedgerMessage.QueryHolder;
import io.sequoiapass.coordination.request.LedgerMessage.Records;
import io.sequoiapass.coordination.request.LedgerMessage.RequestRecords;
import io.sequoiapass.coordination.request.LedgerMessage.Reserve;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerMessage.StillOpen;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Idempotency ledger: keeps, as primary or secondary replica, the records that let the work of an
 * idempotency key start at most once.
 *
 * <pre>{@code
 * Ledger ledger = new Ledger(self, LedgerSettings.DEFAULT, Ranking.rendezvous(), now);
 * ledger.authorityUntil(leaseEnd);
 * send(ledger.membersChanged(view, now));
 * send(ledger.receive(entry, new LedgerMessage.Reserve(key, digest, holder), now));
 * }</pre>
 *
 * <p>A reservation is confirmed after the secondary replica has stored its copy. A start is granted
 * only to the holder of the reservation. A replica that may lack records refuses. Guarded by the
 * lock of one shard; not safe for use by several threads.
 */
public final class Ledger {

  private final LedgerMember self;
  private final LedgerSettings settings;
  private final Ranking ranking;
  private final LedgerSyncState syncState;
  private final Map<IdempotencyKey, LedgerEntry> entries = new LinkedHashMap<>();
  private final Map<LedgerMember, Long> yieldedTo = new TreeMap<>();
  private final Map<LedgerMember, Long> lostEntryDaemons = new TreeMap<>();
  private List<LedgerSend> sends = new ArrayList<>();
  private LedgerView view = new LedgerView(-1, Set.of());
  private LedgerReplicas replicas;
  private long authorityUntil = Long.MIN_VALUE;
  private long lastSequence;
  private long resendAt;

  /**
   * Creates the empty ledger of one incarnation of a daemon.
   *
   * @param self this incarnation
   * @param settings times and limits
   * @param ranking selects the replicas; the same on all daemons
   * @param nowMillis the time
   */
  public Ledger(LedgerMember self, LedgerSettings settings, Ranking ranking, long nowMillis) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.ranking = Objects.requireNonNull(ranking, "ranking");
    this.syncState = new LedgerSyncState(self, settings, ranking, nowMillis);
    this.replicas = new LedgerReplicas(ranking, Set.of());
  }

  /**
   * Sets until when this incarnation may decide: the end of its lease minus a margin, measured from
   * before the renewal was sent. Other members take over after the lease has expired, so a primary
   * replica that is partitioned or frozen must have stopped deciding by then.
   */
  public void authorityUntil(long untilMillis) {
    authorityUntil = untilMillis;
  }

  /**
   * Declares that no ledger existed before this incarnation, so that it need not wait for the
   * retention period. Only the daemon that creates the membership on the platform can establish
   * this.
   */
  public void assumeNoEarlierRecords() {
    syncState.assumeNoEarlierRecords();
  }

  /** Applies a membership; ignored if it is older than the current one. */
  public List<LedgerSend> membersChanged(LedgerView newView, long nowMillis) {
    if (newView.version() <= view.version()) {
      return List.of();
    }
    Set<LedgerMember> departed = new TreeSet<>(view.members());
    departed.removeAll(newView.members());
    view = newView;
    yieldedTo.values().removeIf(version -> version <= newView.version());
    departed.forEach(
        member -> lostEntryDaemons.put(member, nowMillis + settings.retentionMillis()));
    updateReplicas(nowMillis);
    resolveLost(nowMillis);
    return drainSends();
  }

  /**
   * Records the failure of an entry daemon's incarnation that was not a member, such as one of
   * another data centre.
   */
  public List<LedgerSend> entryDaemonLost(LedgerMember entry, long nowMillis) {
    lostEntryDaemons.put(entry, nowMillis + settings.retentionMillis());
    resolveLost(nowMillis);
    return drainSends();
  }

  /** Handles a message from another daemon or from this one. */
  public List<LedgerSend> receive(DaemonId from, LedgerMessage message, long nowMillis) {
    if (message instanceof Reserve reserve) {
      reserve(from, reserve, nowMillis);
    } else if (message instanceof MarkStart start) {
      markStart(from, start, nowMillis);
    } else if (message instanceof Finish finish) {
      finish(from, finish, nowMillis);
    } else if (message instanceof StillOpen open) {
      stillOpen(open, nowMillis);
    } else if (message instanceof Copy copy) {
      storeCopy(from, copy.record(), nowMillis);
    } else if (message instanceof Copied copied) {
      copied(copied, nowMillis);
    } else if (message instanceof RequestRecords request) {
      sendRecords(from, request, nowMillis);
    } else if (message instanceof Records records) {
      receiveRecords(records, nowMillis);
    }
    return drainSends();
  }

  /**
   * Handles expiry and timeouts: missing copy confirmations, holders and members that did not
   * reply.
   */
  public List<LedgerSend> tick(long nowMillis) {
    entries.values().removeIf(entry -> entry.isExpired(nowMillis));
    lostEntryDaemons.values().removeIf(until -> nowMillis >= until);
    for (LedgerEntry entry : entries.values()) {
      if (entry.pendingMillis(nowMillis) >= settings.copyTimeoutMillis()) {
        abandonPending(entry, nowMillis);
      }
      replyToRequesters(entry, nowMillis - settings.holderTimeoutMillis(), nowMillis);
    }
    if (nowMillis >= resendAt) {
      requestRecords(nowMillis);
    }
    if (!lostEntryDaemons.isEmpty()) {
      resolveLost(nowMillis);
    }
    return drainSends();
  }

  /** Returns whether this incarnation may decide about the key. */
  public boolean decides(IdempotencyKey key, long nowMillis) {
    return isPrimary(key) && nowMillis < authorityUntil && syncState.hasAllRecords(key, nowMillis);
  }

  /** Returns the number of records. */
  public int size() {
    return entries.size();
  }

  // Primary replica.

  private void reserve(DaemonId from, Reserve reserve, long nowMillis) {
    IdempotencyKey key = reserve.key();
    LedgerEntry entry = entries.get(key);
    if (entry != null && entry.isExpired(nowMillis)) {
      entries.remove(key);
      entry = null;
    }
    Optional<ErrorKind> refusal = refusal(entry, reserve, nowMillis);
    if (refusal.filter(kind -> kind == ErrorKind.KEY_IN_PROGRESS).isPresent()) {
      queryHolder(entry, from, reserve.holder(), nowMillis);
      return;
    }
    if (refusal.isPresent()) {
      answer(from, key, reserve.holder(), Step.RESERVE, refusal);
      return;
    }
    if (entry == null || entry.record().state() == LedgerState.RELEASED) {
      LedgerRecord record =
          new LedgerRecord(
              key,
              reserve.digest(),
              reserve.holder(),
              LedgerState.RESERVED,
              ++lastSequence,
              settings.retentionMillis());
      entry = LedgerEntry.createdHere(record, nowMillis);
      entries.put(key, entry);
    }
    copyOrAnswer(entry, from, Step.RESERVE, nowMillis);
  }

  private Optional<ErrorKind> refusal(LedgerEntry entry, Reserve reserve, long nowMillis) {
    // A record of a lost entry daemon is closed as possibly run as soon as it is started.
    if (!decides(reserve.key(), nowMillis)
        || lostEntryDaemons.containsKey(reserve.holder().entry())
        || replicas.secondary(reserve.key()).isEmpty()
        || (entry == null && entries.size() >= settings.maxRecords())) {
      return Optional.of(ErrorKind.LEDGER_UNAVAILABLE);
    }
    if (entry == null || entry.record().state() == LedgerState.RELEASED) {
      return Optional.empty();
    }
    LedgerRecord record = entry.record();
    if (!record.digest().equals(reserve.digest())) {
      return Optional.of(ErrorKind.KEY_REUSED);
    }
    return record.holder().equals(reserve.holder()) && record.state().isOpen()
        ? Optional.empty()
        : Optional.of(record.state().refusal());
  }

  /**
   * Queries the holder before its key is reported as in progress. The holder's caller may already
   * have its answer while the outcome message is in transit, or the message was lost with the
   * previous primary replica; the same caller would then be told that its finished work is in
   * progress. The holder records the outcome before it answers its caller, so its reply is never
   * older than what the caller has received.
   */
  private void queryHolder(LedgerEntry entry, DaemonId from, Holder requester, long nowMillis) {
    entry.addRequester(requester, from, nowMillis);
    LedgerRecord record = entry.record();
    sends.add(
        new LedgerSend(
            record.holder().entry().daemon(),
            new QueryHolder(record.key(), record.holder(), requester)));
  }

  private void stillOpen(StillOpen open, long nowMillis) {
    LedgerEntry entry = entries.get(open.key());
    if (entry != null && entry.record().holder().equals(open.holder())) {
      entry
          .removeRequester(open.requester())
          .ifPresent(daemon -> replyToRequester(entry, open.requester(), daemon, nowMillis));
    }
  }

  private void replyToRequester(
      LedgerEntry entry, Holder requester, DaemonId daemon, long nowMillis) {
    LedgerRecord record = entry.record();
    boolean hasState = record.state() != LedgerState.RELEASED && decides(record.key(), nowMillis);
    ErrorKind refusal = hasState ? record.state().refusal() : ErrorKind.LEDGER_UNAVAILABLE;
    answer(daemon, record.key(), requester, Step.RESERVE, Optional.of(refusal));
  }

  private void replyToRequesters(LedgerEntry entry, long beforeMillis, long nowMillis) {
    entry
        .removeRequesters(beforeMillis)
        .forEach((requester, daemon) -> replyToRequester(entry, requester, daemon, nowMillis));
  }

  private void markStart(DaemonId from, MarkStart start, long nowMillis) {
    LedgerEntry entry = entries.get(start.key());
    boolean isHolder =
        entry != null
            && !entry.isExpired(nowMillis)
            && entry.record().holder().equals(start.holder())
            && !lostEntryDaemons.containsKey(start.holder().entry())
            && entry.record().state().isOpen();
    if (!isHolder
        || !decides(start.key(), nowMillis)
        || replicas.secondary(start.key()).isEmpty()) {
      // The key may have been reassigned while the holder was partitioned; granting the start from
      // an old record would run the work a second time.
      Optional<ErrorKind> refusal = Optional.of(ErrorKind.LEDGER_UNAVAILABLE);
      answer(from, start.key(), start.holder(), Step.MARK_START, refusal);
      return;
    }
    copyOrAnswer(entry, from, Step.MARK_START, nowMillis);
  }

  private void finish(DaemonId from, Finish finish, long nowMillis) {
    LedgerEntry entry = entries.get(finish.key());
    if (!decides(finish.key(), nowMillis)) {
      Optional<ErrorKind> refusal = Optional.of(ErrorKind.LEDGER_UNAVAILABLE);
      answer(from, finish.key(), finish.holder(), Step.FINISH, refusal);
      return;
    }
    if (entry == null || !entry.record().holder().equals(finish.holder())) {
      answer(from, finish.key(), finish.holder(), Step.FINISH, Optional.empty());
      return;
    }
    LedgerState ended = LedgerState.ofOutcome(finish.outcome());
    if (entry.record().state().isReplacedBy(ended)) {
      change(entry, ended, nowMillis);
    }
    // The holder drops the outcome once it is confirmed. If this primary replica failed before the
    // secondary had the outcome, the key would stay open until it expires.
    copyOrAnswer(entry, from, Step.FINISH, nowMillis);
  }

  /**
   * Answers immediately if the current secondary replica has the copy, else after it confirms the
   * copy.
   */
  private void copyOrAnswer(LedgerEntry entry, DaemonId from, Step step, long nowMillis) {
    if (entry.isCopiedTo(replicas.secondary(entry.record().key()))) {
      grant(entry, from, step);
    } else {
      entry.addPendingReply(from, step, nowMillis);
      sendCopy(entry, nowMillis);
    }
  }

  private void grant(LedgerEntry entry, DaemonId entryDaemon, Step step) {
    if (step == Step.MARK_START && entry.record().state() == LedgerState.RESERVED) {
      // The copy may stay RESERVED: a secondary that takes over treats RESERVED as possibly
      // started.
      entry.markStarted();
    }
    LedgerRecord record = entry.record();
    answer(entryDaemon, record.key(), record.holder(), step, Optional.empty());
  }

  private void copied(Copied copied, long nowMillis) {
    LedgerEntry entry = entries.get(copied.key());
    if (entry == null || entry.record().sequence() != copied.sequence()) {
      return;
    }
    entry.markCopiedTo(copied.by());
    if (entry.isCopiedTo(replicas.secondary(copied.key())) && decides(copied.key(), nowMillis)) {
      entry.removePendingReplies().forEach((step, daemon) -> grant(entry, daemon, step));
    }
  }

  private void change(LedgerEntry entry, LedgerState state, long nowMillis) {
    refusePendingReplies(entry);
    entry.change(state, ++lastSequence, nowMillis + settings.retentionMillis());
    replyToRequesters(entry, Long.MAX_VALUE, nowMillis);
    sendCopy(entry, nowMillis);
  }

  private void abandonPending(LedgerEntry entry, long nowMillis) {
    boolean reservationPending = entry.hasPendingReply(Step.RESERVE);
    refusePendingReplies(entry);
    if (reservationPending
        && isProvedNotStarted(entry)
        && decides(entry.record().key(), nowMillis)) {
      change(entry, LedgerState.RELEASED, nowMillis);
    }
  }

  private void refusePendingReplies(LedgerEntry entry) {
    LedgerRecord record = entry.record();
    Optional<ErrorKind> refusal = Optional.of(ErrorKind.LEDGER_UNAVAILABLE);
    entry
        .removePendingReplies()
        .forEach((step, daemon) -> answer(daemon, record.key(), record.holder(), step, refusal));
  }

  /**
   * Closes the open records of failed entry daemons for the keys that this incarnation decides
   * about.
   */
  private void resolveLost(long nowMillis) {
    for (LedgerEntry entry : entries.values()) {
      LedgerRecord record = entry.record();
      if (!lostEntryDaemons.containsKey(record.holder().entry())
          || !record.state().isOpen()
          || !decides(record.key(), nowMillis)) {
        continue;
      }
      change(
          entry, isProvedNotStarted(entry) ? LedgerState.RELEASED : LedgerState.UNKNOWN, nowMillis);
    }
  }

  /**
   * Returns whether no start was granted. Only the primary replica that created the record can rule
   * it out, as long as it decides; a copy cannot.
   */
  private static boolean isProvedNotStarted(LedgerEntry entry) {
    return entry.isPrimarySinceCreation() && entry.record().state() == LedgerState.RESERVED;
  }

  // Replication and membership changes.

  private void storeCopy(DaemonId from, LedgerRecord record, long nowMillis) {
    LedgerEntry stored = entries.get(record.key());
    if (stored != null && isPrimary(record.key())) {
      // Sent by an earlier primary replica, whose sequence numbers say nothing about the starts
      // that this one has granted since.
      return;
    }
    if (stored != null && stored.record().sequence() > record.sequence()) {
      // A delayed copy must not overwrite a later one, nor be confirmed as stored.
      sends.add(new LedgerSend(from, new Copy(stored.recordAt(nowMillis))));
      return;
    }
    store(record, nowMillis);
    sends.add(new LedgerSend(from, new Copied(self, record.key(), record.sequence())));
  }

  private void store(LedgerRecord record, long nowMillis) {
    lastSequence = Math.max(lastSequence, record.sequence());
    LedgerEntry stored = entries.get(record.key());
    if (stored == null || stored.record().sequence() < record.sequence()) {
      if (stored != null) {
        refusePendingReplies(stored);
        replyToRequesters(stored, Long.MAX_VALUE, nowMillis);
      }
      entries.put(record.key(), LedgerEntry.copyOf(record, nowMillis));
    }
  }

  private void sendCopy(LedgerEntry entry, long nowMillis) {
    IdempotencyKey key = entry.record().key();
    if (isPrimary(key)) {
      replicas
          .secondary(key)
          .ifPresent(
              secondary ->
                  sends.add(
                      new LedgerSend(secondary.daemon(), new Copy(entry.recordAt(nowMillis)))));
    }
  }

  /**
   * Recomputes the replicas, and copies the records that this incarnation decides about to new
   * secondaries.
   */
  private void updateReplicas(long nowMillis) {
    Set<LedgerMember> members = new TreeSet<>(view.members());
    members.addAll(yieldedTo.keySet());
    LedgerReplicas before = replicas;
    replicas = new LedgerReplicas(ranking, members);
    if (replicas.equals(before)) {
      return;
    }
    syncState.membersChanged(before, replicas, nowMillis);
    requestRecords(nowMillis);
    for (LedgerEntry entry : entries.values()) {
      IdempotencyKey key = entry.record().key();
      if (!isPrimary(key)) {
        abandonPending(entry, nowMillis);
        replyToRequesters(entry, Long.MAX_VALUE, nowMillis);
        entry.markNotPrimary();
      } else if (!entry.isCopiedTo(replicas.secondary(key))) {
        sendCopy(entry, nowMillis);
      }
    }
  }

  private void sendRecords(DaemonId from, RequestRecords request, long nowMillis) {
    if (!replicas.members().contains(request.by())) {
      if (request.view() <= view.version()) {
        return;
      }
      // The requester acts on a later membership. Unless it is treated as a member from this point,
      // both daemons would be primary replica of the same keys until this one receives that
      // membership.
      yieldedTo.put(request.by(), request.view());
      updateReplicas(nowMillis);
    }
    if (request.view() > view.version()) {
      // Losses are detected by comparing memberships: without the requester's membership this
      // incarnation would report that there was no loss. The requester sends its request again.
      return;
    }
    List<LedgerRecord> records =
        entries.values().stream()
            .filter(entry -> replicas.isReplica(entry.record().key(), request.by()))
            .map(entry -> entry.recordAt(nowMillis))
            .toList();
    sends.add(
        new LedgerSend(
            from,
            new Records(
                self,
                request.view(),
                records,
                syncState.losses(nowMillis),
                syncState.isRetentionElapsed(nowMillis))));
  }

  private void receiveRecords(Records records, long nowMillis) {
    if (records.view() != actingVersion()) {
      return;
    }
    records.records().forEach(record -> store(record, nowMillis));
    syncState.receiveRecords(records, nowMillis);
    resolveLost(nowMillis);
  }

  private void requestRecords(long nowMillis) {
    resendAt = nowMillis + settings.resendIntervalMillis();
    syncState.updateSynchronized();
    for (LedgerMember member : syncState.pendingMembers()) {
      sends.add(new LedgerSend(member.daemon(), new RequestRecords(self, actingVersion())));
    }
  }

  /**
   * Returns the version of the membership that this incarnation acts on. After it has yielded keys
   * to a member of a later membership, only replies of members that have that membership too report
   * all losses.
   */
  private long actingVersion() {
    return yieldedTo.values().stream().reduce(view.version(), Math::max);
  }

  private boolean isPrimary(IdempotencyKey key) {
    return replicas.primary(key).filter(self::equals).isPresent();
  }

  private void answer(
      DaemonId to, IdempotencyKey key, Holder holder, Step step, Optional<ErrorKind> refusal) {
    sends.add(new LedgerSend(to, new Answer(key, holder, step, refusal)));
  }

  private List<LedgerSend> drainSends() {
    List<LedgerSend> drained = sends;
    sends = new ArrayList<>();
    return drained;
  }
}

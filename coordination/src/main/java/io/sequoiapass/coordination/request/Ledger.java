package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.LedgerMessage.Answer;
import io.sequoiapass.coordination.request.LedgerMessage.AskHolder;
import io.sequoiapass.coordination.request.LedgerMessage.AskRecords;
import io.sequoiapass.coordination.request.LedgerMessage.Copied;
import io.sequoiapass.coordination.request.LedgerMessage.Copy;
import io.sequoiapass.coordination.request.LedgerMessage.Finish;
import io.sequoiapass.coordination.request.LedgerMessage.MarkStart;
import io.sequoiapass.coordination.request.LedgerMessage.Records;
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
 * Keeps, as home or as second, the records that let work of one idempotency key start once.
 *
 * <pre>{@code
 * Ledger ledger = new Ledger(self, LedgerSettings.DEFAULT, Ranking.rendezvous(), now);
 * ledger.authorityUntil(leaseEnd);
 * send(ledger.membersChanged(view, now));
 * send(ledger.receive(entry, new LedgerMessage.Reserve(key, digest, holder), now));
 * }</pre>
 *
 * <p>A reservation is answered once its copy is kept by the second. A start is let go for the
 * reservation's holder alone. Whoever cannot be sure refuses. Driven under the lock of one shard;
 * not safe for use by several threads.
 */
public final class Ledger {

  private final LedgerMember self;
  private final LedgerSettings settings;
  private final Ranking ranking;
  private final LedgerKnowledge knowledge;
  private final Map<IdempotencyKey, LedgerEntry> entries = new LinkedHashMap<>();
  private final Map<LedgerMember, Long> yieldedTo = new TreeMap<>();
  private final Map<LedgerMember, Long> lostEntries = new TreeMap<>();
  private List<LedgerSend> sends = new ArrayList<>();
  private LedgerView view = new LedgerView(-1, Set.of());
  private LedgerHomes homes;
  private long authorityUntil = Long.MIN_VALUE;
  private long lastSequence;
  private long askAgainAt;

  /**
   * Creates the ledger of one life of a daemon; it knows nothing yet.
   *
   * @param self this life
   * @param settings times and limits
   * @param ranking how homes are chosen; the same on all daemons
   * @param nowMillis the time
   */
  public Ledger(LedgerMember self, LedgerSettings settings, Ranking ranking, long nowMillis) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.ranking = Objects.requireNonNull(ranking, "ranking");
    this.knowledge = new LedgerKnowledge(self, settings, ranking, nowMillis);
    this.homes = new LedgerHomes(ranking, Set.of());
  }

  /**
   * Sets until when this life may decide: the end of its lease less a margin, counted from before
   * the renewal was sent. Others take over after the lease has lapsed, so a home that is cut off or
   * frozen has to have stopped by then.
   */
  public void authorityUntil(long untilMillis) {
    authorityUntil = untilMillis;
  }

  /**
   * Notes that no ledger was kept before this life, so that it need not wait for the retention.
   * Only who creates the membership on the platform may know this: then there was none before it.
   */
  public void nothingBefore() {
    knowledge.nothingBefore();
  }

  /** Takes a membership; an older one than the last is ignored. */
  public List<LedgerSend> membersChanged(LedgerView newView, long nowMillis) {
    if (newView.version() <= view.version()) {
      return List.of();
    }
    Set<LedgerMember> gone = new TreeSet<>(view.members());
    gone.removeAll(newView.members());
    view = newView;
    yieldedTo.values().removeIf(version -> version <= newView.version());
    gone.forEach(member -> lostEntries.put(member, nowMillis + settings.retentionMillis()));
    rehome(nowMillis);
    resolveLost(nowMillis);
    return takeSends();
  }

  /** Notes that an entry's life ended that was no member, such as one of another data centre. */
  public List<LedgerSend> entryLost(LedgerMember entry, long nowMillis) {
    lostEntries.put(entry, nowMillis + settings.retentionMillis());
    resolveLost(nowMillis);
    return takeSends();
  }

  /** Takes a message of another daemon, or of this one. */
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
      keepCopy(from, copy.record(), nowMillis);
    } else if (message instanceof Copied copied) {
      copied(copied, nowMillis);
    } else if (message instanceof AskRecords ask) {
      handOver(from, ask, nowMillis);
    } else if (message instanceof Records records) {
      learn(records, nowMillis);
    }
    return takeSends();
  }

  /** Lets time pass: expiry, copies that did not come, members that did not answer. */
  public List<LedgerSend> tick(long nowMillis) {
    entries.values().removeIf(entry -> entry.isExpired(nowMillis));
    lostEntries.values().removeIf(until -> nowMillis >= until);
    for (LedgerEntry entry : entries.values()) {
      if (entry.waitedSince(nowMillis) >= settings.copyTimeoutMillis()) {
        refuseWaiting(entry, nowMillis);
      }
      answerAskers(entry, nowMillis - settings.holderTimeoutMillis(), nowMillis);
    }
    if (nowMillis >= askAgainAt) {
      askAll(nowMillis);
    }
    if (!lostEntries.isEmpty()) {
      resolveLost(nowMillis);
    }
    return takeSends();
  }

  /** Returns whether this life would decide about the key now. */
  public boolean decides(IdempotencyKey key, long nowMillis) {
    return isHome(key) && nowMillis < authorityUntil && knowledge.knows(key, nowMillis);
  }

  /** Returns the number of records kept. */
  public int size() {
    return entries.size();
  }

  // Home.

  private void reserve(DaemonId from, Reserve reserve, long nowMillis) {
    IdempotencyKey key = reserve.key();
    LedgerEntry entry = entries.get(key);
    if (entry != null && entry.isExpired(nowMillis)) {
      entries.remove(key);
      entry = null;
    }
    Optional<ErrorKind> refusal = refusal(entry, reserve, nowMillis);
    if (refusal.filter(kind -> kind == ErrorKind.KEY_IN_PROGRESS).isPresent()) {
      askHolder(entry, from, reserve.holder(), nowMillis);
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
      entry = LedgerEntry.own(record, nowMillis);
      entries.put(key, entry);
    }
    copyOrAnswer(entry, from, Step.RESERVE, nowMillis);
  }

  private Optional<ErrorKind> refusal(LedgerEntry entry, Reserve reserve, long nowMillis) {
    if (!decides(reserve.key(), nowMillis)
        || homes.second(reserve.key()).isEmpty()
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
   * Asks the holder before its key is called in progress. Its caller may have had the answer
   * already while the word of it is still on its way, or was lost with the home before this one;
   * the same caller would then hear that its finished work is under way. The holder notes the end
   * before its caller hears of it, so its word is never behind what the caller knows.
   */
  private void askHolder(LedgerEntry entry, DaemonId from, Holder asker, long nowMillis) {
    entry.awaitHolder(asker, from, nowMillis);
    LedgerRecord record = entry.record();
    sends.add(
        new LedgerSend(
            record.holder().entry().daemon(), new AskHolder(record.key(), record.holder(), asker)));
  }

  private void stillOpen(StillOpen open, long nowMillis) {
    LedgerEntry entry = entries.get(open.key());
    if (entry != null && entry.record().holder().equals(open.holder())) {
      entry
          .takeAsker(open.asker())
          .ifPresent(daemon -> answerAsker(entry, open.asker(), daemon, nowMillis));
    }
  }

  private void answerAsker(LedgerEntry entry, Holder asker, DaemonId daemon, long nowMillis) {
    LedgerRecord record = entry.record();
    boolean tells = record.state() != LedgerState.RELEASED && decides(record.key(), nowMillis);
    ErrorKind refusal = tells ? record.state().refusal() : ErrorKind.LEDGER_UNAVAILABLE;
    answer(daemon, record.key(), asker, Step.RESERVE, Optional.of(refusal));
  }

  private void answerAskers(LedgerEntry entry, long beforeMillis, long nowMillis) {
    entry
        .takeAskers(beforeMillis)
        .forEach((asker, daemon) -> answerAsker(entry, asker, daemon, nowMillis));
  }

  private void markStart(DaemonId from, MarkStart start, long nowMillis) {
    LedgerEntry entry = entries.get(start.key());
    boolean held =
        entry != null
            && !entry.isExpired(nowMillis)
            && entry.record().holder().equals(start.holder())
            && entry.record().state().isOpen();
    if (!held || !decides(start.key(), nowMillis) || homes.second(start.key()).isEmpty()) {
      // The holder may have lost the key to another while it was cut off; a yes from memory would
      // start the work beside that one.
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
    LedgerState ended = LedgerState.after(finish.outcome());
    if (entry.record().state().yieldsTo(ended)) {
      change(entry, ended, nowMillis);
    }
    // Once it is answered the holder forgets it. If this home were lost before the second had the
    // outcome, the key would be open until it expires, with nobody left who knows better.
    copyOrAnswer(entry, from, Step.FINISH, nowMillis);
  }

  /** Answers at once if the current second has the copy, else when it has. */
  private void copyOrAnswer(LedgerEntry entry, DaemonId from, Step step, long nowMillis) {
    if (entry.isCopiedTo(homes.second(entry.record().key()))) {
      allow(entry, from, step);
    } else {
      entry.await(from, step, nowMillis);
      sendCopy(entry, nowMillis);
    }
  }

  private void allow(LedgerEntry entry, DaemonId entryDaemon, Step step) {
    if (step == Step.MARK_START && entry.record().state() == LedgerState.RESERVED) {
      // The copy may stay at RESERVED: a second that takes over counts that as maybe started.
      entry.started();
    }
    LedgerRecord record = entry.record();
    answer(entryDaemon, record.key(), record.holder(), step, Optional.empty());
  }

  private void copied(Copied copied, long nowMillis) {
    LedgerEntry entry = entries.get(copied.key());
    if (entry == null || entry.record().sequence() != copied.sequence()) {
      return;
    }
    entry.copiedTo(copied.by());
    if (entry.isCopiedTo(homes.second(copied.key())) && decides(copied.key(), nowMillis)) {
      entry.takeWaiting().forEach((step, daemon) -> allow(entry, daemon, step));
    }
  }

  private void change(LedgerEntry entry, LedgerState state, long nowMillis) {
    refuseAll(entry);
    entry.change(state, ++lastSequence, nowMillis + settings.retentionMillis());
    answerAskers(entry, Long.MAX_VALUE, nowMillis);
    sendCopy(entry, nowMillis);
  }

  private void refuseWaiting(LedgerEntry entry, long nowMillis) {
    boolean neverAnswered =
        entry.waits(Step.RESERVE) && entry.record().state() == LedgerState.RESERVED;
    refuseAll(entry);
    if (neverAnswered) {
      change(entry, LedgerState.RELEASED, nowMillis);
    }
  }

  private void refuseAll(LedgerEntry entry) {
    LedgerRecord record = entry.record();
    Optional<ErrorKind> refusal = Optional.of(ErrorKind.LEDGER_UNAVAILABLE);
    entry
        .takeWaiting()
        .forEach((step, daemon) -> answer(daemon, record.key(), record.holder(), step, refusal));
  }

  /** Ends what lives of entries that are gone left open, as far as this life decides about it. */
  private void resolveLost(long nowMillis) {
    for (LedgerEntry entry : entries.values()) {
      LedgerRecord record = entry.record();
      if (!lostEntries.containsKey(record.holder().entry())
          || !record.state().isOpen()
          || !decides(record.key(), nowMillis)) {
        continue;
      }
      // Only the home that made the record knows that no start was let go; a copy does not.
      boolean surelyNotStarted = entry.isOwn() && record.state() == LedgerState.RESERVED;
      change(entry, surelyNotStarted ? LedgerState.RELEASED : LedgerState.UNKNOWN, nowMillis);
    }
  }

  // Copies and changes of home.

  private void keepCopy(DaemonId from, LedgerRecord record, long nowMillis) {
    LedgerEntry known = entries.get(record.key());
    if (known != null && known.record().sequence() > record.sequence()) {
      // A copy that was held up on its way must not undo a later one, nor be counted as kept.
      sends.add(new LedgerSend(from, new Copy(known.recordAt(nowMillis))));
      return;
    }
    keep(record, nowMillis);
    sends.add(new LedgerSend(from, new Copied(self, record.key(), record.sequence())));
  }

  private void keep(LedgerRecord record, long nowMillis) {
    lastSequence = Math.max(lastSequence, record.sequence());
    LedgerEntry known = entries.get(record.key());
    if (known == null || known.record().sequence() < record.sequence()) {
      if (known != null) {
        refuseAll(known);
        answerAskers(known, Long.MAX_VALUE, nowMillis);
      }
      entries.put(record.key(), LedgerEntry.copyOf(record, nowMillis));
    }
  }

  private void sendCopy(LedgerEntry entry, long nowMillis) {
    IdempotencyKey key = entry.record().key();
    if (isHome(key)) {
      homes
          .second(key)
          .ifPresent(
              second ->
                  sends.add(new LedgerSend(second.daemon(), new Copy(entry.recordAt(nowMillis)))));
    }
  }

  /**
   * Works out the homes anew, and gives the records that this life decides about to new seconds.
   */
  private void rehome(long nowMillis) {
    Set<LedgerMember> members = new TreeSet<>(view.members());
    members.addAll(yieldedTo.keySet());
    LedgerHomes before = homes;
    homes = new LedgerHomes(ranking, members);
    if (homes.equals(before)) {
      return;
    }
    knowledge.membersChanged(before, homes, nowMillis);
    askAll(nowMillis);
    for (LedgerEntry entry : entries.values()) {
      IdempotencyKey key = entry.record().key();
      if (!isHome(key)) {
        refuseWaiting(entry, nowMillis);
        answerAskers(entry, Long.MAX_VALUE, nowMillis);
        entry.disown();
      } else if (!entry.isCopiedTo(homes.second(key))) {
        sendCopy(entry, nowMillis);
      }
    }
  }

  private void handOver(DaemonId from, AskRecords ask, long nowMillis) {
    if (!homes.members().contains(ask.by())) {
      if (ask.view() <= view.version()) {
        return;
      }
      // The asker acts on a later membership than this one. Were it not counted in from now on,
      // both would be home of the same keys until this one hears of it.
      yieldedTo.put(ask.by(), ask.view());
      rehome(nowMillis);
    }
    if (ask.view() > view.version()) {
      // Losses are seen by comparing memberships: until this life has the asker's, it would answer
      // that nothing was lost. It is asked again.
      return;
    }
    List<LedgerRecord> records =
        entries.values().stream()
            .filter(entry -> homes.isHolder(entry.record().key(), ask.by()))
            .map(entry -> entry.recordAt(nowMillis))
            .toList();
    sends.add(
        new LedgerSend(
            from,
            new Records(
                self,
                ask.view(),
                records,
                knowledge.losses(nowMillis),
                knowledge.isSeasoned(nowMillis))));
  }

  private void learn(Records records, long nowMillis) {
    if (records.view() != actingVersion()) {
      return;
    }
    records.records().forEach(record -> keep(record, nowMillis));
    knowledge.heardFrom(records, nowMillis);
    resolveLost(nowMillis);
  }

  private void askAll(long nowMillis) {
    askAgainAt = nowMillis + settings.askAgainMillis();
    knowledge.settle();
    for (LedgerMember member : knowledge.awaited()) {
      sends.add(new LedgerSend(member.daemon(), new AskRecords(self, actingVersion())));
    }
  }

  /**
   * Returns the membership's version that this life acts on. After it has handed keys over to a
   * member of a later one, only answers by those who know that one too tell of all losses.
   */
  private long actingVersion() {
    return yieldedTo.values().stream().reduce(view.version(), Math::max);
  }

  private boolean isHome(IdempotencyKey key) {
    return homes.home(key).filter(self::equals).isPresent();
  }

  private void answer(
      DaemonId to, IdempotencyKey key, Holder holder, Step step, Optional<ErrorKind> refusal) {
    sends.add(new LedgerSend(to, new Answer(key, holder, step, refusal)));
  }

  private List<LedgerSend> takeSends() {
    List<LedgerSend> taken = sends;
    sends = new ArrayList<>();
    return taken;
  }
}

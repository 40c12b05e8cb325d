package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Ledger;
import io.sequoiapass.coordination.request.LedgerHomes;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import io.sequoiapass.coordination.request.LedgerSend;
import io.sequoiapass.coordination.request.LedgerSettings;
import io.sequoiapass.coordination.request.LedgerView;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.request.Ranking;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.entry.StartRecords;
import io.sequoiapass.daemon.request.CallerRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Drives this daemon's {@link Ledger} and the starts that its own callers' requests wait for.
 *
 * <pre>{@code
 * LedgerNode node = new LedgerNode(self, incarnation, settings, firstInstall, ...);
 * node.tick();
 * node.record(request, refusal -> answerOwner(refusal));
 * }</pre>
 *
 * <p>Safe for use by several threads: one lock guards the decisions, nothing is waited for under
 * it, and answers are told by the executor, since their receivers take locks of their own.
 */
public final class LedgerNode implements StartRecords {

  private final ReentrantLock lock = new ReentrantLock();
  private final DaemonId self;
  private final LedgerSettings settings;
  private final boolean firstInstall;
  private final MillisClock clock;
  private final LedgerPeers peers;
  private final Executor executor;
  private final Ranking ranking = Ranking.rendezvous();
  private final LedgerMembers members;
  private final Map<RequestId, KeyedStart> starts = new HashMap<>();
  private final Map<Holder, RequestId> requests = new HashMap<>();
  private final Deque<LedgerSend> outbox = new ArrayDeque<>();
  private Ledger ledger;
  private LedgerHomes homes;
  private long fedVersion = -1;

  /**
   * Makes a node that is no member yet.
   *
   * @param self this life of the daemon
   * @param settings times and limits of the ledger
   * @param firstInstall whether the operators say that no earlier fleet kept keys
   * @param clock the clock of all times
   * @param platform holds the membership
   * @param leases tells how leases stand
   * @param peers sends to other daemons
   * @param executor tells answers
   */
  public LedgerNode(
      LedgerMember self,
      LedgerSettings settings,
      boolean firstInstall,
      MillisClock clock,
      PlatformClient platform,
      LedgerLeases leases,
      LedgerPeers peers,
      Executor executor) {
    this.self = self.daemon();
    this.settings = Objects.requireNonNull(settings, "settings");
    this.firstInstall = firstInstall;
    this.clock = Objects.requireNonNull(clock, "clock");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.executor = Objects.requireNonNull(executor, "executor");
    this.members = new LedgerMembers(self, clock, platform, leases, this::locked);
    this.homes = new LedgerHomes(ranking, Set.of());
    this.ledger = new Ledger(self, settings, ranking, clock.millis());
  }

  /** Lets time pass; to be called every 50 ms or so. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          members.tick(now);
          membership(now);
          ledger.authorityUntil(members.authorityUntil());
          outbox.addAll(ledger.tick(now));
          List.copyOf(starts.values()).forEach(start -> tick(start, now));
        });
  }

  /** Leaves the membership: this daemon stops as planned, and decides about no key any more. */
  public void leave() {
    locked(
        () -> {
          members.leave();
          ledger.authorityUntil(members.authorityUntil());
        });
  }

  /**
   * Takes a message of another daemon.
   *
   * @param peer the daemon
   * @param message the message
   */
  public void received(DaemonId peer, LedgerMessage message) {
    locked(() -> take(peer, message));
  }

  private void membership(long now) {
    if (members.startedAnew()) {
      // Others went on without this life: what it knows may be out of date, so it forgets it.
      ledger = new Ledger(members.life(), settings, ranking, now);
      fedVersion = -1;
    }
    if (members.version() <= fedVersion) {
      return;
    }
    LedgerHomes next = new LedgerHomes(ranking, members.members());
    if (!next.equals(homes)) {
      homes = next;
      starts.values().forEach(start -> start.homeMoved(now));
    }
    if (members.isMember()) {
      if (members.createdIt() && firstInstall) {
        ledger.nothingBefore();
      }
      fedVersion = members.version();
      outbox.addAll(ledger.membersChanged(new LedgerView(fedVersion, members.members()), now));
    }
  }

  private void take(DaemonId from, LedgerMessage message) {
    long now = clock.millis();
    if (message instanceof LedgerMessage.Answer answer) {
      answered(answer, now);
    } else if (message instanceof LedgerMessage.AskHolder ask) {
      asked(from, ask);
    } else {
      outbox.addAll(ledger.receive(from, message, now));
    }
  }

  /** A message to itself is taken here, so that a home need not be another daemon. */
  private void sendAll() {
    for (LedgerSend send = outbox.poll(); send != null; send = outbox.poll()) {
      if (send.to().equals(self)) {
        take(self, send.message());
      } else {
        peers.send(send.to(), new PeerMessage.Ledger(send.message()));
      }
    }
  }

  // The entry's side.

  @Override
  public void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer) {
    locked(
        () -> {
          long now = clock.millis();
          if (request.deadlineMs() - now > settings.maxDeadlineMillis()) {
            // Its record would be forgotten before it ends.
            tell(Optional.of(answer), Optional.of(ErrorKind.BAD_DEADLINE));
            return;
          }
          KeyedStart start = starts.computeIfAbsent(request.id(), id -> start(request));
          start.begin(answer, now, request.deadlineMs());
          tick(start, now);
        });
  }

  private KeyedStart start(CallerRequest request) {
    Holder holder = new Holder(members.life(), new OperationId(request.id().value()));
    requests.put(holder, request.id());
    return new KeyedStart(request.key().orElseThrow(), WorkDigest.of(request.work()), holder);
  }

  @Override
  public void finished(CallerRequest request, OutcomeClass outcome) {
    locked(
        () ->
            Optional.ofNullable(starts.get(request.id()))
                .ifPresent(
                    start -> {
                      start.finish(outcome, clock.millis());
                      tick(start, clock.millis());
                    }));
  }

  private void tick(KeyedStart start, long now) {
    if (start.isTooLate(now)) {
      if (start.isFinishing()) {
        forget(start);
      } else {
        refuse(start, ErrorKind.LEDGER_UNAVAILABLE);
      }
    } else if (start.isDue(now)) {
      LedgerMessage message = start.message(now);
      homes.home(start.key()).ifPresent(home -> outbox.add(new LedgerSend(home.daemon(), message)));
    }
  }

  private void asked(DaemonId home, LedgerMessage.AskHolder ask) {
    Optional<KeyedStart> start = start(ask.holder());
    if (start.isPresent()) {
      outbox.add(new LedgerSend(home, start.get().standing(ask)));
    } else if (ask.holder().entry().equals(members.life())) {
      // It has ended here, and what was known of its end was given up or is already kept: nobody
      // but this entry could start it, so a home that holds it open may close it.
      LedgerMessage ended = new LedgerMessage.Finish(ask.key(), ask.holder(), OutcomeClass.UNKNOWN);
      outbox.add(new LedgerSend(home, ended));
    }
  }

  private Optional<KeyedStart> start(Holder holder) {
    return Optional.ofNullable(requests.get(holder)).map(starts::get);
  }

  private void answered(LedgerMessage.Answer answer, long now) {
    KeyedStart start = start(answer.holder()).orElse(null);
    if (start == null || !start.isWaiting()) {
      return;
    }
    Optional<ErrorKind> refusal = answer.refusal();
    if (refusal.isEmpty()) {
      allowed(start, answer.step(), now);
    } else if (refusal.get() == ErrorKind.LEDGER_UNAVAILABLE) {
      start.again();
    } else if (!start.isFinishing()) {
      refuse(start, refusal.get());
      // Another request has the key; there is nothing of this one to be finished.
      forget(start);
    }
  }

  private void allowed(KeyedStart start, LedgerMessage.Step step, long now) {
    boolean finishing = start.isFinishing();
    if (start.done(step, now)) {
      if (finishing) {
        forget(start);
      } else {
        tell(start.takeListener(), Optional.empty());
      }
    } else {
      tick(start, now);
    }
  }

  private void refuse(KeyedStart start, ErrorKind kind) {
    start.rest();
    tell(start.takeListener(), Optional.of(kind));
  }

  private void tell(Optional<Consumer<Optional<ErrorKind>>> listener, Optional<ErrorKind> refusal) {
    listener.ifPresent(hears -> executor.execute(() -> hears.accept(refusal)));
  }

  private void forget(KeyedStart start) {
    Optional.ofNullable(requests.remove(start.holder())).ifPresent(starts::remove);
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
      sendAll();
    } finally {
      lock.unlock();
    }
  }
}

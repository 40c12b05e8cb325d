package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Ledger;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import io.sequoiapass.coordination.request.LedgerReplicas;
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
 * Runs this daemon's {@link Ledger} and records the starts of its own callers' requests.
 *
 * <pre>{@code
 * LedgerNode node = new LedgerNode(self, incarnation, settings, firstInstall, ...);
 * node.tick();
 * node.record(request, refusal -> answerOwner(refusal));
 * }</pre>
 *
 * <p>Safe for use by several threads: one lock guards all state, and no call blocks under it. The
 * executor delivers replies, since their receivers take locks of their own.
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
  private LedgerReplicas replicas;
  private long appliedVersion = -1;

  /**
   * Creates a node that is not yet a member.
   *
   * @param self this incarnation of the daemon
   * @param settings timeouts and limits of the ledger
   * @param firstInstall whether the operators declare that no earlier fleet has recorded keys
   * @param clock the clock of all timestamps
   * @param platform stores the membership
   * @param leases the state of the daemons' leases
   * @param peers sends messages to other daemons
   * @param executor delivers replies
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
    this.replicas = new LedgerReplicas(ranking, Set.of());
    this.ledger = new Ledger(self, settings, ranking, clock.millis());
  }

  /** Runs due timers; to be called about every 50 ms. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          members.tick(now);
          updateMembership(now);
          ledger.authorityUntil(members.authorityUntil());
          outbox.addAll(ledger.tick(now));
          List.copyOf(starts.values()).forEach(start -> tick(start, now));
        });
  }

  /** Leaves the membership for a planned stop; this daemon decides about no further keys. */
  public void leave() {
    locked(
        () -> {
          members.leave();
          ledger.authorityUntil(members.authorityUntil());
        });
  }

  /**
   * Handles a message from another daemon.
   *
   * @param peer the daemon
   * @param message the message
   */
  public void received(DaemonId peer, LedgerMessage message) {
    locked(() -> handle(peer, message));
  }

  private void updateMembership(long now) {
    if (members.takeIncarnationChange()) {
      // The others continued without the old incarnation, so its records may be out of date.
      ledger = new Ledger(members.self(), settings, ranking, now);
      appliedVersion = -1;
    }
    if (members.version() <= appliedVersion) {
      return;
    }
    LedgerReplicas next = new LedgerReplicas(ranking, members.members());
    if (!next.equals(replicas)) {
      replicas = next;
      starts.values().forEach(start -> start.primaryChanged(now));
    }
    if (members.isMember()) {
      if (members.createdMembership() && firstInstall) {
        ledger.assumeNoEarlierRecords();
      }
      appliedVersion = members.version();
      outbox.addAll(ledger.membersChanged(new LedgerView(appliedVersion, members.members()), now));
    }
  }

  private void handle(DaemonId from, LedgerMessage message) {
    long now = clock.millis();
    if (message instanceof LedgerMessage.Answer answer) {
      handleAnswer(answer, now);
    } else if (message instanceof LedgerMessage.QueryHolder query) {
      handleQuery(from, query);
    } else {
      outbox.addAll(ledger.receive(from, message, now));
    }
  }

  /** Messages to this daemon are handled directly, since it may itself be a replica of the key. */
  private void sendAll() {
    for (LedgerSend send = outbox.poll(); send != null; send = outbox.poll()) {
      if (send.to().equals(self)) {
        handle(self, send.message());
      } else {
        peers.send(send.to(), new PeerMessage.Ledger(send.message()));
      }
    }
  }

  // Entry side: starts of this daemon's own callers' requests.

  @Override
  public void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer) {
    locked(
        () -> {
          long now = clock.millis();
          if (request.deadlineMs() - now > settings.maxDeadlineMillis()) {
            // The record would be evicted before the request ends.
            reply(Optional.of(answer), Optional.of(ErrorKind.BAD_DEADLINE));
            return;
          }
          KeyedStart start = starts.computeIfAbsent(request.id(), id -> start(request));
          start.begin(answer, now, request.deadlineMs());
          tick(start, now);
        });
  }

  private KeyedStart start(CallerRequest request) {
    Holder holder = new Holder(members.self(), new OperationId(request.id().value()));
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
    if (start.isTimedOut(now)) {
      if (start.isFinishing()) {
        remove(start);
      } else {
        refuse(start, ErrorKind.LEDGER_UNAVAILABLE);
      }
    } else if (start.isDue(now)) {
      LedgerMessage message = start.message(now);
      replicas
          .primary(start.key())
          .ifPresent(primary -> outbox.add(new LedgerSend(primary.daemon(), message)));
    }
  }

  private void handleQuery(DaemonId replica, LedgerMessage.QueryHolder query) {
    Optional<KeyedStart> start = start(query.holder());
    if (start.isPresent()) {
      outbox.add(new LedgerSend(replica, start.get().status(query)));
    } else if (query.holder().entry().equals(members.self())) {
      // The request has ended here, and its outcome was stored or abandoned unconfirmed. Only this
      // entry could start it, so a replica that holds it open may close it.
      LedgerMessage ended =
          new LedgerMessage.Finish(query.key(), query.holder(), OutcomeClass.UNKNOWN);
      outbox.add(new LedgerSend(replica, ended));
    }
  }

  private Optional<KeyedStart> start(Holder holder) {
    return Optional.ofNullable(requests.get(holder)).map(starts::get);
  }

  private void handleAnswer(LedgerMessage.Answer answer, long now) {
    KeyedStart start = start(answer.holder()).orElse(null);
    if (start == null || !start.isPending()) {
      return;
    }
    Optional<ErrorKind> refusal = answer.refusal();
    if (refusal.isEmpty()) {
      stepConfirmed(start, answer.step(), now);
    } else if (refusal.get() == ErrorKind.LEDGER_UNAVAILABLE) {
      start.restart();
    } else if (!start.isFinishing()) {
      refuse(start, refusal.get());
      // Another request holds the key, so this one has no record to finish.
      remove(start);
    }
  }

  private void stepConfirmed(KeyedStart start, LedgerMessage.Step step, long now) {
    boolean finishing = start.isFinishing();
    if (start.confirm(step, now)) {
      if (finishing) {
        remove(start);
      } else {
        reply(start.takeListener(), Optional.empty());
      }
    } else {
      tick(start, now);
    }
  }

  private void refuse(KeyedStart start, ErrorKind kind) {
    start.cancel();
    reply(start.takeListener(), Optional.of(kind));
  }

  private void reply(
      Optional<Consumer<Optional<ErrorKind>>> listener, Optional<ErrorKind> refusal) {
    listener.ifPresent(receiver -> executor.execute(() -> receiver.accept(refusal)));
  }

  private void remove(KeyedStart start) {
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

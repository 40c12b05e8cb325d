package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.request.LedgerMessage.Answer;
import io.sequoiapass.coordination.request.LedgerMessage.Finish;
import io.sequoiapass.coordination.request.LedgerMessage.QueryHolder;
import io.sequoiapass.coordination.request.LedgerMessage.Step;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.assertj.core.api.Assertions;

/**
 * Simulates daemons, leases, a lossy network and entry daemons that share a few keys; counts the
 * runs.
 */
final class LedgerSimulation {

  static final LedgerSettings SETTINGS = new LedgerSettings(2_000, 300, 200, 40, 300, 25, 1_000);
  private static final long LEASE = 100;
  private static final long MARGIN = 20;
  private static final int DAEMONS = 5;

  /** How long an entry daemon waits; shorter than a primary replica waits for a holder's reply. */
  private static final long ENTRY_TIMEOUT = 250;

  private static final long FINISH_RESEND = 50;

  private record KeyUse(IdempotencyKey key, Holder holder, long since) {
    private long until() {
      return since + ENTRY_TIMEOUT;
    }
  }

  /** An outcome to be sent to the primary replica; resent with exponential backoff. */
  private static final class PendingFinish {
    private final Finish finish;
    private long resendDelay = FINISH_RESEND;
    private long sendAt;

    private PendingFinish(Finish finish) {
      this.finish = finish;
    }
  }

  private final class Daemon {
    private final LedgerMember self;
    private final Ledger ledger;
    private final Map<Holder, KeyUse> open = new LinkedHashMap<>();
    private final Map<Holder, PendingFinish> ended = new LinkedHashMap<>();
    private LedgerView view = new LedgerView(0, Set.of());
    private long frozenUntil;
    private long cutUntil;
    private long endsAt;

    private Daemon(LedgerMember self) {
      this.self = self;
      ledger = new Ledger(self, SETTINGS, Ranking.rendezvous(), now);
    }

    private boolean runs() {
      return now >= frozenUntil;
    }
  }

  private record Envelope(LedgerMember from, DaemonId to, LedgerMessage message) {}

  private final Random random;
  private final boolean plannedStops;
  private final double faults;
  private final Map<DaemonId, Daemon> daemons = new TreeMap<>();
  private final Map<LedgerMember, Long> leases = new TreeMap<>();
  private final List<Envelope> inFlight = new ArrayList<>();
  private final Map<IdempotencyKey, List<Long>> runs = new HashMap<>();
  private final Map<IdempotencyKey, Long> notifiedAt = new HashMap<>();
  private long membership = 1;
  private long now;
  private int serial;
  int started;
  int refused;

  LedgerSimulation(long seed, double faults, boolean plannedStops) {
    this.random = new Random(seed);
    this.plannedStops = plannedStops;
    this.faults = faults;
    for (int i = 0; i < DAEMONS; i++) {
      start(new DaemonId("d" + i));
    }
  }

  void run(int steps) {
    for (int round = 0; round < steps; round++) {
      now += random.nextInt(3);
      expireLeases();
      for (int i = 0; i < 4 && !inFlight.isEmpty(); i++) {
        deliver(inFlight.remove(random.nextInt(inFlight.size())));
      }
      Daemon daemon = daemons.get(new DaemonId("d" + random.nextInt(DAEMONS)));
      if (daemon.runs()) {
        step(daemon);
      }
      if (random.nextDouble() < faults) {
        injectFault(daemon);
      }
    }
  }

  private void start(DaemonId name) {
    Daemon daemon = new Daemon(new LedgerMember(name, ++serial));
    daemons.put(name, daemon);
    leases.keySet().removeIf(member -> member.daemon().equals(name));
    leases.put(daemon.self, now + LEASE + MARGIN);
    membership++;
    daemon.ledger.authorityUntil(now + LEASE);
    refreshMembership(daemon);
  }

  private void expireLeases() {
    if (leases.values().removeIf(until -> now >= until)) {
      membership++;
    }
  }

  private void refreshMembership(Daemon daemon) {
    daemon.view = new LedgerView(membership, leases.keySet());
    send(daemon, daemon.ledger.membersChanged(daemon.view, now));
  }

  private void step(Daemon daemon) {
    if (now < daemon.endsAt) {
      send(daemon, daemon.ledger.tick(now));
      return;
    }
    if (!leases.containsKey(daemon.self)) {
      // An incarnation whose lease has expired ends: its records have gaps that it cannot detect.
      start(daemon.self.daemon());
      return;
    }
    boolean connected = now >= daemon.cutUntil;
    if (connected && random.nextInt(2) == 0) {
      leases.put(daemon.self, now + LEASE + MARGIN);
      daemon.ledger.authorityUntil(now + LEASE);
    }
    if (connected && random.nextInt(3) == 0) {
      refreshMembership(daemon);
    }
    send(daemon, daemon.ledger.tick(now));
    if (random.nextInt(4) == 0) {
      IdempotencyKey key = new IdempotencyKey("k" + random.nextInt(6));
      Holder holder = new Holder(daemon.self, new OperationId("o" + ++serial));
      daemon.open.put(holder, new KeyUse(key, holder, now));
      sendToPrimary(daemon, key, new LedgerMessage.Reserve(key, "body", holder));
    }
    List<KeyUse> openUses = new ArrayList<>(daemon.open.values());
    openUses.stream().filter(use -> now >= use.until()).forEach(use -> notRun(daemon, use));
    for (PendingFinish ended : daemon.ended.values()) {
      if (now >= ended.sendAt) {
        sendFinish(daemon, ended);
      }
    }
  }

  private void injectFault(Daemon daemon) {
    switch (random.nextInt(plannedStops ? 5 : 4)) {
      case 0 -> start(daemon.self.daemon());
      case 1 -> daemon.frozenUntil = now + random.nextInt(400);
      case 2 -> daemon.cutUntil = now + random.nextInt(400);
      case 4 -> leave(daemon);
      default -> inFlight.removeIf(envelope -> random.nextInt(2) == 0);
    }
  }

  /** A planned stop: the process runs on for a time as no member. */
  private void leave(Daemon daemon) {
    if (daemon.open.isEmpty() && leases.remove(daemon.self) != null) {
      membership++;
      daemon.ledger.authorityUntil(Long.MIN_VALUE);
      daemon.endsAt = now + random.nextInt(200);
    }
  }

  private void notRun(Daemon daemon, KeyUse use) {
    refused++;
    end(daemon, use, OutcomeClass.NOT_RUN);
  }

  private void end(Daemon daemon, KeyUse use, OutcomeClass outcome) {
    daemon.open.remove(use.holder);
    Finish finish = new Finish(use.key, use.holder, outcome);
    PendingFinish ended = new PendingFinish(finish);
    daemon.ended.put(use.holder, ended);
    sendFinish(daemon, ended);
  }

  private void sendFinish(Daemon daemon, PendingFinish ended) {
    ended.sendAt = now + ended.resendDelay;
    ended.resendDelay *= 2;
    sendToPrimary(daemon, ended.finish.key(), ended.finish);
  }

  private void sendToPrimary(Daemon daemon, IdempotencyKey key, LedgerMessage message) {
    new LedgerReplicas(Ranking.rendezvous(), daemon.view.members())
        .primary(key)
        .ifPresent(primary -> send(daemon, List.of(new LedgerSend(primary.daemon(), message))));
  }

  private void send(Daemon from, List<LedgerSend> sends) {
    for (LedgerSend send : sends) {
      inFlight.add(new Envelope(from.self, send.to(), send.message()));
      if (random.nextInt(20) == 0) {
        inFlight.add(new Envelope(from.self, send.to(), send.message()));
      }
    }
  }

  private void deliver(Envelope envelope) {
    Daemon to = daemons.get(envelope.to);
    boolean cut = now < to.cutUntil || now < daemons.get(envelope.from.daemon()).cutUntil;
    boolean dropped = faults > 0 && random.nextInt(25) == 0;
    if ((cut && !to.self.equals(envelope.from)) || dropped) {
      return;
    }
    if (!to.runs()) {
      inFlight.add(envelope);
    } else if (envelope.message instanceof Answer answer) {
      answered(to, answer);
    } else if (envelope.message instanceof QueryHolder query) {
      answerQuery(to, envelope.from.daemon(), query);
    } else {
      send(to, to.ledger.receive(envelope.from.daemon(), envelope.message, now));
    }
  }

  private void answerQuery(Daemon daemon, DaemonId primary, QueryHolder query) {
    PendingFinish ended = daemon.ended.get(query.holder());
    LedgerMessage reply = ended == null ? null : ended.finish;
    if (daemon.open.containsKey(query.holder())) {
      reply = new LedgerMessage.StillOpen(query.key(), query.holder(), query.requester());
    } else if (reply == null && query.holder().entry().equals(daemon.self)) {
      reply = new Finish(query.key(), query.holder(), OutcomeClass.UNKNOWN);
    }
    if (reply != null) {
      send(daemon, List.of(new LedgerSend(primary, reply)));
    }
  }

  private void answered(Daemon daemon, Answer answer) {
    if (answer.step() == Step.FINISH && answer.refusal().isEmpty()) {
      daemon.ended.remove(answer.holder());
      return;
    }
    KeyUse use = daemon.open.get(answer.holder());
    if (use == null || answer.step() == Step.FINISH) {
      return;
    }
    boolean unavailable =
        answer.refusal().filter(kind -> kind == ErrorKind.LEDGER_UNAVAILABLE).isPresent();
    if (plannedStops && unavailable && random.nextInt(2) == 0) {
      sendToPrimary(daemon, use.key, new LedgerMessage.Reserve(use.key, "body", use.holder));
    } else if (answer.refusal().isPresent()) {
      refused(use, answer.refusal().get());
      notRun(daemon, use);
    } else if (answer.step() == Step.RESERVE) {
      sendToPrimary(daemon, use.key, new LedgerMessage.MarkStart(use.key, use.holder));
    } else {
      ran(use);
      OutcomeClass outcome = random.nextInt(5) == 0 ? OutcomeClass.UNKNOWN : OutcomeClass.ANSWERED;
      notifiedAt.put(use.key, now);
      end(daemon, use, outcome);
    }
  }

  /**
   * Checks that a caller which received the outcome before its next request is not told "in
   * progress".
   */
  private void refused(KeyUse use, ErrorKind kind) {
    Long at = notifiedAt.get(use.key);
    if (kind != ErrorKind.KEY_IN_PROGRESS || at == null || now >= use.until()) {
      return;
    }
    boolean ended = at < use.since && now - at < SETTINGS.retentionMillis() - ENTRY_TIMEOUT;
    Assertions.assertThat(ended)
        .as("%s ended at %d, asked at %d, in progress at %d", use.key, at, use.since, now)
        .isFalse();
  }

  private void ran(KeyUse use) {
    started++;
    List<Long> before = runs.computeIfAbsent(use.key, key -> new ArrayList<>());
    for (long at : before) {
      Assertions.assertThat(now - at)
          .as("%s at %d after a run at %d of %s", use.key, now, at, runs)
          .isGreaterThanOrEqualTo(SETTINGS.retentionMillis() - SETTINGS.maxDeadlineMillis());
    }
    before.add(now);
  }
}

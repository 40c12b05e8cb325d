package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.request.LedgerMessage.Answer;
import io.sequoiapass.coordination.request.LedgerMessage.AskHolder;
import io.sequoiapass.coordination.request.LedgerMessage.Finish;
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

/** Plays daemons, leases, a lossy network and entries that use few keys; counts the runs. */
final class LedgerWorld {

  static final LedgerSettings SETTINGS = new LedgerSettings(2_000, 300, 200, 40, 300, 25, 1_000);
  private static final long LEASE = 100;
  private static final long MARGIN = 20;
  private static final int DAEMONS = 5;

  /** How long an entry waits; shorter than a home waits for a holder's word. */
  private static final long WAIT = 250;

  private static final long FINISH_AGAIN = 50;

  private record Use(IdempotencyKey key, Holder holder, long since) {
    private long until() {
      return since + WAIT;
    }
  }

  /** An end that its home has to be told; told again after doubling pauses. */
  private static final class Ended {
    private final Finish finish;
    private long pause = FINISH_AGAIN;
    private long sendAt;

    private Ended(Finish finish) {
      this.finish = finish;
    }
  }

  private final class Daemon {
    private final LedgerMember self;
    private final Ledger ledger;
    private final Map<Holder, Use> open = new LinkedHashMap<>();
    private final Map<Holder, Ended> ended = new LinkedHashMap<>();
    private LedgerView view = new LedgerView(0, Set.of());
    private long frozenUntil;
    private long cutUntil;

    private Daemon(LedgerMember self) {
      this.self = self;
      ledger = new Ledger(self, SETTINGS, Ranking.rendezvous(), now);
    }

    private boolean runs() {
      return now >= frozenUntil;
    }
  }

  private record Mail(LedgerMember from, DaemonId to, LedgerMessage message) {}

  private final Random random;
  private final double faults;
  private final Map<DaemonId, Daemon> daemons = new TreeMap<>();
  private final Map<LedgerMember, Long> leases = new TreeMap<>();
  private final List<Mail> mails = new ArrayList<>();
  private final Map<IdempotencyKey, List<Long>> runs = new HashMap<>();
  private final Map<IdempotencyKey, Long> told = new HashMap<>();
  private long membership = 1;
  private long now;
  private int serial;
  int started;
  int refused;

  LedgerWorld(long seed, double faults) {
    this.random = new Random(seed);
    this.faults = faults;
    for (int i = 0; i < DAEMONS; i++) {
      start(new DaemonId("d" + i));
    }
  }

  void run(int steps) {
    for (int step = 0; step < steps; step++) {
      now += random.nextInt(3);
      expireLeases();
      for (int i = 0; i < 4 && !mails.isEmpty(); i++) {
        deliver(mails.remove(random.nextInt(mails.size())));
      }
      Daemon daemon = daemons.get(new DaemonId("d" + random.nextInt(DAEMONS)));
      if (daemon.runs()) {
        live(daemon);
      }
      if (random.nextDouble() < faults) {
        disturb(daemon);
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
    look(daemon);
  }

  private void expireLeases() {
    if (leases.values().removeIf(until -> now >= until)) {
      membership++;
    }
  }

  private void look(Daemon daemon) {
    daemon.view = new LedgerView(membership, leases.keySet());
    send(daemon, daemon.ledger.membersChanged(daemon.view, now));
  }

  private void live(Daemon daemon) {
    if (!leases.containsKey(daemon.self)) {
      // A life whose lease has lapsed is over: its memory has gaps that it cannot see.
      start(daemon.self.daemon());
      return;
    }
    boolean reaches = now >= daemon.cutUntil;
    if (reaches && random.nextInt(2) == 0) {
      leases.put(daemon.self, now + LEASE + MARGIN);
      daemon.ledger.authorityUntil(now + LEASE);
    }
    if (reaches && random.nextInt(3) == 0) {
      look(daemon);
    }
    send(daemon, daemon.ledger.tick(now));
    if (random.nextInt(4) == 0) {
      IdempotencyKey key = new IdempotencyKey("k" + random.nextInt(6));
      Holder holder = new Holder(daemon.self, new OperationId("o" + ++serial));
      daemon.open.put(holder, new Use(key, holder, now));
      toHome(daemon, key, new LedgerMessage.Reserve(key, "body", holder));
    }
    List<Use> late = new ArrayList<>(daemon.open.values());
    late.stream().filter(use -> now >= use.until()).forEach(use -> notRun(daemon, use));
    for (Ended ended : daemon.ended.values()) {
      if (now >= ended.sendAt) {
        tell(daemon, ended);
      }
    }
  }

  private void disturb(Daemon daemon) {
    switch (random.nextInt(4)) {
      case 0 -> start(daemon.self.daemon());
      case 1 -> daemon.frozenUntil = now + random.nextInt(400);
      case 2 -> daemon.cutUntil = now + random.nextInt(400);
      default -> mails.removeIf(mail -> random.nextInt(2) == 0);
    }
  }

  private void notRun(Daemon daemon, Use use) {
    refused++;
    end(daemon, use, OutcomeClass.NOT_RUN);
  }

  private void end(Daemon daemon, Use use, OutcomeClass outcome) {
    daemon.open.remove(use.holder);
    Finish finish = new Finish(use.key, use.holder, outcome);
    Ended ended = new Ended(finish);
    daemon.ended.put(use.holder, ended);
    tell(daemon, ended);
  }

  private void tell(Daemon daemon, Ended ended) {
    ended.sendAt = now + ended.pause;
    ended.pause *= 2;
    toHome(daemon, ended.finish.key(), ended.finish);
  }

  private void toHome(Daemon daemon, IdempotencyKey key, LedgerMessage message) {
    new LedgerHomes(Ranking.rendezvous(), daemon.view.members())
        .home(key)
        .ifPresent(home -> send(daemon, List.of(new LedgerSend(home.daemon(), message))));
  }

  private void send(Daemon from, List<LedgerSend> sends) {
    for (LedgerSend send : sends) {
      mails.add(new Mail(from.self, send.to(), send.message()));
      if (random.nextInt(20) == 0) {
        mails.add(new Mail(from.self, send.to(), send.message()));
      }
    }
  }

  private void deliver(Mail mail) {
    Daemon to = daemons.get(mail.to);
    boolean cut = now < to.cutUntil || now < daemons.get(mail.from.daemon()).cutUntil;
    boolean loses = faults > 0 && random.nextInt(25) == 0;
    if ((cut && !to.self.equals(mail.from)) || loses) {
      return;
    }
    if (!to.runs()) {
      mails.add(mail);
    } else if (mail.message instanceof Answer answer) {
      answered(to, answer);
    } else if (mail.message instanceof AskHolder ask) {
      asked(to, mail.from.daemon(), ask);
    } else {
      send(to, to.ledger.receive(mail.from.daemon(), mail.message, now));
    }
  }

  private void asked(Daemon daemon, DaemonId home, AskHolder ask) {
    Ended ended = daemon.ended.get(ask.holder());
    LedgerMessage word = ended == null ? null : ended.finish;
    if (daemon.open.containsKey(ask.holder())) {
      word = new LedgerMessage.StillOpen(ask.key(), ask.holder(), ask.asker());
    } else if (word == null && ask.holder().entry().equals(daemon.self)) {
      word = new Finish(ask.key(), ask.holder(), OutcomeClass.UNKNOWN);
    }
    if (word != null) {
      send(daemon, List.of(new LedgerSend(home, word)));
    }
  }

  private void answered(Daemon daemon, Answer answer) {
    if (answer.step() == Step.FINISH && answer.refusal().isEmpty()) {
      daemon.ended.remove(answer.holder());
      return;
    }
    Use use = daemon.open.get(answer.holder());
    if (use == null || answer.step() == Step.FINISH) {
      return;
    }
    if (answer.refusal().isPresent()) {
      refused(use, answer.refusal().get());
      notRun(daemon, use);
    } else if (answer.step() == Step.RESERVE) {
      toHome(daemon, use.key, new LedgerMessage.MarkStart(use.key, use.holder));
    } else {
      ran(use);
      OutcomeClass outcome = random.nextInt(5) == 0 ? OutcomeClass.UNKNOWN : OutcomeClass.ANSWERED;
      told.put(use.key, now);
      end(daemon, use, outcome);
    }
  }

  /** A caller that was told of the end before it asked again is not told "in progress". */
  private void refused(Use use, ErrorKind kind) {
    Long at = told.get(use.key);
    if (kind != ErrorKind.KEY_IN_PROGRESS || at == null || now >= use.until()) {
      return;
    }
    boolean ended = at < use.since && now - at < SETTINGS.retentionMillis() - WAIT;
    Assertions.assertThat(ended)
        .as("%s ended at %d, asked at %d, in progress at %d", use.key, at, use.since, now)
        .isFalse();
  }

  private void ran(Use use) {
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

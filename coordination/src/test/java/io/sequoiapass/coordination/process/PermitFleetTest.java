package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointPermits;
import io.sequoiapass.coordination.connection.RoomEstimator;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a fleet that together sends an endpoint more than its limit, with delayed
 * messages, a coordinator that is lost, and daemons that are cut off from it.
 */
class PermitFleetTest {

  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final long STEP_MS = 10;
  private static final long ROUND_MS = 150;
  private static final long DEADLINE_MS = 1_500;
  private static final long WINDOW_MS = 4_000;
  private static final long DURATION_MS = 120_000;
  private static final long OUTAGE_FROM_MS = 40_000;
  private static final long OUTAGE_UNTIL_MS = 70_000;

  /** Time in which a daemon sends what it sent before it noticed an outage, in milliseconds. */
  private static final long NOTICE_MS = 1_000;

  /** Room for requests that wait at a brittle endpoint, and the rejections a second it bears. */
  private static final int BRITTLE_QUEUE = 3;

  private static final int MOST_REJECTED = 5;

  /** How the daemons share the limit. */
  private enum Sharing {
    /** Each request needs a permit. */
    PERMITS {
      @Override
      boolean admits(Fleet fleet, Daemon daemon) {
        return daemon.permits.take(fleet.now);
      }
    },
    /** Each daemon has an equal part of the limit. */
    EQUAL_PARTS {
      @Override
      boolean admits(Fleet fleet, Daemon daemon) {
        double filled = fleet.limit / fleet.daemons.size() * (fleet.now - daemon.filledAt) / 1_000;
        daemon.filledAt = fleet.now;
        daemon.level = Math.min(1, daemon.level + filled);
        boolean admitted = daemon.level >= 1;
        daemon.level -= admitted ? 1 : 0;
        return admitted;
      }
    },
    /** Each daemon admits the share of its requests that all may have of what all are asked. */
    SHARES_OF_DEMAND {
      @Override
      boolean admits(Fleet fleet, Daemon daemon) {
        boolean admitted = fleet.random.nextDouble() < Math.min(1, fleet.limit / fleet.askedPerS);
        if (!admitted) {
          daemon.waiting.poll();
        }
        return admitted;
      }
    };

    abstract boolean admits(Fleet fleet, Daemon daemon);
  }

  private record Event(long at, Runnable action) {}

  /** A daemon with a queue of requests that need the endpoint. */
  private static final class Daemon {
    private final DaemonId name;
    private final EndpointPermits permits;
    private final Deque<Long> waiting = new ArrayDeque<>();
    private boolean cut;
    private double level;
    private long filledAt = 1;

    Daemon(int number, Random random) {
      name = new DaemonId("d" + number);
      permits = new EndpointPermits(random::nextDouble);
    }
  }

  /** Plays one fleet. */
  private static final class Fleet {
    private final Random random;
    private final double limit;
    private final List<Daemon> daemons = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final List<Long> arrivals = new ArrayList<>();
    private PermitAllocator coordinator = new PermitAllocator();
    private final Sharing sharing;
    private int mostAtOnce = Integer.MAX_VALUE;
    private double askedPerS = 1_000;
    private double askedNow;
    private boolean valid = true;
    private long now = 1;

    Fleet(Sharing sharing, int size, double limit, long seed) {
      this.sharing = sharing;
      this.random = new Random(seed);
      this.limit = limit;
      for (int i = 0; i < size; i++) {
        Daemon daemon = new Daemon(i, random);
        daemon.permits.named(OptionalDouble.of(limit), 0, now);
        daemons.add(daemon);
      }
    }

    private void later(Runnable action) {
      events.add(new Event(now + 1 + random.nextInt(60), action));
    }

    void play(double requestsPerS) {
      while (now < DURATION_MS) {
        now += STEP_MS;
        outage();
        while (!events.isEmpty() && events.peek().at() <= now) {
          events.poll().action().run();
        }
        for (Daemon daemon : daemons) {
          if (random.nextDouble() < requestsPerS / daemons.size() * STEP_MS / 1_000) {
            daemon.waiting.add(now);
            askedNow++;
          }
          daemon.waiting.removeIf(since -> now - since > DEADLINE_MS);
          send(daemon);
        }
        if (now % ROUND_MS < STEP_MS) {
          endRound();
        }
      }
    }

    private void endRound() {
      askedPerS += 0.14 * (askedNow * 1_000 / ROUND_MS - askedPerS);
      askedNow = 0;
      if (valid) {
        grant();
      }
    }

    private void outage() {
      boolean out = now >= OUTAGE_FROM_MS && now < OUTAGE_UNTIL_MS;
      if (valid == out) {
        valid = !out;
        coordinator = new PermitAllocator();
      }
      // A third of the daemons is cut off from the coordinator before the outage.
      boolean someCut = now >= OUTAGE_FROM_MS - 15_000 && now < OUTAGE_FROM_MS;
      for (int i = 0; i < daemons.size(); i++) {
        daemons.get(i).cut = someCut && i % 3 == 0;
      }
    }

    private void send(Daemon daemon) {
      daemon.permits.coordinated(!daemon.cut, daemons.size(), now);
      while (!daemon.waiting.isEmpty() && sharing.admits(this, daemon)) {
        daemon.waiting.poll();
        arrivals.add(now);
      }
      if (!daemon.waiting.isEmpty() && !daemon.cut && daemon.permits.shouldAsk(now)) {
        daemon.permits.asked(now);
        long usefulMs = DEADLINE_MS - (now - daemon.waiting.peekLast());
        later(() -> ask(daemon, usefulMs));
      }
    }

    private void ask(Daemon daemon, long usefulMs) {
      if (!valid) {
        later(() -> daemon.permits.refused(now));
        return;
      }
      long waitMs = coordinator.ask(daemon.name, ENDPOINT, limit, mostAtOnce, usefulMs, now);
      later(() -> daemon.permits.queued(waitMs, now));
      grant();
    }

    private void grant() {
      for (PermitAllocator.Grant grant : coordinator.grant(now)) {
        Daemon daemon = daemons.get(Integer.parseInt(grant.daemon().value().substring(1)));
        later(() -> daemon.permits.granted(grant.gapMs(), now));
      }
    }

    int mostInWindow() {
      int most = 0;
      int from = 0;
      for (int i = 0; i < arrivals.size(); i++) {
        while (arrivals.get(i) - arrivals.get(from) >= WINDOW_MS) {
          from++;
        }
        most = Math.max(most, i - from + 1);
      }
      return most;
    }

    /**
     * Returns the most rejections in a second by an endpoint with so much room for the arrivals.
     */
    int mostRejectedInASecond(int slots, int queue, long workMs) {
      PriorityQueue<Long> slotsFreeAt = new PriorityQueue<>();
      for (int i = 0; i < slots; i++) {
        slotsFreeAt.add(0L);
      }
      Deque<Long> waitUntil = new ArrayDeque<>();
      Deque<Long> rejected = new ArrayDeque<>();
      int most = 0;
      for (long at : arrivals) {
        waitUntil.removeIf(until -> until <= at);
        long startsAt = Math.max(at, slotsFreeAt.peek());
        if (startsAt > at && waitUntil.size() >= queue) {
          rejected.add(at);
          rejected.removeIf(earlier -> at - earlier >= 1_000);
          most = Math.max(most, rejected.size());
          continue;
        }
        slotsFreeAt.poll();
        slotsFreeAt.add(startsAt + workMs);
        if (startsAt > at) {
          waitUntil.add(startsAt);
        }
      }
      return most;
    }

    double servedPerS(long fromMs, long untilMs) {
      long count = arrivals.stream().filter(at -> at >= fromMs && at < untilMs).count();
      return count * 1_000.0 / (untilMs - fromMs);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "8, 0.5",
    "8, 1",
    "8, 5",
    "89, 0.5",
    "89, 1",
    "89, 5",
    "400, 0.5",
    "400, 1",
    "400, 5",
    "400, 40"
  })
  void limitHoldsInEveryWindowAndIsUsed(int size, double limit) {
    for (long seed = 1; seed <= 5; seed++) {
      Fleet fleet = play(Sharing.PERMITS, size, limit, seed);

      assertThat(fleet.mostInWindow())
          .as("requests in %d ms, seed %d", WINDOW_MS, seed)
          .isLessThanOrEqualTo((int) (1.5 * limit * WINDOW_MS / 1_000 + 5));
      assertThat(connected(fleet)).as("served a second, seed %d", seed).isGreaterThan(limit / 2);
    }
  }

  /** Guards against a fleet that makes a brittle endpoint reject requests for want of room. */
  @ParameterizedTest
  @CsvSource({
    "8, 6, 64",
    "89, 6, 64",
    "400, 6, 64",
    "8, 96, 2000",
    "89, 48, 2000",
    "400, 96, 2000"
  })
  void brittleEndpointHasRoomForWhatItGets(int size, int slots, long workMs) {
    RoomEstimator room = new RoomEstimator();
    room.stated(OptionalInt.of(MOST_REJECTED), 0, 0);
    for (long seed = 1; seed <= 3; seed++) {
      double perS = room.requestsPerS(slots, (double) workMs, 10_000);
      Fleet fleet = new Fleet(Sharing.PERMITS, size, perS, seed);
      fleet.mostAtOnce = room.burst(slots);
      fleet.play(3 * perS);

      assertThat(fleet.mostRejectedInASecond(slots, BRITTLE_QUEUE, workMs))
          .as("rejected in a second, seed %d", seed)
          .isLessThanOrEqualTo(MOST_REJECTED);
    }
  }

  private static Fleet play(Sharing sharing, int size, double limit, long seed) {
    Fleet fleet = new Fleet(sharing, size, limit, seed);
    fleet.play(10 * limit);
    return fleet;
  }

  private static double connected(Fleet fleet) {
    return fleet.servedPerS(OUTAGE_UNTIL_MS + NOTICE_MS + WINDOW_MS, DURATION_MS);
  }

  /** Prints what each way of sharing serves and sends at most; run by hand. */
  @Test
  @EnabledIfSystemProperty(named = "permits.compare", matches = "true")
  void comparison() {
    for (int size : new int[] {8, 89, 400}) {
      for (double limit : new double[] {1, 5, 40}) {
        for (Sharing sharing : Sharing.values()) {
          Fleet fleet = play(sharing, size, limit, 1);
          System.out.printf(
              "%d daemons, limit %.0f, %s: most %d of %.0f, served %.2f a second, %.2f in the outage%n",
              size,
              limit,
              sharing,
              fleet.mostInWindow(),
              1.5 * limit * WINDOW_MS / 1_000 + 5,
              connected(fleet),
              fleet.servedPerS(OUTAGE_FROM_MS + NOTICE_MS, OUTAGE_UNTIL_MS));
        }
      }
    }
  }
}

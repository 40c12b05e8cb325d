package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that a daemon reads and can't serve while it gets most connections. */
class ConnectionSurgeFleetTest {

  private static final long CONTACT_MS = 4_000;
  private static final double MIN_SERVED = 0.75;

  /** What a daemon does that can't keep up. */
  private enum Way {
    NOTHING,
    WITHDRAW {
      @Override
      boolean isReady(Daemon daemon) {
        return !daemon.surge.isRefusing();
      }
    },
    REFUSE {
      @Override
      boolean isReady(Daemon daemon) {
        return !daemon.surge.isRefusing();
      }

      @Override
      boolean refuses() {
        return true;
      }
    };

    boolean isReady(Daemon daemon) {
      return true;
    }

    boolean refuses() {
      return false;
    }
  }

  private record Event(long atMicros, Runnable action) {}

  /** A piece of work on a daemon's only event loop. */
  private record Work(long micros, Runnable done) {}

  /** A daemon that has a scarce processor. */
  private static final class Daemon {
    private final ConnectionSurge surge = new ConnectionSurge(0);
    private final Deque<Work> queue = new ArrayDeque<>();
    private boolean isBusy;
    private int misses;
    private boolean isIn = true;
    private boolean isProbed;
  }

  /** Callers, a load balancer and daemons. */
  private static final class Fleet {
    private static final long MS = 1_000;
    private static final long PIECE_MICROS = 2_500;
    private static final long ACCEPT_MICROS = 100;
    private static final int PIECES = 6;
    private static final long PAUSE_MICROS = 60 * MS;
    private static final double REQUESTS_PER_S = 20;
    private static final double NEW_CONNECTIONS = 0.4;
    private static final double NEW_CONNECTIONS_IN_SURGE = 0.8;
    private static final double SURGE_SHARE = 0.9;
    private static final long DEADLINE_MICROS = 3_000 * MS;
    private static final long UNREAD_MICROS = 1_000 * MS;
    private static final int TRIES = 3;

    private final Way way;
    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private long micros;
    private int surgeSize;
    private double burst = 1;
    private int chosen;
    private int read;
    private int served;
    private int requests;
    private int answered;

    Fleet(int size, Way way) {
      this.way = way;
      this.random = new Random(1);
      for (int i = 0; i < size; i++) {
        Daemon daemon = new Daemon();
        daemons.add(daemon);
      }
      later(0, this::arrive);
      later(1_000 * MS, this::checkReadiness);
    }

    private long now() {
      return micros / MS;
    }

    private void later(long delay, Runnable action) {
      events.add(new Event(micros + delay, action));
    }

    private void scheduleProbe(Daemon daemon) {
      if (!daemon.isProbed && daemon.surge.wantsProbe()) {
        daemon.isProbed = true;
        long dueAt = micros + ConnectionSurge.PROBE_MS * MS;
        Work probe = new Work(0, () -> probed(daemon, (micros - dueAt) / MS));
        later(ConnectionSurge.PROBE_MS * MS, () -> add(daemon, probe));
      }
    }

    private void probed(Daemon daemon, long latenessMs) {
      daemon.isProbed = false;
      daemon.surge.probed(latenessMs, now());
      scheduleProbe(daemon);
    }

    private void checkReadiness() {
      for (Daemon daemon : daemons) {
        daemon.misses = way.isReady(daemon) ? 0 : daemon.misses + 1;
        daemon.isIn = daemon.misses < 2;
      }
      while (surgeSize > 0 && !daemons.get(chosen).isIn) {
        chosen = (chosen + 1) % surgeSize;
      }
      later(1_000 * MS, this::checkReadiness);
    }

    private void arrive() {
      double perS = REQUESTS_PER_S * daemons.size() * burst;
      later((long) (-Math.log(1 - random.nextDouble()) / perS * 1_000 * MS), this::arrive);
      int from = random.nextInt(daemons.size());
      boolean inSurge = from < surgeSize;
      double opened = inSurge ? NEW_CONNECTIONS_IN_SURGE : NEW_CONNECTIONS;
      boolean opens = random.nextDouble() < opened;
      requests++;
      int to = opens && inSurge && random.nextDouble() < SURGE_SHARE ? chosen : from;
      send(daemons.get(to), opens, micros, 1);
    }

    private void send(Daemon daemon, boolean opens, long firstSent, int attempt) {
      if (opens) {
        boolean isKept = daemon.surge.opened(now());
        scheduleProbe(daemon);
        add(daemon, new Work(ACCEPT_MICROS, () -> {}));
        if (!isKept && way.refuses()) {
          tryElsewhere(firstSent, attempt);
          return;
        }
      }
      long sent = micros;
      add(
          daemon,
          new Work(
              PIECE_MICROS,
              () -> {
                if (micros - sent > UNREAD_MICROS) {
                  tryElsewhere(firstSent, attempt);
                } else {
                  read++;
                  later(PAUSE_MICROS, () -> write(daemon, firstSent, PIECES - 1));
                }
              }));
    }

    private void tryElsewhere(long firstSent, int attempt) {
      if (attempt < TRIES) {
        Daemon other = daemons.get(random.nextInt(daemons.size()));
        later(20 * MS, () -> send(other, true, firstSent, attempt + 1));
      }
    }

    private void write(Daemon daemon, long firstSent, int left) {
      long dueAt = micros;
      add(
          daemon,
          new Work(
              PIECE_MICROS,
              () -> {
                if (micros - dueAt > UNREAD_MICROS || micros - firstSent > DEADLINE_MICROS) {
                  return;
                }
                if (left == 1) {
                  served++;
                  answered++;
                } else {
                  later(PAUSE_MICROS, () -> write(daemon, firstSent, left - 1));
                }
              }));
    }

    private void add(Daemon daemon, Work work) {
      daemon.queue.add(work);
      if (!daemon.isBusy) {
        next(daemon);
      }
    }

    private void next(Daemon daemon) {
      Work work = daemon.queue.poll();
      daemon.isBusy = work != null;
      if (work != null) {
        later(
            work.micros(),
            () -> {
              work.done().run();
              next(daemon);
            });
      }
    }

    /** Returns the share of requests served among those that daemons have read. */
    private double run(long ms) {
      long until = micros + ms * MS;
      read = 0;
      served = 0;
      requests = 0;
      answered = 0;
      while (!events.isEmpty() && events.peek().atMicros() < until) {
        Event event = events.poll();
        micros = event.atMicros();
        event.action().run();
      }
      return served / (double) Math.max(1, read);
    }
  }

  /**
   * What callers get.
   *
   * @param before the share served of the requests that were read, before the surge
   * @param during the same from {@link #CONTACT_MS} on
   * @param answered the share of all requests that were answered during the surge, at any attempt
   */
  private record Figures(double before, double during, double answered) {
    static Figures of(int size, int surgeSize, Way way) {
      Fleet fleet = new Fleet(size, way);
      fleet.run(2_000);
      double before = fleet.run(6_000);
      fleet.surgeSize = surgeSize;
      fleet.run(CONTACT_MS);
      double during = fleet.run(8_000);
      return new Figures(before, during, fleet.answered / (double) fleet.requests);
    }
  }

  @Nested
  class MostConnectionsOfManyDaemons {

    @ParameterizedTest
    @CsvSource({"6,2", "6,6", "89,30", "89,89", "400,18", "400,66", "400,400"})
    void areServedOrRefusedUnread(int size, int surgeSize) {
      Figures refused = Figures.of(size, surgeSize, Way.REFUSE);
      Figures accepted = Figures.of(size, surgeSize, Way.NOTHING);

      assertThat(refused.during()).isGreaterThanOrEqualTo(MIN_SERVED * refused.before());
      assertThat(refused.answered()).isGreaterThanOrEqualTo(accepted.answered());
    }
  }

  @Nested
  class BurstAtAllDaemons {

    @Test
    void isNotServedLessOften() {
      for (double x : new double[] {2, 3, 4, 6}) {
        List<Double> shares = new ArrayList<>();
        for (Way way : List.of(Way.NOTHING, Way.REFUSE)) {
          Fleet fleet = new Fleet(12, way);
          fleet.run(6_000);
          fleet.burst = x;
          fleet.run(8_000);
          shares.add(fleet.answered / (double) fleet.requests);
        }

        assertThat(shares.get(1)).isGreaterThanOrEqualTo(shares.get(0));
      }
    }
  }
}

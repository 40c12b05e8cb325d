package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleBiFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointSpeedsTest {

  private static final DataCentreId HERE = new DataCentreId("north");
  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final ModelId MODEL = new ModelId("base");
  private static final EndpointId SLOW = new EndpointId("e0");
  private static final EndpointId OTHER = new EndpointId("e1");

  private static final int RUNS = 4;

  private final SpeedTable table = new SpeedTable();
  private final SpeedUpdates updates = new SpeedUpdates(true, 12);
  private final SharedSpeeds shared = new SharedSpeeds();

  private static EndpointEntry entry(EndpointId id, long startTimeMs) {
    return new EndpointEntry(
        id,
        SERVICE,
        new InetSocketAddress(9000),
        HERE,
        64,
        false,
        startTimeMs,
        SoftwareVersion.UNSTATED,
        List.of(new EndpointEntry.HeldModel(MODEL, 1, Map.of())));
  }

  private static RoomMessage.SpeedSamples samples(EndpointId id, int count, long actualMs) {
    return new RoomMessage.SpeedSamples(id, 1, count, actualMs, count * 100L);
  }

  /** Reports one engine that is twice as slow as the other for some seconds; returns the end. */
  private long reportSlowEngine() {
    long now = 0;
    for (; now < 5_000; now += 150) {
      table.add(SERVICE, samples(SLOW, 2, 400), now);
      table.add(SERVICE, samples(OTHER, 2, 200), now);
      send(now);
    }
    return now;
  }

  private void send(long now) {
    updates
        .due(table.speeds(now), now)
        .ifPresent(message -> shared.update(HERE, message, id -> true, now));
  }

  private double slowdown(EndpointId id, long now) {
    return shared.slowdown(HERE, id, 1, now);
  }

  /**
   * Engines in a queue each, of speeds 0.55 and 1.2, of which 15 in 100 are 2.5 times slower for
   * spells of 0.6 s, at 0.45 of what they can read. Each request goes to the one of four engines
   * that is expected to be first, with unread prompts known as of the last report.
   */
  private static final class Fleet {
    private static final double READ_MS = 208;
    private static final long RUN_MS = 40_000;
    private static final double LOAD = 0.45;
    private static final double TARGET_MS = 1_015;

    private final Random random;
    private final SpeedTable table = new SpeedTable();
    private final SpeedUpdates updates = new SpeedUpdates(true, 12);
    private final SharedSpeeds shared = new SharedSpeeds();
    private final List<SpeedReporter> daemons = new ArrayList<>();
    private final List<EndpointEntry> entries = new ArrayList<>();
    private final double[] freeAt;
    private final double[] queuedMs;
    private final double[] reportedMs;
    private final long[] spellUntil;
    private final List<Runnable> due = new ArrayList<>();
    private final List<Double> dueAt = new ArrayList<>();
    private final long intervalMs;
    private long now;
    private int sent;
    private int inTime;

    Fleet(int daemonCount, int engines, long seed) {
      random = new Random(seed);
      for (int i = 0; i < daemonCount; i++) {
        daemons.add(new SpeedReporter());
      }
      for (int i = 0; i < engines; i++) {
        entries.add(entry(new EndpointId("e" + i), 1));
      }
      freeAt = new double[engines];
      queuedMs = new double[engines];
      reportedMs = new double[engines];
      spellUntil = new long[engines];
      intervalMs = BroadcastInterval.intervalMs(daemonCount);
    }

    double lasting(int engine) {
      return 1 / (engine % 4 == 0 ? 0.55 : 1.2);
    }

    double actual(int engine) {
      return lasting(engine) * (now < spellUntil[engine] ? 2.5 : 1);
    }

    double known(int engine) {
      return shared.slowdown(HERE, entries.get(engine).endpoint(), 1, now);
    }

    /** Returns the share of requests that are served in time by a choice with given speeds. */
    double run(ToDoubleBiFunction<Fleet, Integer> speed) {
      for (; now < RUN_MS; now += 10) {
        for (int engine = 0; engine < freeAt.length; engine++) {
          // 0.15 of the time in spells of 600 ms.
          if (now >= spellUntil[engine] && random.nextDouble() < 10 / 3_400.0) {
            spellUntil[engine] = now + 600;
          }
          if (random.nextDouble() < LOAD * 10 / READ_MS) {
            request(speed);
          }
        }
        runDue();
        if (now % intervalMs == 0) {
          report();
        }
      }
      return (double) inTime / sent;
    }

    private void request(ToDoubleBiFunction<Fleet, Integer> speed) {
      int best = -1;
      double least = Double.MAX_VALUE;
      for (int i = 0; i < 4; i++) {
        int engine = random.nextInt(freeAt.length);
        double ms = (reportedMs[engine] + READ_MS) * speed.applyAsDouble(this, engine);
        if (ms < least) {
          least = ms;
          best = engine;
        }
      }
      int engine = best;
      double workMs = READ_MS * actual(engine) * (0.7 + 0.6 * random.nextDouble());
      double startsAt = Math.max((double) now, freeAt[engine]);
      freeAt[engine] = startsAt + workMs;
      sent++;
      inTime += freeAt[engine] - now <= TARGET_MS ? 1 : 0;
      SpeedReporter daemon = daemons.get(random.nextInt(daemons.size()));
      dueAt.add(freeAt[engine]);
      queuedMs[engine] += READ_MS;
      due.add(
          () -> {
            queuedMs[engine] -= READ_MS;
            daemon.add(entries.get(engine), workMs, READ_MS, now);
          });
    }

    private void runDue() {
      for (int i = due.size() - 1; i >= 0; i--) {
        if (dueAt.get(i) <= now) {
          due.get(i).run();
          due.remove(i);
          dueAt.remove(i);
        }
      }
    }

    private void report() {
      daemons.forEach(
          daemon -> daemon.take(HERE, now).forEach(one -> table.add(SERVICE, one, now)));
      updates
          .due(table.speeds(now), now)
          .ifPresent(message -> shared.update(HERE, message, id -> true, now));
      System.arraycopy(queuedMs, 0, reportedMs, 0, freeAt.length);
    }

    /** Returns the largest error of a class of lasting speeds, after removal of a common factor. */
    double classError() {
      double[] sum = new double[2];
      int[] count = new int[2];
      for (int engine = 0; engine < freeAt.length; engine++) {
        EndpointId id = entries.get(engine).endpoint();
        Optional<RoomMessage.EndpointSpeed> speed = table.speed(id, now);
        sum[engine % 4 == 0 ? 0 : 1] += speed.map(RoomMessage.EndpointSpeed::lasting).orElse(1.0);
        count[engine % 4 == 0 ? 0 : 1]++;
      }
      double ratio = sum[0] / count[0] / (sum[1] / count[1]);
      return Math.abs(ratio / (lasting(0) / lasting(1)) - 1);
    }
  }

  @Nested
  class UnderLoad {

    /** Guards against a choice that does not use the speeds that all daemons together know. */
    @ParameterizedTest
    @CsvSource({"8, 6", "87, 63", "400, 130"})
    void nearlyAsManyAreInTimeAsWithTheTrueSpeeds(int daemons, int engines) {
      double known = 0;
      double ignored = 0;
      double exact = 0;
      for (int seed = 0; seed < RUNS; seed++) {
        known += new Fleet(daemons, engines, seed).run(Fleet::known) / RUNS;
        ignored += new Fleet(daemons, engines, seed).run((fleet, engine) -> 1) / RUNS;
        exact += new Fleet(daemons, engines, seed).run(Fleet::actual) / RUNS;
      }

      assertThat(known).isGreaterThan(exact - 0.05).isGreaterThan(ignored + 0.008);
    }

    /** Guards against lasting speeds that are confused with spells. */
    @ParameterizedTest
    @CsvSource({"8, 6", "87, 63", "400, 130"})
    void lastingSpeedIsEstimated(int daemons, int engines) {
      Fleet fleet = new Fleet(daemons, engines, 1);
      fleet.run(Fleet::known);

      assertThat(fleet.classError()).isLessThan(0.15);
    }

    /** Guards against updates beyond what a daemon may receive. */
    @Test
    void changesAreBoundedWhenAllSpeedsChange() {
      int changes = 0;
      Random random = new Random(3);
      for (long now = 0; now < 60_000; now += 450) {
        List<RoomMessage.EndpointSpeed> speeds = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
          double speed = 0.2 + 4 * random.nextDouble();
          speeds.add(new RoomMessage.EndpointSpeed(new EndpointId("e" + i), 1, speed, speed));
        }
        int round = updates.due(speeds, now).map(message -> message.speeds().size()).orElse(0);
        assertThat(round).isLessThanOrEqualTo(SpeedUpdates.MAX_CHANGES);
        changes += round;
      }

      assertThat(changes).isLessThanOrEqualTo(60 * 12 + SpeedUpdates.MAX_CHANGES);
    }
  }

  /** Guards against an effect where all endpoints are alike. */
  @Test
  void nothingIsSentWhileSpeedsAreEven() {
    for (long now = 0; now < 5_000; now += 150) {
      table.add(SERVICE, samples(SLOW, 2, 250), now);
      table.add(SERVICE, samples(OTHER, 2, 250), now);
      assertThat(updates.due(table.speeds(now), now)).isEmpty();
    }
  }

  /** Guards against a daemon that uses only its own few samples of an engine. */
  @Nested
  class ChoiceOfDaemonWithoutSamples {

    private final EndpointGroup group =
        new EndpointGroup(HERE, new AdapterVersions(2_500), dataCentre -> {}, () -> 0);

    @BeforeEach
    void othersReportOneAsSlow() {
      group.put(entry(SLOW, 1), true, 0);
      group.put(entry(OTHER, 1), true, 0);
      group.useSpeeds(
          new EndpointSpeeds() {
            @Override
            public void sample(EndpointEntry entry, double actualMs, double expectedMs, long now) {}

            @Override
            public double slowdown(EndpointEntry entry, long now) {
              return entry.endpoint().equals(SLOW) ? 4 : 1;
            }
          });
    }

    private EndpointId chosen(Optional<Generation> generation) {
      Demand demand =
          new Demand(
              generation, Set.of(), Optional.empty(), PlanFixtures.FLOW, ReusePolicy.ANY, 5_000);
      EndpointChooser.Loadable loadable = new EndpointChooser.Loadable(List.of(HERE), Map.of());
      return ((Choice.Send) group.choose(demand, loadable, 0)).candidate().endpoint();
    }

    @Test
    void slowEngineGetsNoRequest() {
      Generation generation = new Generation(MODEL, Optional.empty(), 600, 70, List.of());

      assertThat(chosen(Optional.of(generation))).isEqualTo(OTHER);
    }

    @Test
    void slowServiceGetsNoCall() {
      assertThat(chosen(Optional.empty())).isEqualTo(OTHER);
    }

    @Test
    void slowEngineIsPlannedWithItsReadingSpeed() {
      assertThat(group.tokensPerMs(OTHER, 0) / group.tokensPerMs(SLOW, 0)).isEqualTo(4);
    }
  }

  @Nested
  class Failures {

    /** Guards against an engine that is avoided for good: it gets no requests, so no samples. */
    @Test
    void endpointWithoutSamplesCountsAsUsualAfterAWhile() {
      long now = reportSlowEngine();
      for (long at = now; at < now + 120_000; at += 150) {
        table.add(SERVICE, samples(OTHER, 2, 200), at);
      }

      assertThat(table.speed(SLOW, now + 120_000).orElseThrow().lasting())
          .isCloseTo(1, within(0.1));
    }

    /** Guards against speeds that stay in use when reports of a coordinator stop. */
    @Test
    void speedsLapseWithoutMessages() {
      long now = reportSlowEngine();
      assertThat(slowdown(SLOW, now)).isGreaterThan(1.2);

      assertThat(slowdown(SLOW, now + SharedSpeeds.LASTING_MS + 1)).isEqualTo(1);
    }

    /** Guards against a spell that is taken for lasting when the coordinator's link is lost. */
    @Test
    void lastingSpeedHoldsWhenTheLinkIsLost() {
      RoomMessage.EndpointSpeed spell = new RoomMessage.EndpointSpeed(SLOW, 1, 1.3, 4);
      shared.update(HERE, new RoomMessage.Speeds(true, List.of(spell)), id -> true, 0);
      assertThat(slowdown(SLOW, 1)).isEqualTo(4);

      shared.lost(HERE);

      assertThat(slowdown(SLOW, 1)).isEqualTo(1.3);
    }

    /** Guards against daemons that all send to the endpoint which seems faster by chance. */
    @Test
    void smallDifferencesDoNotCount() {
      RoomMessage.EndpointSpeed speed = new RoomMessage.EndpointSpeed(SLOW, 1, 0.85, 1.2);
      shared.update(HERE, new RoomMessage.Speeds(true, List.of(speed)), id -> true, 0);

      assertThat(slowdown(SLOW, 1)).isEqualTo(1);
      assertThat(slowdown(SLOW, SharedSpeeds.CURRENT_MS + 1)).isEqualTo(1);
    }

    /** Guards against a new process that is avoided for the speed of its predecessor. */
    @Test
    void newProcessUnderTheSameNameStartsAnew() {
      long now = reportSlowEngine();

      assertThat(shared.slowdown(HERE, SLOW, 2, now)).isEqualTo(1);
      table.add(SERVICE, new RoomMessage.SpeedSamples(SLOW, 2, 1, 80, 100), now);
      assertThat(table.speed(SLOW, now).orElseThrow().lasting()).isLessThan(1);
    }

    /** Guards against a daemon that knows no speeds until they change. */
    @Test
    void daemonThatJustStartedGetsAllSpeeds() {
      long now = reportSlowEngine();
      SharedSpeeds started = new SharedSpeeds();

      started.update(HERE, updates.snapshot(table.speeds(now)), id -> true, now);

      assertThat(started.slowdown(HERE, SLOW, 1, now)).isGreaterThan(1.2);
    }

    /** Guards against a report that distorts speeds by impossible times. */
    @ParameterizedTest
    @CsvSource({"-1, 100, 100", "0, 0, 0", "1, -5, 100", "1, 100, -5", "1, 900000000, 900000000"})
    void impossibleReportChangesNothing(int count, long actualMs, long expectedMs) {
      long now = reportSlowEngine();
      List<RoomMessage.EndpointSpeed> before = table.speeds(now);

      RoomMessage.SpeedSamples bad =
          new RoomMessage.SpeedSamples(SLOW, 1, count, actualMs, expectedMs);

      assertThat(table.add(SERVICE, bad, now)).isFalse();
      assertThat(table.speeds(now)).isEqualTo(before);
    }

    /** Guards against a sample that no request can have taken. */
    @ParameterizedTest
    @CsvSource({"-1, 100", "NaN, 100", "100, 0", "1e12, 100"})
    void impossibleSampleIsDropped(double actualMs, double expectedMs) {
      SpeedReporter reporter = new SpeedReporter();

      assertThat(reporter.add(entry(SLOW, 1), actualMs, expectedMs, 0)).isFalse();
      assertThat(reporter.take(HERE, 0)).isEmpty();
    }
  }
}

package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What each priority and workspace gets while a service is short of engine time. */
class AdmissionLoadTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId HERE = new DataCentreId("north");
  private static final double CAPACITY_PER_S = 150;
  private static final int WORKSPACES = 16;

  /**
   * In an order that is the same in each run, since the order in which requests are drawn counts.
   */
  private static final SortedMap<Integer, Double> USUAL_PER_S =
      new TreeMap<>(Map.of(0, 40.0, 1, 10.0, 2, 70.0)).descendingMap();

  private static WorkspaceId workspace(int number) {
    return new WorkspaceId("w" + number);
  }

  private static boolean isOneOf(Flow flow, int workspaces) {
    for (int i = 0; i < workspaces; i++) {
      if (flow.workspace().equals(Optional.of(workspace(i)))) {
        return true;
      }
    }
    return false;
  }

  /** Daemons before engines that serve in order of arrival; messages take 150 ms. */
  private static final class Fleet {

    private static final long DELAY_MS = 150;
    private static final long STEP_MS = 10;
    private static final long TARGET_MS = 1_000;
    private static final long DEADLINE_MS = 5_000;

    private final Random random = new Random(7);
    private final List<AdmissionControl> controls = new ArrayList<>();
    private final List<FlowDemandCounter> counters = new ArrayList<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Deque<Message> messages = new ArrayDeque<>();
    private final FlowDemandTable table = new FlowDemandTable();
    private final ServiceShortage shortage = new ServiceShortage();
    private final Map<Flow, double[]> asked = new HashMap<>();
    private double capacityPerS = CAPACITY_PER_S;
    private double served;
    private long now;
    private int statements;

    private record Waiting(int daemon, FlowDemandCounter.Key key, long since, boolean isCounted) {}

    private record Message(long at, Runnable action) {}

    Fleet(int daemons) {
      for (int i = 0; i < daemons; i++) {
        AdmissionControl control =
            new AdmissionControl((service, at) -> Set.of(HERE), random::nextDouble);
        controls.add(control);
        counters.add(new FlowDemandCounter(() -> control.isAnyShort(now)));
      }
    }

    void play(long forMs, ToDoubleFunction<Flow> factor, boolean isCounted) {
      long roundMs = BroadcastInterval.intervalMs(controls.size());
      for (long end = now + forMs; now < end; now += STEP_MS) {
        while (!messages.isEmpty() && messages.peek().at() <= now) {
          messages.poll().action().run();
        }
        for (int i = 0; i < counters.size(); i++) {
          if (now % roundMs == i * STEP_MS % roundMs) {
            report(counters.get(i));
          }
        }
        if (now % roundMs == 0) {
          decide();
        }
        for (int workspace = 0; workspace < WORKSPACES; workspace++) {
          for (var kind : USUAL_PER_S.entrySet()) {
            Flow flow = Flow.of(kind.getKey(), Optional.of(workspace(workspace)));
            double mean = kind.getValue() / WORKSPACES * factor.applyAsDouble(flow);
            for (double left = mean * STEP_MS / 1_000; random.nextDouble() < left; left--) {
              arrive(flow, isCounted);
            }
          }
        }
        serve();
      }
    }

    private void report(FlowDemandCounter counter) {
      Optional<LinkMessage> report = counter.report(HERE, now);
      if (report.isPresent()) {
        RoomMessage.DemandReport demand = (RoomMessage.DemandReport) report.get();
        Runnable receive = () -> demand.flows().forEach(one -> table.add(one, now));
        messages.add(new Message(now + DELAY_MS, receive));
      }
    }

    private void decide() {
      double waitMs = queue.size() * 1_000 / capacityPerS;
      FlowDemandTable.Rates rates = table.rates(Room.ENGINE_TIME, now);
      shortage
          .update(waitMs / (0.5 * TARGET_MS), rates, now)
          .ifPresent(
              admission -> {
                statements++;
                RoomMessage.Shortage stated =
                    new RoomMessage.Shortage(
                        SERVICE, Room.ENGINE_TIME, 1, admission.retryAfterMs(), admission.shares());
                RoomMessage.Shortages message = new RoomMessage.Shortages(List.of(stated));
                Runnable receive = () -> controls.forEach(one -> one.receive(HERE, message, now));
                messages.add(new Message(now + DELAY_MS, receive));
              });
    }

    private void arrive(Flow flow, boolean isCounted) {
      int daemon = random.nextInt(controls.size());
      if (isCounted) {
        asked.computeIfAbsent(flow, any -> new double[2])[0]++;
      }
      FlowDemandCounter.Key key = new FlowDemandCounter.Key(SERVICE, flow, true);
      if (controls.get(daemon).check(SERVICE, flow, true, now).isPresent()) {
        counters.get(daemon).refused(key);
      } else {
        counters.get(daemon).admitted(key);
        queue.add(new Waiting(daemon, key, now, isCounted));
      }
    }

    private void serve() {
      served = queue.isEmpty() ? 0 : served + capacityPerS * STEP_MS / 1_000;
      while (!queue.isEmpty()) {
        Waiting next = queue.peek();
        boolean left = now - next.since() > DEADLINE_MS;
        if (!left && served < 1) {
          return;
        }
        queue.poll();
        served -= left ? 0 : 1;
        counters.get(next.daemon()).ended(next.key(), !left);
        if (next.isCounted() && now - next.since() <= TARGET_MS) {
          asked.get(next.key().flow())[1]++;
        }
      }
    }

    /** Returns the part of the requests of some flows that was served in time. */
    double inTime(Predicate<Flow> flows) {
      double all = 0;
      double inTime = 0;
      for (var entry : asked.entrySet()) {
        if (flows.test(entry.getKey())) {
          all += entry.getValue()[0];
          inTime += entry.getValue()[1];
        }
      }
      return inTime / all;
    }

    double inTime(int priority) {
      return inTime(flow -> flow.priority() == priority);
    }
  }

  /** Plays ten seconds of a load, of which the first three are not counted. */
  private static Fleet played(int daemons, double capacityPerS, ToDoubleFunction<Flow> factor) {
    Fleet fleet = new Fleet(daemons);
    fleet.play(5_000, flow -> 1, false);
    fleet.capacityPerS = capacityPerS;
    fleet.play(3_000, factor, false);
    fleet.play(10_000, factor, true);
    fleet.play(3_000, flow -> 0, false);
    return fleet;
  }

  @Nested
  class PlainLoad {

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void isNoShortage(int daemons) {
      Fleet fleet = played(daemons, CAPACITY_PER_S, flow -> 1);

      assertThat(fleet.statements).isZero();
      assertThat(fleet.inTime(flow -> true)).isEqualTo(1);
    }
  }

  @Nested
  class BurstOfTheLeastUrgentKind {

    private static double factor(Flow flow) {
      return flow.priority() == 2 ? 2.5 : 1;
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void leavesUrgentRequestsAlone(int daemons) {
      Fleet fleet = played(daemons, CAPACITY_PER_S, BurstOfTheLeastUrgentKind::factor);

      assertThat(fleet.inTime(0)).isGreaterThan(0.95);
      assertThat(fleet.inTime(1)).isGreaterThan(0.95);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void getsWhatIsLeft(int daemons) {
      Fleet fleet = played(daemons, CAPACITY_PER_S, BurstOfTheLeastUrgentKind::factor);

      assertThat(fleet.inTime(2)).isGreaterThan(0.9 * (150 - 50) / 175);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void starvesNoKindWhileAQuarterOfTheEnginesIsGone(int daemons) {
      Fleet fleet = played(daemons, 0.75 * CAPACITY_PER_S, BurstOfTheLeastUrgentKind::factor);

      assertThat(fleet.inTime(0)).isGreaterThan(0.95);
      assertThat(fleet.inTime(2)).isGreaterThan(0.25 * fleet.inTime(flow -> true));
    }
  }

  @Nested
  class WorkspacesThatSendSeveralTimesTheirUsual {

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void oneTakesNothingOfTheOthers(int daemons) {
      assertOthersKeep(daemons, flow -> isOneOf(flow, 1) ? 7 : 1, CAPACITY_PER_S);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void threeTakeNothingOfTheOthers(int daemons) {
      assertOthersKeep(
          daemons, flow -> flow.priority() == 2 && isOneOf(flow, 3) ? 7 : 1, CAPACITY_PER_S);
    }

    /** The usual load is lower by as much, so that there is room for all but the three. */
    @ParameterizedTest
    @ValueSource(ints = {8, 66, 400})
    void threeTakeNothingOfTheOthersWhileAQuarterOfTheEnginesIsGone(int daemons) {
      assertOthersKeep(
          daemons,
          flow -> flow.priority() == 2 && isOneOf(flow, 3) ? 0.75 * 4 : 0.75,
          0.75 * CAPACITY_PER_S);
    }

    private static void assertOthersKeep(
        int daemons, ToDoubleFunction<Flow> factor, double capacityPerS) {
      ToDoubleFunction<Flow> usual = flow -> Math.min(1, factor.applyAsDouble(flow));
      Fleet without = played(daemons, capacityPerS, usual);
      Fleet with = played(daemons, capacityPerS, factor);

      Predicate<Flow> others = flow -> factor.applyAsDouble(flow) <= 1;
      assertThat(with.inTime(others)).isGreaterThan(without.inTime(others) - 0.02);
    }
  }
}

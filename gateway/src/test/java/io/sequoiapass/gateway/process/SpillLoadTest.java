package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Three data centres whose demand swings by half within 15 s, each a third of a wave after the one
 * before, and the first of which has a quarter more; reports are 150 to 450 ms old.
 */
class SpillLoadTest {

  private static final int PLACES = 3;
  private static final int TICK_MS = 10;
  private static final int SERVICE_MS = 50;
  private static final int TARGET_MS = 200;
  private static final int WAVES = 4;
  private static final int END_MS = WAVES * 15_000;
  private static final double MEAN_USE = 0.72;

  /** Change of a share that counts as a turn, a tenth of the demand. */
  private static final double TURN = 0.1;

  private record Running(int natural, long endsAt) {}

  private record Waiting(int natural, long since) {}

  /** Slots of one data centre, with requests in order of arrival. */
  private static final class Place {
    private final Deque<Running> running = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final List<Integer> loads = new ArrayList<>();
    private final List<Map<DataCentreId, Integer>> uses = new ArrayList<>();
  }

  private static final class Model {
    private final int slots;
    private final int intervalMs;
    private final boolean planned;
    private final Random random = new Random(7);
    private final List<Place> places = new ArrayList<>();
    private final List<SpillPlan> plans = new ArrayList<>();
    private final List<Map<DataCentreId, Double>> shares = new ArrayList<>();
    private final double[] turnedAt = new double[PLACES];
    private final int[] direction = new int[PLACES];
    private int turns;
    private int mutual;
    private long inTime;
    private long crossed;

    private final EndpointChooser chooser =
        new EndpointChooser(new LoadUncertainty(random::nextDouble));

    private Model(int slots, int intervalMs, boolean planned) {
      this.slots = slots;
      this.intervalMs = intervalMs;
      this.planned = planned;
      for (int i = 0; i < PLACES; i++) {
        places.add(new Place());
        chooser.loadReported(intervalMs);
        plans.add(new SpillPlan(id(i)));
        shares.add(Map.of());
      }
    }

    private Model run() {
      for (long now = 0; now < END_MS; now += TICK_MS) {
        for (Place place : places) {
          serve(place, now);
        }
        for (int i = 0; i < PLACES; i++) {
          double wave = 1 + 0.25 * Math.sin(2 * Math.PI * (now / 15_000.0 - (double) i / PLACES));
          double mean =
              slots * MEAN_USE * (i == 0 ? 1.25 : 1) * wave * TICK_MS / (double) SERVICE_MS;
          int arrivals = (int) (mean + random.nextDouble());
          for (int n = 0; n < arrivals; n++) {
            arrive(i, now);
          }
        }
        if (planned && now % intervalMs == 0) {
          plan(now);
        }
      }
      return this;
    }

    private void serve(Place place, long now) {
      place.running.removeIf(one -> one.endsAt() <= now);
      while (place.running.size() < slots && !place.waiting.isEmpty()) {
        Waiting next = place.waiting.poll();
        inTime += now - next.since() + SERVICE_MS <= TARGET_MS ? 1 : 0;
        place.running.add(new Running(next.natural(), now + SERVICE_MS));
      }
      place.loads.add(place.running.size() + place.waiting.size());
      Map<DataCentreId, Integer> uses = new HashMap<>();
      place.running.forEach(one -> uses.merge(id(one.natural()), 1, Integer::sum));
      place.waiting.forEach(one -> uses.merge(id(one.natural()), 1, Integer::sum));
      int total = place.running.size() + place.waiting.size();
      double part = Math.min(1, slots * SpillPlan.MOST_USED / Math.max(1, total));
      uses.replaceAll((any, used) -> (int) (used * part));
      place.uses.add(uses);
    }

    private Candidate candidate(int place, boolean near, int running) {
      Load load = new Load(running, 0, 0, 0);
      EndpointId endpoint = new EndpointId("pool-" + place);
      return new Candidate(endpoint, id(place), near, slots, load, 0, 0, 0, false, 1, 0, 0);
    }

    /** A daemon sends a request where the choice of endpoints would, by its last report. */
    private void arrive(int natural, long now) {
      int ageMs = 150 + random.nextInt(300);
      int place = natural;
      double draw = random.nextDouble();
      for (Map.Entry<DataCentreId, Double> share : shares.get(natural).entrySet()) {
        place = draw >= 0 && draw < share.getValue() ? index(share.getKey()) : place;
        draw -= share.getValue();
      }
      List<Candidate> candidates = new ArrayList<>();
      for (int i = 0; i < PLACES; i++) {
        List<Integer> loads = places.get(i).loads;
        int known = loads.get(Math.max(0, loads.size() - 1 - ageMs / TICK_MS));
        candidates.add(candidate(i, i == natural, known));
      }
      boolean isShared = !shares.get(natural).isEmpty();
      SpillRoute route = new SpillRoute(id(natural), id(place));
      Choice.Send choice =
          (Choice.Send)
              chooser.forCall(
                  isShared ? route.weigh(candidates, SERVICE_MS) : candidates, SERVICE_MS, 60_000);
      int best = index(choice.candidate().dataCentre());
      crossed += best == natural ? 0 : 1;
      places.get(best).waiting.add(new Waiting(natural, now));
    }

    private void plan(long now) {
      Map<DataCentreId, SpillPlan.Load> loads = new HashMap<>();
      for (int i = 0; i < PLACES; i++) {
        List<Map<DataCentreId, Integer>> uses = places.get(i).uses;
        Map<DataCentreId, Integer> known =
            uses.get(Math.max(0, uses.size() - 1 - intervalMs / TICK_MS));
        loads.put(id(i), new SpillPlan.Load(slots, known, SpillPlan.sends(shares.get(i), id(i))));
      }
      for (int i = 0; i < PLACES; i++) {
        shares.set(i, plans.get(i).update(loads, now));
        for (DataCentreId to : shares.get(i).keySet()) {
          mutual += index(to) != i && shares.get(index(to)).containsKey(id(i)) ? 1 : 0;
        }
        countTurns(i, 1 - shares.get(i).getOrDefault(id(i), 1.0));
      }
    }

    private void countTurns(int place, double share) {
      double change = share - turnedAt[place];
      int sign = (int) Math.signum(change);
      if (sign == direction[place]) {
        turnedAt[place] = share;
      } else if (Math.abs(change) >= TURN) {
        turnedAt[place] = share;
        direction[place] = sign;
        turns++;
      }
    }
  }

  private static DataCentreId id(int place) {
    return new DataCentreId("dc" + place);
  }

  private static int index(DataCentreId id) {
    return Integer.parseInt(id.value().substring(2));
  }

  /** A slot of the largest fleet stands for a hundred. */
  @ParameterizedTest
  @CsvSource({"8, 12, 150", "87, 126, 450", "400, 240, 450"})
  void servesMoreInTimeAndCrossesLessThanEachRequestAlone(int daemons, int slots, int intervalMs) {
    Model alone = new Model(slots, intervalMs, false).run();
    Model planned = new Model(slots, intervalMs, true).run();

    assertThat(planned.inTime).as("in time at %d daemons", daemons).isGreaterThan(alone.inTime);
    assertThat(planned.crossed).as("crossings").isLessThan(alone.crossed);
    assertThat(planned.turns).as("up and down once a wave").isLessThanOrEqualTo(2 * WAVES * PLACES);
    assertThat(planned.mutual).isZero();
  }
}

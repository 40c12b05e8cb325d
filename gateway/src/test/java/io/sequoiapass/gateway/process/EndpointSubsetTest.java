package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointSubsetTest {

  private static final DaemonId DAEMON = new DaemonId("d1");

  private static List<EndpointId> endpoints(int count) {
    return IntStream.range(0, count).mapToObj(i -> new EndpointId("e" + i)).toList();
  }

  @Test
  void growsWithConcurrency() {
    EndpointSubset subset = EndpointSubset.rank(DAEMON, endpoints(21));

    assertThat(subset.size(2, 63)).isEqualTo(2);
    assertThat(subset.size(12, 63)).isEqualTo(4);
    assertThat(subset.size(500, 63)).isEqualTo(21);
  }

  /** A daemon that is cut off from its members would otherwise fail its requests there. */
  @Test
  void replacesMembersThatAreUnavailable() {
    EndpointSubset subset = EndpointSubset.rank(DAEMON, endpoints(21));
    Set<EndpointId> usual = subset.members(4, endpoint -> true);

    Set<EndpointId> others = subset.members(4, endpoint -> !usual.contains(endpoint));

    assertThat(others).hasSize(4).doesNotContainAnyElementsOf(usual);
    assertThat(subset.members(4, endpoint -> true)).isEqualTo(usual);
  }

  /** Every new subset would open its connections again when one endpoint is replaced. */
  @Test
  void keepsTheOtherMembersWhenAnEndpointIsAdded() {
    Set<EndpointId> before = EndpointSubset.rank(DAEMON, endpoints(21)).members(4, e -> true);

    Set<EndpointId> after = EndpointSubset.rank(DAEMON, endpoints(22)).members(4, e -> true);

    assertThat(after).filteredOn(before::contains).hasSizeGreaterThanOrEqualTo(3);
  }

  /**
   * Requests of many daemons for adapters that several endpoints hold, with loads that are reported
   * late: the preference must not make some endpoints busier than the even choice does.
   */
  @Nested
  class ManyDaemons {

    private static final int HOLDERS = 6;
    private static final int REPORT_MS = 300;
    private static final int RUN_MS = 800;
    private static final int IDLE_MS = 10_000;
    private static final int SECONDS = 20;
    private static final int SLOTS = 64;

    private final int[] running;
    private int opened;

    ManyDaemons() {
      running = new int[12_000];
    }

    private record End(long at, int daemon, int endpoint) {}

    /** Plays requests; returns the load of each endpoint, averaged over time. */
    private double[] play(int daemons, int count, int requestsPerS, boolean prefers) {
      opened = 0;
      Arrays.fill(running, 0);
      Random random = new Random(3);
      EndpointChooser chooser = new EndpointChooser(new LoadUncertainty(random::nextDouble));
      int concurrency = requestsPerS * RUN_MS / 1_000 / daemons + 1;
      List<Set<EndpointId>> members = members(daemons, count, concurrency);
      boolean active = prefers && members.get(0).size() < count;
      Map<Long, Long> idleSince = new HashMap<>();
      PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
      int[] reported = running.clone();
      double[] mean = new double[count];
      for (long now = 0; now < SECONDS * 1_000L; now++) {
        while (!ends.isEmpty() && ends.peek().at <= now) {
          End end = ends.poll();
          running[end.endpoint]--;
          idleSince.put((long) end.daemon * count + end.endpoint, now);
        }
        if (now % REPORT_MS == 0) {
          reported = running.clone();
          for (int i = 0; i < count; i++) {
            mean[i] += running[i];
          }
        }
        int arrivals =
            requestsPerS / 1_000 + (random.nextInt(1_000) < requestsPerS % 1_000 ? 1 : 0);
        for (int i = 0; i < arrivals; i++) {
          int daemon = random.nextInt(daemons);
          List<Candidate> candidates = new ArrayList<>();
          for (int holder : holders(random, count)) {
            Long since = idleSince.get((long) daemon * count + holder);
            boolean open = since != null && now - since < IDLE_MS;
            EndpointId id = new EndpointId("e" + holder);
            double other =
                members.get(daemon).contains(id)
                    ? ConnectionCost.NEW_MS
                    : ConnectionCost.OUTSIDE_MS;
            candidates.add(candidate(id, reported[holder], active && !open ? other : 0));
          }
          Choice choice = chooser.forCall(candidates, 60, 60_000);
          int chosen =
              Integer.parseInt(((Choice.Send) choice).candidate().endpoint().value().substring(1));
          Long since = idleSince.remove((long) daemon * count + chosen);
          opened += since != null && now - since < IDLE_MS ? 0 : 1;
          running[chosen]++;
          ends.add(new End(now + RUN_MS, daemon, chosen));
        }
      }
      return mean;
    }

    private static List<Set<EndpointId>> members(int daemons, int count, int concurrency) {
      List<Set<EndpointId>> members = new ArrayList<>();
      for (int i = 0; i < daemons; i++) {
        EndpointSubset subset = EndpointSubset.rank(new DaemonId("d" + i), endpoints(count));
        members.add(subset.members(subset.size(concurrency, count), endpoint -> true));
      }
      return members;
    }

    private static Set<Integer> holders(Random random, int count) {
      Set<Integer> holders = new HashSet<>();
      while (holders.size() < Math.min(HOLDERS, count)) {
        holders.add(random.nextInt(count));
      }
      return holders;
    }

    private static Candidate candidate(EndpointId id, int running, double connectionMs) {
      Load load = new Load(running, 0, 0, 0);
      return new Candidate(
          id, new DataCentreId("n"), true, SLOTS, load, 0, 0, 0, false, 1, 0, connectionMs);
    }

    private static double deviation(double[] loads) {
      double mean = Arrays.stream(loads).average().orElseThrow();
      double squares = Arrays.stream(loads).map(l -> (l - mean) * (l - mean)).average().orElse(0);
      return Math.sqrt(squares) / mean;
    }

    @ParameterizedTest
    @CsvSource({"8, 6, 60", "87, 63, 520", "400, 12000, 26000"})
    void loadIsAsEvenAsWithTheWholeSet(int daemons, int count, int requestsPerS) {
      double whole = deviation(play(daemons, count, requestsPerS, false));
      double subset = deviation(play(daemons, count, requestsPerS, true));

      assertThat(subset).isLessThan(whole + 0.05);
    }

    @Test
    void opensFewerConnections() {
      play(87, 63, 520, false);
      int whole = opened;
      play(87, 63, 520, true);

      assertThat((double) opened).isLessThan(0.6 * whole);
    }
  }
}

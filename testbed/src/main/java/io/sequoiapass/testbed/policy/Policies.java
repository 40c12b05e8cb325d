package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.process.placement.Placement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

/** Placement policies to compare. */
enum Policies {
  /** The daemon's router and placement. */
  ADAPTIVE {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      return new AdaptivePolicy(config);
    }
  },
  /** Evicts the least recently used adapter; routes to the least loaded engine. */
  LRU {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      return new BaselinePolicy(config, () -> lru(), false);
    }
  },
  /** Like LRU, but prefers engines that hold the adapter, with exact and current information. */
  LRU_RESIDENT {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      return new BaselinePolicy(config, () -> lru(), true);
    }
  },
  /** Routes to a random engine and evicts a random idle adapter. */
  RANDOM {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      Random random = new Random(seed);
      return new BaselinePolicy(
          config,
          () -> new Baseline((now, adapter, used) -> random.nextDouble(), false, Integer.MAX_VALUE),
          false) {
        @Override
        public EndpointId route(double now, Workload.Arrival arrival, List<Engine> engines) {
          List<Engine> eligible = enginesFor(arrival, engines);
          return eligible.get(random.nextInt(eligible.size())).id;
        }
      };
    }
  },
  /**
   * One placement over all engines that is given the exact demand for each adapter in each half of
   * the run, but no arrival times: the bound for a perfect estimate of demand.
   */
  KNOWN_DEMAND {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      Map<AdapterVersion, Integer> first = new HashMap<>();
      Map<AdapterVersion, Integer> second = new HashMap<>();
      for (Workload.Arrival arrival : arrivals) {
        (arrival.atMs() < config.measurementMidpointMs() ? first : second)
            .merge(arrival.adapter(), 1, Integer::sum);
      }
      Baseline.RetentionValue demand =
          (now, adapter, used) ->
              (now < config.measurementMidpointMs() ? first : second).getOrDefault(adapter, 0);
      Baseline all = new Baseline(demand, true, 1);
      return new BaselinePolicy(config, () -> all, false);
    }
  },
  /**
   * One placement over all engines that evicts by the exact next arrival for each adapter. Loads
   * one adapter at a time, the one with the most waiting requests first; does not prefetch.
   */
  CLAIRVOYANT {
    @Override
    Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals) {
      NextArrival next = new NextArrival(arrivals);
      Baseline all = new Baseline((now, adapter, used) -> -next.after(now, adapter), true, 1);
      return new BaselinePolicy(config, () -> all, false);
    }
  };

  abstract Policy create(SimulationConfig config, long seed, List<Workload.Arrival> arrivals);

  private static Baseline lru() {
    return new Baseline((now, adapter, used) -> used, false, Integer.MAX_VALUE);
  }

  /** A policy that uses baseline placements. */
  private static class BaselinePolicy implements Policy {
    private final List<Baseline> placements = new ArrayList<>();
    private final boolean residentFirst;

    BaselinePolicy(SimulationConfig config, Supplier<Baseline> baseline, boolean residentFirst) {
      for (int i = 0; i < config.owners(); i++) {
        placements.add(baseline.get());
      }
      this.residentFirst = residentFirst;
    }

    @Override
    public Placement placement(int owner) {
      return placements.get(owner);
    }

    @Override
    public EndpointId route(double now, Workload.Arrival arrival, List<Engine> engines) {
      Comparator<Engine> order = Comparator.comparingInt(e -> placements.get(e.owner).load(e.id));
      if (residentFirst) {
        Comparator<Engine> holds =
            Comparator.comparing(e -> !placements.get(e.owner).holds(e.id, arrival.adapter()));
        order = holds.thenComparing(order);
      }
      return enginesFor(arrival, engines).stream().min(order).orElseThrow().id;
    }

    static List<Engine> enginesFor(Workload.Arrival arrival, List<Engine> engines) {
      return engines.stream().filter(e -> e.model.equals(arrival.model())).toList();
    }
  }

  /** Looks up the next arrival for an adapter in the workload. */
  private static final class NextArrival {
    private final Map<AdapterVersion, Deque<Double>> times = new HashMap<>();

    NextArrival(List<Workload.Arrival> arrivals) {
      for (Workload.Arrival arrival : arrivals) {
        times.computeIfAbsent(arrival.adapter(), a -> new ArrayDeque<>()).add(arrival.atMs());
      }
    }

    double after(long nowMs, AdapterVersion adapter) {
      Deque<Double> remaining = times.get(adapter);
      while (remaining != null && !remaining.isEmpty() && remaining.peek() <= nowMs) {
        remaining.remove();
      }
      return remaining == null || remaining.isEmpty() ? Double.MAX_VALUE : remaining.peek();
    }
  }
}

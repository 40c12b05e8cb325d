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

/** The policies that the bench compares. */
enum Policies {
  /** The daemon's router and placement. */
  ADAPTIVE {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      return new AdaptivePolicy(shape);
    }
  },
  /** Least recently used is evicted; the least loaded engine gets the request. */
  LRU {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      return new Plain(shape, () -> lru(), false);
    }
  },
  /** The same, but an engine that holds the adapter goes first, known exactly and at once. */
  LRU_RESIDENT {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      return new Plain(shape, () -> lru(), true);
    }
  },
  /** A random engine, a random idle adapter evicted. */
  RANDOM {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      Random random = new Random(seed);
      return new Plain(
          shape,
          () -> new Baseline((now, adapter, used) -> random.nextDouble(), false, Integer.MAX_VALUE),
          false) {
        @Override
        public EndpointId route(double now, Workload.Arrival arrival, List<Engine> engines) {
          List<Engine> fitting = fitting(arrival, engines);
          return fitting.get(random.nextInt(fitting.size())).id;
        }
      };
    }
  },
  /**
   * One placement over all engines that knows how often each adapter is asked for in this half of
   * the run, but not when: what the best estimate of demand could reach.
   */
  KNOWN_DEMAND {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      Map<AdapterVersion, Integer> first = new HashMap<>();
      Map<AdapterVersion, Integer> second = new HashMap<>();
      for (Workload.Arrival arrival : arrivals) {
        (arrival.atMs() < shape.halfMs() ? first : second)
            .merge(arrival.adapter(), 1, Integer::sum);
      }
      Baseline.Worth worth =
          (now, adapter, used) -> (now < shape.halfMs() ? first : second).getOrDefault(adapter, 0);
      Baseline all = new Baseline(worth, true, 1);
      return new Plain(shape, () -> all, false);
    }
  },
  /**
   * One placement over all engines that knows each adapter's next arrival when it evicts, loads one
   * at a time, most waited for first; it loads nothing before somebody asks.
   */
  CLAIRVOYANT {
    @Override
    Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals) {
      NextUse next = new NextUse(arrivals);
      Baseline all = new Baseline((now, adapter, used) -> -next.after(now, adapter), true, 1);
      return new Plain(shape, () -> all, false);
    }
  };

  abstract Policy create(Shape shape, long seed, List<Workload.Arrival> arrivals);

  private static Baseline lru() {
    return new Baseline((now, adapter, used) -> used, false, Integer.MAX_VALUE);
  }

  /** A policy of baselines. */
  private static class Plain implements Policy {
    private final List<Baseline> placements = new ArrayList<>();
    private final boolean residentFirst;

    Plain(Shape shape, Supplier<Baseline> baseline, boolean residentFirst) {
      for (int i = 0; i < shape.owners(); i++) {
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
      return fitting(arrival, engines).stream().min(order).orElseThrow().id;
    }

    static List<Engine> fitting(Workload.Arrival arrival, List<Engine> engines) {
      return engines.stream().filter(e -> e.model.equals(arrival.model())).toList();
    }
  }

  /** Knows when each adapter is asked for next. */
  private static final class NextUse {
    private final Map<AdapterVersion, Deque<Double>> times = new HashMap<>();

    NextUse(List<Workload.Arrival> arrivals) {
      for (Workload.Arrival arrival : arrivals) {
        times.computeIfAbsent(arrival.adapter(), a -> new ArrayDeque<>()).add(arrival.atMs());
      }
    }

    double after(long nowMs, AdapterVersion adapter) {
      Deque<Double> left = times.get(adapter);
      while (left != null && !left.isEmpty() && left.peek() <= nowMs) {
        left.remove();
      }
      return left == null || left.isEmpty() ? Double.MAX_VALUE : left.peek();
    }
  }
}

package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.launch.Cluster;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Random schedule of faults, drawn from a seed and injected into a cluster; some faults overlap in
 * pairs.
 *
 * <p>One thread may call {@link #run}; {@link #pick} is safe for use by several threads.
 */
final class FaultSchedule {

  private static final int MIN_DURATION_MS = 200;
  private static final int MAX_DURATION_MS = 5_000;
  private static final int MIN_GAP_MS = 1_500;
  private static final double OVERLAP_PROBABILITY = 0.25;

  private record Planned(FaultKind kind, int target, long beginMs, long endMs) {}

  /**
   * A fault that was injected.
   *
   * @param kind kind of the fault
   * @param beginMicros start of the fault, in microseconds from the start of the load
   * @param endMicros time at which the fault had been removed, in the same unit
   */
  record InjectedFault(FaultKind kind, long beginMicros, long endMicros) {}

  private record Event(long atMs, boolean begins, Planned fault) {}

  private final Cluster cluster;
  private final List<FaultKind> kinds;
  private final List<Planned> planned = new ArrayList<>();
  private final Set<Integer> down = ConcurrentHashMap.newKeySet();

  /**
   * Creates a schedule.
   *
   * @param cluster the cluster to inject the faults into
   * @param kinds the kinds to draw from
   * @param seconds time from the start during which faults begin
   * @param seed seed of the random numbers
   */
  FaultSchedule(Cluster cluster, Set<FaultKind> kinds, int seconds, long seed) {
    this.cluster = cluster;
    this.kinds = List.copyOf(kinds);
    Random random = new Random(seed);
    long last = TimeUnit.SECONDS.toMillis(seconds);
    for (long at = MIN_GAP_MS; at < last; ) {
      Planned first = draw(random, at);
      planned.add(first);
      long end = first.endMs;
      if (random.nextDouble() < OVERLAP_PROBABILITY) {
        Planned second = draw(random, at + random.nextInt(MIN_DURATION_MS));
        // The end of one fault would undo the other if both had the same target.
        if (second.kind != first.kind && second.target != first.target) {
          planned.add(second);
          end = Math.max(end, second.endMs);
        }
      }
      at = end + MIN_GAP_MS + random.nextInt(MIN_GAP_MS);
    }
  }

  private Planned draw(Random random, long atMs) {
    FaultKind kind = kinds.get(random.nextInt(kinds.size()));
    int target = random.nextInt(cluster.daemons().size());
    return new Planned(
        kind,
        target,
        atMs,
        atMs + MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS));
  }

  /** Selects the daemon for a request: round-robin over the daemons that are not down. */
  InetSocketAddress pick(int number) {
    int daemons = cluster.daemons().size();
    for (int i = 0; i < daemons; i++) {
      if (!down.contains((number + i) % daemons)) {
        return cluster.daemons().get((number + i) % daemons).callerAddress();
      }
    }
    return cluster.daemons().get(number % daemons).callerAddress();
  }

  /**
   * Injects all faults and returns them with their actual times.
   *
   * @param startNanos start of the load, on the monotonic clock
   */
  List<InjectedFault> run(long startNanos) throws IOException, InterruptedException {
    List<Event> events = new ArrayList<>();
    for (Planned fault : planned) {
      events.add(new Event(fault.beginMs, true, fault));
      events.add(new Event(fault.endMs, false, fault));
    }
    events.sort(Comparator.comparingLong(Event::atMs));
    List<InjectedFault> injected = new ArrayList<>();
    List<Long> begun = new ArrayList<>();
    List<Planned> open = new ArrayList<>();
    for (Event event : events) {
      long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      TimeUnit.MILLISECONDS.sleep(Math.max(0, event.atMs - passed));
      Planned fault = event.fault;
      if (event.begins) {
        begun.add(micros(startNanos));
        open.add(fault);
        fault.kind.begin(cluster, fault.target);
        setDown(fault, true);
      } else {
        fault.kind.end(cluster, fault.target);
        setDown(fault, false);
        int index = open.indexOf(fault);
        open.remove(index);
        injected.add(new InjectedFault(fault.kind, begun.remove(index), micros(startNanos)));
      }
    }
    return injected;
  }

  private void setDown(Planned fault, boolean begins) {
    if (fault.kind.takesDaemonDown()) {
      if (begins) {
        down.add(fault.target);
      } else {
        down.remove(fault.target);
      }
    }
  }

  private static long micros(long startNanos) {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }
}

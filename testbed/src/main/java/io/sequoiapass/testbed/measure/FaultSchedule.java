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
 * Draws the faults of a run from a seed and plays them on a cluster, one after the other and now
 * and then two together.
 *
 * <p>Played by one thread; the balancer is asked by any.
 */
final class FaultSchedule {

  private static final int SHORTEST_MS = 200;
  private static final int LONGEST_MS = 5_000;
  private static final int GAP_MS = 1_500;
  private static final double TWICE_SHARE = 0.25;

  private record Planned(FaultKind kind, int target, long beginMs, long endMs) {}

  /**
   * Is a fault as it was played.
   *
   * @param kind what it was
   * @param beginMicros when it began, from the start of the load
   * @param endMicros when it had ended
   */
  record Played(FaultKind kind, long beginMicros, long endMicros) {}

  private record Event(long atMs, boolean begins, Planned fault) {}

  private final Cluster cluster;
  private final List<FaultKind> kinds;
  private final List<Planned> planned = new ArrayList<>();
  private final Set<Integer> down = ConcurrentHashMap.newKeySet();

  /**
   * Draws the faults.
   *
   * @param cluster what they are played on
   * @param kinds the kinds to draw from
   * @param seconds how long new ones begin
   * @param seed seed of all that is drawn
   */
  FaultSchedule(Cluster cluster, Set<FaultKind> kinds, int seconds, long seed) {
    this.cluster = cluster;
    this.kinds = List.copyOf(kinds);
    Random random = new Random(seed);
    long last = TimeUnit.SECONDS.toMillis(seconds);
    for (long at = GAP_MS; at < last; ) {
      Planned first = draw(random, at);
      planned.add(first);
      long end = first.endMs;
      if (random.nextDouble() < TWICE_SHARE) {
        Planned second = draw(random, at + random.nextInt(SHORTEST_MS));
        // Two on one target would undo each other.
        if (second.kind != first.kind && second.target != first.target) {
          planned.add(second);
          end = Math.max(end, second.endMs);
        }
      }
      at = end + GAP_MS + random.nextInt(GAP_MS);
    }
  }

  private Planned draw(Random random, long atMs) {
    FaultKind kind = kinds.get(random.nextInt(kinds.size()));
    int target = random.nextInt(cluster.daemons().size());
    return new Planned(
        kind, target, atMs, atMs + SHORTEST_MS + random.nextInt(LONGEST_MS - SHORTEST_MS));
  }

  /** Returns where a balancer sends a request: in turn, to daemons that are not down. */
  InetSocketAddress pick(int number) {
    int daemons = cluster.daemons().size();
    for (int i = 0; i < daemons; i++) {
      if (!down.contains((number + i) % daemons)) {
        return cluster.daemons().get((number + i) % daemons).callers();
      }
    }
    return cluster.daemons().get(number % daemons).callers();
  }

  /**
   * Plays all faults and returns them as they were.
   *
   * @param startNanos when the load began
   */
  List<Played> play(long startNanos) throws IOException, InterruptedException {
    List<Event> events = new ArrayList<>();
    for (Planned fault : planned) {
      events.add(new Event(fault.beginMs, true, fault));
      events.add(new Event(fault.endMs, false, fault));
    }
    events.sort(Comparator.comparingLong(Event::atMs));
    List<Played> played = new ArrayList<>();
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
        mark(fault, true);
      } else {
        fault.kind.end(cluster, fault.target);
        mark(fault, false);
        int index = open.indexOf(fault);
        open.remove(index);
        played.add(new Played(fault.kind, begun.remove(index), micros(startNanos)));
      }
    }
    return played;
  }

  private void mark(Planned fault, boolean begins) {
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

package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A data centre in one thread: daemons with clocks of their own, a platform, endpoints, and a judge
 * who sees them all. Calls and heartbeats are late, lost or stuck as the faults say.
 */
final class SimulatedDataCentre {

  static final String TABLE = "ownership/yard-north";
  private static final long STEP_MILLIS = 100;
  private static final int ENDPOINTS = 8;

  private record Event(long at, long sequence, Runnable run) {}

  private final SplittableRandom random;
  private final SimulatedPlatform platform = new SimulatedPlatform();
  private final Map<DaemonId, SimulatedDaemon> daemons = new TreeMap<>();
  private final Set<Set<DaemonId>> cutPairs = new java.util.HashSet<>();
  private final List<EndpointId> endpoints = new ArrayList<>();
  private final Map<EndpointId, Long> highestFence = new HashMap<>();
  private final Map<String, Integer> processOfFence = new HashMap<>();
  private final Map<EndpointId, SimulatedDaemon> lastOrderer = new HashMap<>();
  private final Map<EndpointId, Long> lastOrderAt = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final Set<DaemonId> names = new TreeSet<>();
  private long time = 1_000;
  private long sequence;
  private int processes;
  int lossPercent;
  int stuckPercent;

  SimulatedDataCentre(long seed, int count) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(new EndpointId("engine-" + i));
    }
    for (int i = 0; i < count; i++) {
      names.add(new DaemonId("d" + i));
    }
    names.forEach(this::start);
  }

  long time() {
    return time;
  }

  Set<DaemonId> names() {
    return names;
  }

  List<EndpointId> endpoints() {
    return endpoints;
  }

  FencePolicy policy(EndpointId endpoint) {
    return endpoints.indexOf(endpoint) % 2 == 0 ? FencePolicy.CHECKS : FencePolicy.IGNORES;
  }

  SimulatedPlatform platform() {
    return platform;
  }

  SimulatedDaemon daemon(int index) {
    return List.copyOf(daemons.values()).get(index % daemons.size());
  }

  /** Starts a process under a name; the former one, if frozen, stays and may wake. */
  void start(DaemonId id) {
    processes++;
    int place = List.copyOf(names).indexOf(id);
    SimulatedDaemon former = daemons.get(id);
    if (former != null && former.frozen) {
      schedule(random.nextLong(20_000), () -> wakeFormer(former));
    }
    daemons.put(id, new SimulatedDaemon(this, id, processes, place, random.split()));
  }

  // A replaced process that wakes: it steps once, in the middle of what it did.
  private void wakeFormer(SimulatedDaemon former) {
    former.frozen = false;
    for (int i = 0; i < 30; i++) {
      schedule(i * STEP_MILLIS, former::step);
    }
  }

  void cut(int a, int b) {
    if (!daemon(a).id.equals(daemon(b).id)) {
      cutPairs.add(Set.of(daemon(a).id, daemon(b).id));
    }
  }

  void healNetwork() {
    cutPairs.clear();
    daemons.values().forEach(daemon -> daemon.cutFromPlatform = false);
  }

  void heal() {
    healNetwork();
    platform.out = false;
    lossPercent = 0;
    stuckPercent = 0;
    daemons.values().forEach(daemon -> daemon.frozen = false);
    daemons.values().stream()
        .filter(daemon -> daemon.draining)
        .map(d -> d.id)
        .toList()
        .forEach(this::start);
  }

  void run(long millis) {
    long end = time + millis;
    while (time < end) {
      time += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().at() <= time) {
        events.poll().run().run();
      }
      daemons.values().stream().filter(daemon -> !daemon.frozen).forEach(SimulatedDaemon::step);
    }
  }

  void send(SimulatedDaemon from, DaemonId to, Consumer<SimulatedDaemon> message) {
    if (to.equals(from.id) || cutPairs.contains(Set.of(from.id, to)) || chance(lossPercent)) {
      return;
    }
    long delay = chance(stuckPercent) ? random.nextLong(30_000) : random.nextLong(30);
    deliver(delay, daemons.get(to), message);
  }

  // What reaches a frozen process waits in its socket until it wakes.
  private void deliver(long delay, SimulatedDaemon to, Consumer<SimulatedDaemon> message) {
    schedule(
        delay,
        () -> {
          if (to.frozen) {
            deliver(STEP_MILLIS, to, message);
          } else {
            message.accept(to);
          }
        });
  }

  <T> void call(
      SimulatedDaemon from,
      Optional<DaemonId> relay,
      Function<SimulatedPlatform, T> work,
      Consumer<T> answered,
      Runnable lost) {
    SimulatedDaemon via = relay.map(daemons::get).orElse(from);
    boolean reaches = !via.frozen && !cutPairs.contains(Set.of(from.id, id(via, from)));
    if (platform.out || via.cutFromPlatform || !reaches || chance(lossPercent)) {
      deliver(random.nextLong(900), from, daemon -> lost.run());
      return;
    }
    boolean stuck = chance(stuckPercent);
    long there = stuck ? random.nextLong(30_000) : random.nextLong(20);
    boolean answerLost = stuck || chance(lossPercent);
    if (answerLost) {
      deliver(900, from, daemon -> lost.run());
    }
    schedule(
        there,
        () -> {
          T answer = work.apply(platform);
          if (!answerLost) {
            deliver(random.nextLong(20), from, daemon -> answered.accept(answer));
          }
        });
  }

  private static DaemonId id(SimulatedDaemon via, SimulatedDaemon from) {
    return via.id.equals(from.id) ? new DaemonId("itself") : via.id;
  }

  private boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private void schedule(long delay, Runnable run) {
    sequence++;
    events.add(new Event(time + delay, sequence, run));
  }

  /** A daemon gives a destructive order, with nothing between its check and the write. */
  void ordered(SimulatedDaemon by, EndpointId endpoint, long fence) {
    if (policy(endpoint) == FencePolicy.CHECKS) {
      orderedWithFence(by, endpoint, fence);
    } else {
      orderedWithoutFence(by, endpoint);
    }
  }

  private void orderedWithFence(SimulatedDaemon by, EndpointId endpoint, long fence) {
    if (fence < highestFence.getOrDefault(endpoint, 0L)) {
      return;
    }
    highestFence.put(endpoint, fence);
    lastOrderAt.put(endpoint, time);
    int first = processOfFence.computeIfAbsent(endpoint + "/" + fence, key -> by.process);
    if (first != by.process) {
      violations.add(
          time
              + ": "
              + endpoint
              + " ran orders of processes "
              + first
              + " and "
              + by.process
              + " under fence "
              + fence);
    }
  }

  private void orderedWithoutFence(SimulatedDaemon by, EndpointId endpoint) {
    lastOrderAt.put(endpoint, time);
    Optional<DaemonId> owner = platform.table().owner(endpoint);
    if (owner.filter(by.id::equals).isEmpty()) {
      violations.add(time + ": " + endpoint + " of " + owner + " ordered by " + by.id);
    }
    SimulatedDaemon last = lastOrderer.put(endpoint, by);
    if (last != null && last.id.equals(by.id) && last.process > by.process) {
      violations.add(time + ": " + endpoint + " ordered by a replaced process of " + by.id);
    }
  }

  void assertSafe() {
    assertThat(violations).isEmpty();
  }

  /** Every endpoint is ordered about by its owner, and every owner is in full possession. */
  void assertServed() {
    OwnershipTable table = platform.table();
    for (EndpointId endpoint : endpoints) {
      assertThat(table.owner(endpoint)).as("owner of %s", endpoint).isPresent();
      assertThat(lastOrderAt.getOrDefault(endpoint, 0L))
          .as("last order to %s of %s", endpoint, table.owner(endpoint))
          .isGreaterThan(time - 3_000);
    }
  }
}

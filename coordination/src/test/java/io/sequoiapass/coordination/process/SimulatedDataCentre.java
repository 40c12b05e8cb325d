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
 * Single-threaded simulation of a data centre: daemons with separate clocks, a platform, endpoints,
 * and a check of all orders. Calls and heartbeats are delayed, lost or stuck according to the
 * injected faults.
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

  /** Starts a process with a daemon name; the former one, if frozen, resumes later. */
  void start(DaemonId id) {
    processes++;
    int index = List.copyOf(names).indexOf(id);
    SimulatedDaemon former = daemons.get(id);
    if (former != null && former.frozen) {
      schedule(random.nextLong(20_000), () -> resumeFormer(former));
    }
    daemons.put(id, new SimulatedDaemon(this, id, processes, index, random.split()));
  }

  // Resumes a replaced process for 30 steps.
  private void resumeFormer(SimulatedDaemon former) {
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

  // Messages to a frozen process wait in its socket until it resumes.
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
    SimulatedDaemon relayOrSelf = relay.map(daemons::get).orElse(from);
    boolean reachable =
        !relayOrSelf.frozen && !cutPairs.contains(Set.of(from.id, id(relayOrSelf, from)));
    if (platform.out || relayOrSelf.cutFromPlatform || !reachable || chance(lossPercent)) {
      deliver(random.nextLong(900), from, daemon -> lost.run());
      return;
    }
    boolean stuck = chance(stuckPercent);
    long requestDelay = stuck ? random.nextLong(30_000) : random.nextLong(20);
    boolean answerLost = stuck || chance(lossPercent);
    if (answerLost) {
      deliver(900, from, daemon -> lost.run());
    }
    schedule(
        requestDelay,
        () -> {
          T answer = work.apply(platform);
          if (!answerLost) {
            deliver(random.nextLong(20), from, daemon -> answered.accept(answer));
          }
        });
  }

  private static DaemonId id(SimulatedDaemon relayOrSelf, SimulatedDaemon from) {
    return relayOrSelf.id.equals(from.id) ? new DaemonId("itself") : relayOrSelf.id;
  }

  private boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  private void schedule(long delay, Runnable run) {
    sequence++;
    events.add(new Event(time + delay, sequence, run));
  }

  /** Records a destructive order, sent without a pause between its check and the write. */
  void recordOrder(SimulatedDaemon sender, EndpointId endpoint, long fence) {
    if (policy(endpoint) == FencePolicy.CHECKS) {
      recordOrderWithFencing(sender, endpoint, fence);
    } else {
      recordOrderWithoutFencing(sender, endpoint);
    }
  }

  private void recordOrderWithFencing(SimulatedDaemon sender, EndpointId endpoint, long fence) {
    if (fence < highestFence.getOrDefault(endpoint, 0L)) {
      return;
    }
    highestFence.put(endpoint, fence);
    lastOrderAt.put(endpoint, time);
    int first = processOfFence.computeIfAbsent(endpoint + "/" + fence, key -> sender.process);
    if (first != sender.process) {
      violations.add(
          time
              + ": "
              + endpoint
              + " ran orders of processes "
              + first
              + " and "
              + sender.process
              + " under fence "
              + fence);
    }
  }

  private void recordOrderWithoutFencing(SimulatedDaemon sender, EndpointId endpoint) {
    lastOrderAt.put(endpoint, time);
    Optional<DaemonId> owner = platform.table().owner(endpoint);
    if (owner.filter(sender.id::equals).isEmpty()) {
      violations.add(time + ": " + endpoint + " of " + owner + " ordered by " + sender.id);
    }
    SimulatedDaemon last = lastOrderer.put(endpoint, sender);
    if (last != null && last.id.equals(sender.id) && last.process > sender.process) {
      violations.add(time + ": " + endpoint + " ordered by a replaced process of " + sender.id);
    }
  }

  void assertSafe() {
    assertThat(violations).isEmpty();
  }

  /** Asserts that every endpoint has an owner and received an order within the last 3 s. */
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

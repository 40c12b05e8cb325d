package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against requests that are forwarded to a daemon that does not own the endpoint, and
 * refused, because an entry daemon mixed two tables or reverted to an older one. Two daemons write
 * tables in turn and push deltas, which are lost, duplicated and reordered. Every replica must hold
 * a table that was stored on the platform, never an older one after a newer one, and all must
 * converge on the newest once messages are delivered again.
 */
class OwnershipReplicaFuzzTest {

  private static final int DAEMONS = 5;
  private static final int WRITERS = 2;
  private static final int ENDPOINTS = 9;
  private static final int HEALING_ROUNDS = 40;

  /** The platform's tables, the daemons' replicas and the messages in flight between them. */
  private static final class World {
    private final Random random = new Random(7);
    private final List<DaemonId> daemons = new ArrayList<>();
    private final List<OwnershipReplica> replicas = new ArrayList<>();
    private final Map<Long, OwnershipTable> written = new TreeMap<>();
    private final long[] versions = new long[DAEMONS];
    private final List<Runnable> inFlight = new ArrayList<>();
    private OwnershipTable newest = OwnershipTable.EMPTY;
    private long now;

    World() {
      written.put(0L, newest);
      for (int i = 0; i < DAEMONS; i++) {
        daemons.add(new DaemonId("d" + i));
        replicas.add(OwnershipReplica.create(daemons.get(i)));
      }
    }

    /** Writes conditionally: the table is stored only if the writer holds the newest one. */
    void write(int writer) {
      OwnershipReplica replica = replicas.get(writer);
      if (replica.table().version() != newest.version()) {
        return;
      }
      OwnershipTable stored = changed(newest);
      written.put(stored.version(), stored);
      newest = stored;
      inFlight.add(
          () ->
              replica
                  .tableReceived(stored)
                  .ifPresent(delta -> others(writer).forEach(other -> push(other, delta))));
    }

    private OwnershipTable changed(OwnershipTable base) {
      Map<EndpointId, DaemonId> owners = new TreeMap<>(base.owners());
      Map<DaemonId, Long> incarnations = new TreeMap<>();
      for (int i = 0; i < 3; i++) {
        EndpointId endpoint = new EndpointId("e" + random.nextInt(ENDPOINTS));
        if (random.nextInt(4) == 0) {
          owners.remove(endpoint);
        } else {
          owners.put(endpoint, daemons.get(random.nextInt(DAEMONS)));
        }
      }
      daemons.forEach(daemon -> incarnations.put(daemon, (long) random.nextInt(3)));
      long version = base.version() + 1 + random.nextInt(4);
      return OwnershipTable.of(version, base.epoch() + 1, owners, incarnations);
    }

    private void push(int to, OwnershipDelta delta) {
      inFlight.add(() -> replicas.get(to).deltaReceived(delta));
    }

    private List<Integer> others(int daemon) {
      List<Integer> others = new ArrayList<>();
      for (int i = 0; i < DAEMONS; i++) {
        if (i != daemon) {
          others.add(i);
        }
      }
      return others;
    }

    void heartbeat(int from, int to) {
      long version = replicas.get(from).table().version();
      inFlight.add(() -> replicas.get(to).peerVersionReceived(daemons.get(from), version));
    }

    void requestUpdate(int daemon) {
      List<DaemonId> peers = others(daemon).stream().map(daemons::get).toList();
      OwnershipReplica replica = replicas.get(daemon);
      long knownVersion = replica.table().version();
      Optional<DaemonId> peer = replica.selectPeer(now, peers);
      peer.ifPresent(
          requestedPeer -> {
            int answering = daemons.indexOf(requestedPeer);
            inFlight.add(() -> answer(answering, daemon, knownVersion));
          });
    }

    private void answer(int from, int to, long knownVersion) {
      OwnershipReplica replica = replicas.get(from);
      if (!replica.isNewerThan(knownVersion)) {
        return;
      }
      Optional<OwnershipDelta> delta = replica.deltaSince(knownVersion);
      OwnershipTable complete = replica.table();
      inFlight.add(
          () -> {
            if (delta.isPresent()) {
              replicas.get(to).deltaReceived(delta.get());
            } else {
              replicas.get(to).tableReceived(complete);
            }
          });
    }

    void deliver(int index) {
      if (!inFlight.isEmpty()) {
        inFlight.remove(index % inFlight.size()).run();
      }
    }

    void lose(int index) {
      if (!inFlight.isEmpty()) {
        inFlight.remove(index % inFlight.size());
      }
    }

    void repeat(int index) {
      if (!inFlight.isEmpty()) {
        inFlight.add(inFlight.get(index % inFlight.size()));
      }
    }

    void readFromPlatform(int daemon) {
      OwnershipTable read = newest;
      inFlight.add(() -> replicas.get(daemon).tableReceived(read));
    }

    void assertSafe() {
      for (int i = 0; i < DAEMONS; i++) {
        OwnershipTable table = replicas.get(i).table();
        assertThat(table).as("table of d%s", i).isEqualTo(written.get(table.version()));
        assertThat(table.version()).as("version of d%s", i).isGreaterThanOrEqualTo(versions[i]);
        versions[i] = table.version();
      }
    }

    /** Runs rounds of heartbeats and requests without writes and losses. */
    void heal() {
      for (int round = 0; round < HEALING_ROUNDS; round++) {
        now += OwnershipReplica.REQUEST_INTERVAL_MILLIS;
        for (int i = 0; i < DAEMONS; i++) {
          for (int other : others(i)) {
            heartbeat(i, other);
          }
          requestUpdate(i);
        }
        while (!inFlight.isEmpty()) {
          deliver(0);
        }
        assertSafe();
      }
    }
  }

  @Property(tries = 400, seed = "20261202")
  void replicasHoldStoredTablesAndNeverRevert(@ForAll("updates") ActionChain<World> chain) {
    World world = chain.withInvariant("safe", World::assertSafe).run();
    world.readFromPlatform(0);
    world.heal();
    for (OwnershipReplica replica : world.replicas) {
      assertThat(replica.table()).isEqualTo(world.newest);
    }
  }

  @Provide
  Arbitrary<ActionChain<World>> updates() {
    return ActionChain.startWith(World::new)
        .withAction(4, step("write", WRITERS, World::write))
        .withAction(8, step("deliver", 1_000, World::deliver))
        .withAction(2, step("lose", 1_000, World::lose))
        .withAction(1, step("repeat", 1_000, World::repeat))
        .withAction(1, step("read", DAEMONS, World::readFromPlatform))
        .withAction(2, step("ask", DAEMONS, World::requestUpdate))
        .withAction(
            2, step("beat", DAEMONS * DAEMONS, (w, i) -> w.heartbeat(i / DAEMONS, i % DAEMONS)))
        .withAction(1, step("wait", 400, (w, i) -> w.now += i))
        .withMaxTransformations(80);
  }

  /** Changes the world, with one parameter. */
  private interface Step {
    void apply(World world, int value);
  }

  private static Action.Independent<World> step(String name, int below, Step step) {
    return () ->
        Arbitraries.integers()
            .between(0, below - 1)
            .map(
                value -> Transformer.mutate(name + " " + value, world -> step.apply(world, value)));
  }
}

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
 * A caller's request goes to a daemon that does not own the endpoint, and is refused, because an
 * entry mixed two tables or went back to an older one. Two daemons write tables by turns and push
 * deltas; these are lost, doubled and reordered. Every replica must hold a table that the platform
 * held, never an older one after a newer, and all hold the newest once messages arrive again.
 */
class OwnershipReplicaFuzzTest {

  private static final int DAEMONS = 5;
  private static final int WRITERS = 2;
  private static final int ENDPOINTS = 9;
  private static final int HEALING_ROUNDS = 40;

  /** The platform's tables, the daemons' replicas and what is on its way between them. */
  private static final class World {
    private final Random random = new Random(7);
    private final List<DaemonId> daemons = new ArrayList<>();
    private final List<OwnershipReplica> replicas = new ArrayList<>();
    private final Map<Long, OwnershipTable> written = new TreeMap<>();
    private final long[] versions = new long[DAEMONS];
    private final List<Runnable> underWay = new ArrayList<>();
    private OwnershipTable newest = OwnershipTable.EMPTY;
    private long now;

    World() {
      written.put(0L, newest);
      for (int i = 0; i < DAEMONS; i++) {
        daemons.add(new DaemonId("d" + i));
        replicas.add(OwnershipReplica.create(daemons.get(i)));
      }
    }

    /** A conditional write: it is stored only if the writer knows the newest table. */
    void write(int writer) {
      OwnershipReplica replica = replicas.get(writer);
      if (replica.table().version() != newest.version()) {
        return;
      }
      OwnershipTable stored = changed(newest);
      written.put(stored.version(), stored);
      newest = stored;
      underWay.add(
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
      underWay.add(() -> replicas.get(to).deltaReceived(delta));
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
      underWay.add(() -> replicas.get(to).versionSeen(daemons.get(from), version));
    }

    void ask(int daemon) {
      List<DaemonId> peers = others(daemon).stream().map(daemons::get).toList();
      OwnershipReplica replica = replicas.get(daemon);
      long known = replica.table().version();
      Optional<DaemonId> peer = replica.ask(now, peers);
      peer.ifPresent(
          asked -> {
            int answering = daemons.indexOf(asked);
            underWay.add(() -> answer(answering, daemon, known));
          });
    }

    private void answer(int from, int to, long known) {
      OwnershipReplica replica = replicas.get(from);
      if (!replica.isNewerThan(known)) {
        return;
      }
      Optional<OwnershipDelta> delta = replica.deltaSince(known);
      OwnershipTable whole = replica.table();
      underWay.add(
          () -> {
            if (delta.isPresent()) {
              replicas.get(to).deltaReceived(delta.get());
            } else {
              replicas.get(to).tableReceived(whole);
            }
          });
    }

    void deliver(int index) {
      if (!underWay.isEmpty()) {
        underWay.remove(index % underWay.size()).run();
      }
    }

    void lose(int index) {
      if (!underWay.isEmpty()) {
        underWay.remove(index % underWay.size());
      }
    }

    void repeat(int index) {
      if (!underWay.isEmpty()) {
        underWay.add(underWay.get(index % underWay.size()));
      }
    }

    void readFromPlatform(int daemon) {
      OwnershipTable read = newest;
      underWay.add(() -> replicas.get(daemon).tableReceived(read));
    }

    void assertSafe() {
      for (int i = 0; i < DAEMONS; i++) {
        OwnershipTable table = replicas.get(i).table();
        assertThat(table).as("table of d%s", i).isEqualTo(written.get(table.version()));
        assertThat(table.version()).as("version of d%s", i).isGreaterThanOrEqualTo(versions[i]);
        versions[i] = table.version();
      }
    }

    /** No write and no loss any more, and the writer learns what came of its write. */
    void heal() {
      for (int round = 0; round < HEALING_ROUNDS; round++) {
        now += OwnershipReplica.ASK_AGAIN_MILLIS;
        for (int i = 0; i < DAEMONS; i++) {
          for (int other : others(i)) {
            heartbeat(i, other);
          }
          ask(i);
        }
        while (!underWay.isEmpty()) {
          deliver(0);
        }
        assertSafe();
      }
    }
  }

  @Property(tries = 400, seed = "20261202")
  void neverAMixAndNeverOlder(@ForAll("news") ActionChain<World> chain) {
    World world = chain.withInvariant("safe", World::assertSafe).run();
    world.readFromPlatform(0);
    world.heal();
    for (OwnershipReplica replica : world.replicas) {
      assertThat(replica.table()).isEqualTo(world.newest);
    }
  }

  @Provide
  Arbitrary<ActionChain<World>> news() {
    return ActionChain.startWith(World::new)
        .withAction(4, step("write", WRITERS, World::write))
        .withAction(8, step("deliver", 1_000, World::deliver))
        .withAction(2, step("lose", 1_000, World::lose))
        .withAction(1, step("repeat", 1_000, World::repeat))
        .withAction(1, step("read", DAEMONS, World::readFromPlatform))
        .withAction(2, step("ask", DAEMONS, World::ask))
        .withAction(
            2, step("beat", DAEMONS * DAEMONS, (w, i) -> w.heartbeat(i / DAEMONS, i % DAEMONS)))
        .withAction(1, step("wait", 400, (w, i) -> w.now += i))
        .withMaxTransformations(80);
  }

  /** Changes the world by one number. */
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

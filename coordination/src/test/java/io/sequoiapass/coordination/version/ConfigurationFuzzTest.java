package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Guards against answers from an adapter version that operators replaced minutes ago, caused by
 * updates that reach a daemon late, twice, out of order, or from a peer that was disconnected.
 * Three stores apply such updates; no object version may decrease, and repair makes all stores
 * equal.
 */
class ConfigurationFuzzTest {

  private static final int STORES = 3;
  private static final int NAMES = 6;

  /**
   * The platform's current objects, all objects that it ever sent, and the stores that receive some
   * of them.
   */
  private static final class Simulation {
    private final Map<ObjectKey, ConfigurationObject> platformObjects = new TreeMap<>();
    private final List<ConfigurationObject> history = new ArrayList<>();
    private final List<ConfigurationStore> stores = new ArrayList<>();
    private final List<Map<ObjectKey, Long>> seen = new ArrayList<>();
    private long revision;
    private long now;

    Simulation() {
      for (int i = 0; i < STORES; i++) {
        stores.add(ConfigurationStore.create(ConfigurationStore.TOMBSTONE_RETENTION_MILLIS));
        seen.add(new HashMap<>());
      }
    }

    void put(int name) {
      revision++;
      VersionId current = new VersionId("v" + revision);
      record(
          new AdapterRecord(
              new AdapterId("a" + name),
              revision,
              new ModelId("base"),
              current,
              java.util.Set.of(current)));
    }

    void delete(int name) {
      ObjectKey key = new ObjectKey(ObjectKind.ADAPTER, "a" + name);
      if (platformObjects.get(key) instanceof AdapterRecord) {
        revision++;
        record(new Tombstone(key, revision));
      }
    }

    private void record(ConfigurationObject object) {
      platformObjects.put(object.key(), object);
      history.add(object);
    }

    void deliverSome(int seed) {
      Random random = new Random(seed);
      List<ConfigurationObject> some = new ArrayList<>(history);
      Collections.shuffle(some, random);
      List<ConfigurationObject> batch = some.subList(0, random.nextInt(some.size() + 1));
      stores.get(random.nextInt(STORES)).apply(now, batch);
    }

    void list(int store) {
      List<ConfigurationObject> present =
          platformObjects.values().stream().filter(AdapterRecord.class::isInstance).toList();
      stores.get(store).applyListing(now, revision, EnumSet.of(ObjectKind.ADAPTER), present);
    }

    void repair(int from, int to) {
      ConfigurationStore source = stores.get(from);
      ConfigurationStore target = stores.get(to);
      List<Integer> buckets = source.digest().differingFrom(target.digest());
      target.apply(now, source.deltaFor(buckets, target.versionsIn(buckets)));
    }

    void assertVersionsNeverDecrease() {
      for (int i = 0; i < STORES; i++) {
        for (ObjectKey key : platformObjects.keySet()) {
          long version = stores.get(i).versionOf(key);
          long before = seen.get(i).getOrDefault(key, 0L);
          assertThat(version)
              .as("version of %s in store %s", key, i)
              .isGreaterThanOrEqualTo(before);
          seen.get(i).put(key, version);
        }
      }
    }

    void assertStoresConverge() {
      list(0);
      for (int round = 0; round < 2; round++) {
        for (int i = 0; i < STORES; i++) {
          // In both directions, as in the real exchange: if a deletion reached no store, only a
          // store that applied a listing can send it to the others.
          repair(i, (i + 1) % STORES);
          repair((i + 1) % STORES, i);
        }
      }
      for (ConfigurationStore store : stores) {
        platformObjects.forEach(
            (key, object) ->
                assertThat(store.find(key).map(ConfigurationObject::version).orElse(0L))
                    .as("%s", key)
                    .isEqualTo(object instanceof Tombstone ? 0L : object.version()));
        assertThat(store.digest()).isEqualTo(stores.get(0).digest());
      }
    }
  }

  @Property(tries = 300, seed = "20261202")
  void versionsNeverDecreaseAndStoresConverge(@ForAll("updates") ActionChain<Simulation> updates) {
    Simulation simulation =
        updates
            .withInvariant("versions never decrease", Simulation::assertVersionsNeverDecrease)
            .run();
    simulation.assertStoresConverge();
    simulation.assertVersionsNeverDecrease();
  }

  @Provide
  Arbitrary<ActionChain<Simulation>> updates() {
    return ActionChain.startWith(Simulation::new)
        .withAction(5, step("put", NAMES - 1, Simulation::put))
        .withAction(2, step("delete", NAMES - 1, Simulation::delete))
        .withAction(6, step("deliver", 1_000_000, Simulation::deliverSome))
        .withAction(1, step("list", STORES - 1, Simulation::list))
        .withAction(
            3, step("repair", STORES * STORES - 1, (w, i) -> w.repair(i / STORES, i % STORES)))
        .withMaxTransformations(60);
  }

  private static Action.Independent<Simulation> step(
      String name, int max, java.util.function.BiConsumer<Simulation, Integer> change) {
    return () ->
        Arbitraries.integers()
            .between(0, max)
            .map(
                value ->
                    Transformer.mutate(
                        name + " " + value, simulation -> change.accept(simulation, value)));
  }
}

package io.sequoiapass.daemon.process.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AffinityRoutesTest {

  private static final ModelId MODEL = new ModelId("base");
  private static final DaemonId OWNER = new DaemonId("d1");
  private static final int ENDPOINTS = 20;
  private static final int MANY = 200;

  private final ConfigurationStore store =
      ConfigurationStore.create(ConfigurationStore.TOMBSTONE_RETENTION_MILLIS);
  private final Set<EndpointId> unowned = new HashSet<>();
  private long now;
  private long version;
  private final AffinityRoutes routes =
      new AffinityRoutes(
          () -> now,
          PlacementWeights.STALLS,
          endpoint -> unowned.contains(endpoint.id()) ? Optional.empty() : Optional.of(OWNER),
          daemon -> Optional.of(new OpenChannel()));

  AffinityRoutesTest() {
    List<ConfigurationObject> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(endpoint("e" + i, EndpointState.ACTIVE));
    }
    store.apply(0, endpoints);
  }

  private EndpointRecord endpoint(String name, EndpointState state) {
    return new EndpointRecord(
        new EndpointId(name),
        ++version,
        "127.0.0.1:1",
        new DataCentreId("yard-north"),
        new HostId("h"),
        EndpointType.ENGINE,
        Optional.of(MODEL),
        Optional.empty(),
        OptionalInt.of(4),
        16,
        FencePolicy.CHECKS,
        state);
  }

  private Optional<EndpointId> find(String adapter, Set<EndpointId> avoid) {
    ConfigurationSnapshot snapshot = store.snapshot();
    RouteTarget target = new RouteTarget.Engine(MODEL, AdapterVersion.parse(adapter + "@v1"));
    return routes.find(target, snapshot, Optional.empty(), avoid).map(Route::endpoint);
  }

  @Test
  void routesAnAdapterToTheSameEndpointAgain() {
    EndpointId first = find("notes", Set.of()).orElseThrow();
    assertThat(find("notes", Set.of())).contains(first);
  }

  @Test
  void hotAndOtherAdaptersUseDisjointEndpoints() {
    Set<EndpointId> others = endpointsOfManyAdapters();
    Set<AdapterVersion> hot = new HashSet<>();
    for (int i = 0; i < MANY; i++) {
      hot.add(AdapterVersion.parse("adapter-" + i + "@v1"));
    }
    routes.updateLoads(List.of(new EndpointLoad(new EndpointId("e0"), 0, 0, 16, Set.of(), hot, 0)));
    Set<EndpointId> shared = endpointsOfManyAdapters();

    assertThat(shared).isNotEmpty().doesNotContainAnyElementsOf(others);
    assertThat(others.size() + shared.size()).isEqualTo(ENDPOINTS);
  }

  @Test
  void hotAdaptersUseMoreEndpointsWithHigherStallWeight() {
    Set<AdapterVersion> hot = new HashSet<>();
    for (int i = 0; i < MANY; i++) {
      hot.add(AdapterVersion.parse("adapter-" + i + "@v1"));
    }
    routes.updateLoads(List.of(new EndpointLoad(new EndpointId("e0"), 0, 0, 16, Set.of(), hot, 0)));
    Set<EndpointId> ordinary = endpointsOfManyAdapters();
    routes.weigh(PlacementWeights.STALLS.times(2, 1));

    assertThat(endpointsOfManyAdapters()).containsAll(ordinary).hasSizeGreaterThan(ordinary.size());
  }

  private Set<EndpointId> endpointsOfManyAdapters() {
    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < MANY; i++) {
      used.add(find("adapter-" + i, Set.of()).orElseThrow());
    }
    return used;
  }

  @Test
  void skipsAFullEndpointUntilItsHintExpires() {
    EndpointId first = find("notes", Set.of()).orElseThrow();
    routes.updateLoads(List.of(new EndpointLoad(first, 16, 0, 16, Set.of())));
    assertThat(find("notes", Set.of())).isPresent().isNotEqualTo(Optional.of(first));
    now += 60_000;
    assertThat(find("notes", Set.of())).contains(first);
  }

  @Nested
  class Failures {

    @Test
    void cachedRankingDropsALeavingEndpoint() {
      EndpointId first = find("notes", Set.of()).orElseThrow();
      store.apply(0, List.of(endpoint(first.value(), EndpointState.LEAVING)));
      assertThat(find("notes", Set.of())).isPresent().isNotEqualTo(Optional.of(first));
    }

    @Test
    void findsAnotherEndpointWhenTheFirstRankedAreAvoided() {
      Set<EndpointId> avoid = new HashSet<>();
      for (int i = 0; i < 8; i++) {
        avoid.add(find("notes", avoid).orElseThrow());
      }
      assertThat(find("notes", avoid)).isPresent().get().isNotIn(avoid);
    }

    @Test
    void findsNoRouteWithoutOwners() {
      store.snapshot().endpoints().forEach(one -> unowned.add(one.id()));
      assertThat(find("notes", Set.of())).isEmpty();
    }

    @Test
    void findsTheOnlyEndpointWithAnOwner() {
      store.snapshot().endpoints().forEach(one -> unowned.add(one.id()));
      EndpointId left = new EndpointId("e7");
      unowned.remove(left);
      for (int i = 0; i < 50; i++) {
        assertThat(find("adapter-" + i, Set.of())).contains(left);
      }
    }
  }

  private static final class OpenChannel implements PeerChannel {
    @Override
    public boolean send(PeerMessage message) {
      return true;
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {}
  }
}

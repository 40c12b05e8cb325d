package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against long waits of requests for the endpoints of a killed daemon. Its lease must expire
 * first; after that, only the read of the lease and one write may add to the wait, whichever daemon
 * is killed and whenever.
 */
class OwnershipTakeoverTest {

  private static final long LEASE_AND_A_SECOND = LeaseSettings.DEFAULT.durationMillis() + 1_000;

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void endpointsOfKilledDaemonHaveOwnersWithinLeaseAndOneSecond(int seed) {
    SimulatedDataCentre world = new SimulatedDataCentre(seed, 4);
    world.run(20_000 + 370L * seed);
    SimulatedDaemon killed = world.daemon(seed % 4);
    Set<EndpointId> orphans = world.platform().table().ownedBy(killed.id);
    killed.frozen = true;
    long killedAt = world.time();
    while (!world.platform().table().ownedBy(killed.id).isEmpty()
        && world.time() < killedAt + 60_000) {
      world.run(100);
    }
    assertThat(world.time() - killedAt)
        .as("takeover of %s from %s", names(orphans), killed.id)
        .isLessThanOrEqualTo(LEASE_AND_A_SECOND);
    world.assertSafe();
  }

  private static String names(Set<EndpointId> endpoints) {
    return endpoints.stream().map(EndpointId::value).collect(Collectors.joining(","));
  }
}

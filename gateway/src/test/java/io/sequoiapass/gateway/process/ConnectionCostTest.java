package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionCostTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final int FIRST_PORT = 9000;
  private static final int SLOTS = 64;

  private final EndpointGroup group =
      new EndpointGroup(NORTH, new AdapterVersions(1_000), any -> {}, () -> 0);
  private final Set<Integer> open = new HashSet<>();

  private static EndpointEntry entry(int index) {
    return new EndpointEntry(
        new EndpointId("e" + index),
        new ServiceId("forms"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + index),
        NORTH,
        SLOTS,
        false,
        1,
        SoftwareVersion.UNSTATED,
        List.of());
  }

  private void start(int endpoints) {
    group.useConnections(
        new ConnectionSource(
            new DaemonId("d1"), (address, policy) -> open.contains(address.getPort())));
    for (int i = 0; i < endpoints; i++) {
      group.put(entry(i), false, 0);
    }
  }

  private static Demand demand(EndpointId... avoid) {
    return new Demand(
        Optional.empty(),
        Set.of(avoid),
        Optional.empty(),
        PlanFixtures.FLOW,
        ReusePolicy.ANY,
        5_000);
  }

  private Candidate choose(long now) {
    Choice choice = group.choose(demand(), new EndpointChooser.Loadable(List.of(), Map.of()), now);
    return ((Choice.Send) choice).candidate();
  }

  private EndpointId send(long now) {
    EndpointId endpoint = choose(now).endpoint();
    assertThat(group.begin(endpoint, demand(), now)).isPresent();
    return endpoint;
  }

  /** Any member would do if nothing were open; the open connection must decide. */
  @Test
  void prefersAnOpenConnection() {
    start(20);
    open.add(FIRST_PORT + 13);

    assertThat(choose(1).endpoint()).isEqualTo(new EndpointId("e13"));
  }

  /** The preference is for many daemons; it must not change the choice where there are few. */
  @Test
  void countsNothingWhereAllEndpointsAreNeeded() {
    start(2);

    assertThat(choose(1).connectionMs()).isZero();
  }

  /** A daemon that has just started has no connection, and must still spread like the others. */
  @Test
  void prefersItsSubsetWithoutAnyConnection() {
    start(20);
    EndpointId first = choose(1).endpoint();

    assertThat(choose(1).connectionMs()).isEqualTo(ConnectionCost.NEW_MS);
    assertThat(choose(5_000).endpoint()).isEqualTo(first);
  }

  /** Requests would queue at the members while other endpoints have room. */
  @Nested
  class ShortSubset {

    @Test
    void usesOtherEndpointsWhenBusy() {
      start(20);
      Set<EndpointId> used = new HashSet<>();
      for (int i = 0; i < 400; i++) {
        used.add(send(1));
      }

      assertThat(used).hasSizeGreaterThan(10);
    }

    @Test
    void growsWithConcurrentRequests() {
      start(20);
      for (int i = 0; i < 15; i++) {
        send(1);
      }
      choose(1_000);

      assertThat(group.connections.preferred()).isEqualTo(15);
    }
  }

  /** The daemon is cut off from its members, so that every request there would fail. */
  @Test
  void replacesMembersThatFail() {
    start(20);
    EndpointId lost = choose(1).endpoint();
    for (int i = 0; i < 8; i++) {
      group.begin(lost, demand(), 1).orElseThrow().ended(Recipient.Ending.FAILED, 2);
    }

    Candidate next = choose(300);

    assertThat(next.endpoint()).isNotEqualTo(lost);
    assertThat(next.connectionMs()).isEqualTo(ConnectionCost.NEW_MS);
  }
}

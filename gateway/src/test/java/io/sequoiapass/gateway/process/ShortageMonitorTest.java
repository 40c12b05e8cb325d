package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.coordination.version.Workspaces;
import io.sequoiapass.daemon.connection.ConnectionLimits;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.RequestKind;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServiceSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A plain service with ten slots whose routes have a target of 200 ms. */
class ShortageMonitorTest {

  private static final ServiceId SERVICE = new ServiceId("mail");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final Flow FLOW = Flow.of(1, Optional.of(new WorkspaceId("w1")));

  private static final ServingConfiguration CONFIGURATION =
      new ServingConfiguration(
          1,
          List.of(
              new RouteSpec(
                  "status",
                  "mail",
                  "/",
                  RequestKind.IDEMPOTENT,
                  1_000,
                  200,
                  0,
                  1,
                  List.of(new RouteSpec.Target(SERVICE, 1)),
                  2,
                  false,
                  1_000,
                  false)),
          List.of(new ServiceSpec(SERVICE, 100, Optional.empty())),
          new ConnectionLimits(16 << 10, 4 << 20, 3_000, 15_000),
          Workspaces.NONE);

  private final AdapterVersions versions = new AdapterVersions(2_500);
  private final EndpointDirectory directory =
      new EndpointDirectory(NORTH, versions, () -> 0, DecisionLog.silent());
  private final PlacementPlan plan =
      new PlacementPlan(versions, new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(directory));
  private final ShortageMonitor monitor =
      new ShortageMonitor(
          DecisionLog.silent(), directory, plan, new LoadQueue(plan, adapter -> false));
  private final LinkedDaemon linked = new LinkedDaemon(null);

  @BeforeEach
  void listOneEndpoint() {
    directory.configure(CONFIGURATION);
    EndpointEntry entry =
        new EndpointEntry(
            new EndpointId("mail-1"),
            SERVICE,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
            NORTH,
            10,
            false,
            1,
            SoftwareVersion.UNSTATED,
            List.of());
    directory.applyUpdate(
        new LinkMessage.Endpoints(
            true, 1, List.of(new LinkMessage.ListedEndpoint(entry, 1)), List.of()));
    linked.daemon = new DaemonId("north-1");
    linked.dataCentre = NORTH;
  }

  private void report(ServiceId service, int asked, int served, int inFlight, long now) {
    monitor.receive(
        linked,
        new RoomMessage.DemandReport(
            List.of(new RoomMessage.FlowDemand(service, FLOW, true, asked, 0, served)),
            List.of(new RoomMessage.InFlight(service, inFlight))),
        now);
  }

  /** Returns the last statement of a load that lasts for some seconds. */
  private Optional<RoomMessage.Shortages> statementAfter(
      ServiceId service, int asked, int served, int inFlight, long from, long to) {
    Optional<RoomMessage.Shortages> last = Optional.empty();
    for (long now = from; now < to; now += 150) {
      report(service, asked, served, inFlight, now);
      last = monitor.statement(Set.of(NORTH), now);
    }
    return last;
  }

  @Test
  void statesNothingWhileAllSlotsAreInUseButNothingWaits() {
    assertThat(statementAfter(SERVICE, 15, 15, 10, 0, 5_000)).isEmpty();
  }

  @Test
  void statesWhatIsAdmittedWhileRequestsWaitForSlots() {
    RoomMessage.Shortage shortage =
        statementAfter(SERVICE, 30, 15, 25, 0, 5_000).orElseThrow().shortages().get(0);

    assertThat(shortage.room()).isEqualTo(Room.CALL_SLOTS);
    assertThat(shortage.shares()).singleElement().satisfies(this::isAboutHalf);
  }

  private void isAboutHalf(RoomMessage.FlowShare share) {
    assertThat(share.flow()).isEqualTo(FLOW);
    assertThat(share.share()).isBetween(0.4, 0.6);
  }

  @Test
  void statesTheEndOnce() {
    statementAfter(SERVICE, 30, 15, 25, 0, 5_000);
    statementAfter(SERVICE, 15, 15, 5, 5_000, 7_000);

    assertThat(statementAfter(SERVICE, 15, 15, 5, 7_100, 7_250).orElseThrow().shortages())
        .isEmpty();
    assertThat(statementAfter(SERVICE, 15, 15, 5, 7_250, 7_400)).isEmpty();
  }

  @Nested
  class Failure {

    /** A coordinator of a new term must not state what it knew in an earlier one. */
    @Test
    void ofAnEarlierTermLeavesNothing() {
      statementAfter(SERVICE, 30, 15, 25, 0, 5_000);
      monitor.activated(60_000);

      assertThat(monitor.statement(Set.of(NORTH), 60_000)).isEmpty();
    }

    /** The requests of a lost daemon must not count as waiting for ever. */
    @Test
    void ofADaemonEndsItsRequests() {
      statementAfter(SERVICE, 30, 15, 25, 0, 5_000);
      monitor.unlinked(linked, 5_000);
      Optional<RoomMessage.Shortages> last = Optional.empty();
      for (long now = 5_000; now <= 7_100; now += 150) {
        last = monitor.statement(Set.of(NORTH), now);
      }

      assertThat(last.map(RoomMessage.Shortages::shortages).orElse(List.of())).isEmpty();
    }

    /** Reports of services that no configuration names must not use memory. */
    @Test
    void toNameAKnownServiceChangesNothing() {
      ServiceId unknown = new ServiceId("unknown");

      assertThat(statementAfter(unknown, 30, 15, 2_000, 0, 5_000)).isEmpty();
      assertThat(directory.find(unknown)).isEmpty();
    }

    /** Negative and huge counts of one daemon must not outweigh the reports of the others. */
    @Test
    void toCountPlausiblyChangesNothing() {
      assertThat(statementAfter(SERVICE, Integer.MAX_VALUE, -15, -25, 0, 5_000)).isEmpty();
      assertThat(statementAfter(SERVICE, -1, 15, Integer.MAX_VALUE, 0, 5_000)).isEmpty();
    }
  }
}

package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A plain service with 96 slots here and 100 in the south, where 30 are in use. */
class SpillModuleTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");

  private final AdapterVersions versions = new AdapterVersions(2_500);
  private final EndpointDirectory directory =
      new EndpointDirectory(NORTH, versions, () -> 0, DecisionLog.silent());
  private final PlacementPlan plan =
      new PlacementPlan(versions, new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(directory));
  private final SpillRoutes routes = new SpillRoutes(NORTH, () -> 0, new GatewayMetrics());
  private final SpillModule module =
      new SpillModule(
          NORTH,
          directory,
          plan,
          new LoadQueue(plan, adapter -> false),
          routes,
          DecisionLog.silent());
  private final LinkedDaemon linked = new LinkedDaemon(null);

  @BeforeEach
  void start() {
    EndpointEntry entry = PlanFixtures.entry(1, false);
    directory.applyUpdate(
        new LinkMessage.Endpoints(
            true, 1, List.of(new LinkMessage.ListedEndpoint(entry, 1)), List.of()));
    linked.daemon = new DaemonId("north-1");
    linked.dataCentre = NORTH;
    module.activated(0);
  }

  private RoomMessage.SpillShares statementAfter(int running, long from, long to) {
    RoomMessage.SpillShares last = new RoomMessage.SpillShares(List.of(), List.of());
    EndpointUsage usage =
        new EndpointUsage(PlanFixtures.ENGINE, new Load(running, 0, 0, 0), List.of());
    RoomMessage.SlotUse south = new RoomMessage.SlotUse(SERVICE, 100, Map.of(SOUTH, 30));
    for (long now = from; now < to; now += 450) {
      routes.receive(SOUTH, new RoomMessage.SpillShares(List.of(south), List.of()), now);
      module.receive(
          linked,
          new LinkMessage.UsageReport(
              false, true, new ClockReading(now, now), List.of(usage), List.of()),
          now);
      last = module.statement(now).orElse(last);
    }
    return last;
  }

  @Test
  void statesTheUseWithoutTheBacklog() {
    RoomMessage.SlotUse use = statementAfter(500, 0, 3_000).loads().get(0);

    assertThat(use.slots()).isEqualTo(96);
    assertThat(use.used()).containsExactly(Map.entry(NORTH, 106));
  }

  @Test
  void sharesArePublishedWhileTheyChangeOrLast() {
    List<RoomMessage.SpillShare> shares = statementAfter(105, 0, 6_000).shares();

    assertThat(shares).extracting(RoomMessage.SpillShare::to).containsExactly(NORTH, SOUTH);
    assertThat(module.isDue(shares, 6_000)).isTrue();
    assertThat(module.isDue(shares, 6_150)).isFalse();
    assertThat(module.isDue(shares, 6_450)).isTrue();
    assertThat(module.isDue(List.of(), 6_600)).isTrue();
    assertThat(module.isDue(List.of(), 9_000)).isFalse();
  }

  @Nested
  class Failure {

    /** A new coordinator knows the reports of few daemons at first, and none of the shares. */
    @Test
    void ofTheCoordinatorBeginsFromZero() {
      assertThat(statementAfter(105, 0, 6_000).shares()).isNotEmpty();
      module.activated(6_000);

      assertThat(module.statement(6_000 + SpillModule.SETTLE_MS - 1)).isEmpty();
      assertThat(statementAfter(105, 7_500, 7_600).shares()).isEmpty();
      assertThat(statementAfter(105, 7_950, 12_000).shares()).isNotEmpty();
    }

    /** Requests of a lost daemon must not keep a share in force. */
    @Test
    void ofADaemonEndsItsDemand() {
      statementAfter(105, 0, 6_000);
      module.unlinked(linked, 6_000);
      for (long now = 6_000; now < 12_000; now += 450) {
        module.statement(now);
      }

      assertThat(module.statement(12_000).orElseThrow().shares()).isEmpty();
    }

    /** Statements of a neighbour stop on an open link: nothing more is sent there. */
    @Test
    void ofANeighbourToStateItsLoadEndsItsShare() {
      statementAfter(105, 0, 6_000);

      assertThat(module.statement(6_000 + SpillRoutes.MAX_LOAD_AGE_MS).orElseThrow().shares())
          .isEmpty();
    }
  }
}

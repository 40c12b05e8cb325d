package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** North sends 0.2 of its demand to south and 0.1 to east. */
class SpillRoutesTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final DataCentreId EAST = new DataCentreId("east");
  private static final List<DataCentreId> ALL = List.of(NORTH, SOUTH, EAST);
  private static final List<AdapterName> OF_NORTH =
      IntStream.range(0, 6_000)
          .mapToObj(PlanFixtures::adapter)
          .filter(name -> RendezvousHash.first(name.toString(), ALL).orElseThrow().equals(NORTH))
          .toList();

  private final GatewayMetrics metrics = new GatewayMetrics();
  private final SpillRoutes routes = stated(NORTH, 0.2);

  private SpillRoutes stated(DataCentreId here, double toSouth) {
    SpillRoutes known = new SpillRoutes(here, () -> 0, metrics);
    known.receive(NORTH, shares(toSouth, 0.1), 0);
    return known;
  }

  private static RoomMessage.SpillShares shares(double south, double east) {
    return new RoomMessage.SpillShares(
        List.of(),
        List.of(
            new RoomMessage.SpillShare(SERVICE, NORTH, Math.max(0, 1 - south - east)),
            new RoomMessage.SpillShare(SERVICE, SOUTH, south),
            new RoomMessage.SpillShare(SERVICE, EAST, east)));
  }

  private static Optional<SpillRoute> route(
      SpillRoutes known, AdapterName adapter, List<DataCentreId> coordinated, long now) {
    return known.of(SERVICE).route(Optional.of(adapter), coordinated, now);
  }

  private static double part(SpillRoutes known, DataCentreId to, List<DataCentreId> coordinated) {
    return OF_NORTH.stream()
            .filter(name -> route(known, name, coordinated, 0).orElseThrow().place().equals(to))
            .count()
        / (double) OF_NORTH.size();
  }

  @Test
  void adaptersFollowTheShares() {
    assertThat(part(routes, SOUTH, ALL)).isBetween(0.17, 0.23);
    assertThat(part(routes, EAST, ALL)).isBetween(0.08, 0.12);
  }

  @Test
  void allDaemonsChooseTheSamePlaceAndFewAdaptersMove() {
    SpillRoutes elsewhere = stated(EAST, 0.2);
    SpillRoutes later = stated(NORTH, 0.22);
    long moved =
        OF_NORTH.stream()
            .filter(name -> !route(routes, name, ALL, 0).equals(route(later, name, ALL, 0)))
            .count();

    assertThat(OF_NORTH)
        .allMatch(name -> route(routes, name, ALL, 0).equals(route(elsewhere, name, ALL, 0)));
    assertThat(moved).isLessThan(OF_NORTH.size() / 25);
  }

  /** Endpoints of one service in two data centres, as a daemon in the north sees them. */
  private static final class Group {
    private final Random random = new Random(5);
    private final EndpointGroup group =
        new EndpointGroup(NORTH, new AdapterVersions(2_500), idle -> {}, random::nextDouble);

    private Group(SpillSource spill, boolean isEngine, DataCentreId... dataCentres) {
      group.configure(isEngine ? Optional.of(PlanFixtures.engineOf(8)) : Optional.empty());
      group.useSpill(spill);
      for (DataCentreId dataCentre : dataCentres) {
        for (int i = 0; i < 3; i++) {
          EndpointId id = new EndpointId(dataCentre + "-" + i);
          EndpointEntry model = PlanFixtures.entry(1, true);
          group.put(
              new EndpointEntry(
                  id,
                  SERVICE,
                  new InetSocketAddress(9000),
                  dataCentre,
                  6,
                  false,
                  1,
                  SoftwareVersion.UNSTATED,
                  model.models()),
              true,
              0);
        }
      }
    }

    private Choice choose(Optional<AdapterName> adapter, int running, long now) {
      for (DataCentreId dataCentre : List.of(NORTH, SOUTH)) {
        EndpointId busy = new EndpointId(dataCentre + "-" + running % 3);
        group.setOthers(dataCentre, Map.of(busy, new Load(running, 0, 0, 0)), now);
      }
      Optional<Generation> generation =
          adapter.map(name -> new Generation(PlanFixtures.MODEL, adapter, 800, 20, List.of()));
      return group.choose(
          new Demand(
              generation, Set.of(), Optional.empty(), PlanFixtures.FLOW, ReusePolicy.ANY, 9_000),
          new EndpointChooser.Loadable(ALL, Map.of()),
          now);
    }
  }

  private static void assertAlike(SpillSource first, SpillSource second, DataCentreId... in) {
    Group a = new Group(first, false, in);
    Group b = new Group(second, false, in);
    Group engines = new Group(first, true, in);
    Group sameEngines = new Group(second, true, in);
    for (int i = 0; i < 300; i++) {
      Optional<AdapterName> adapter = Optional.of(PlanFixtures.adapter(i));
      long now = 2_000 + i * 10L;
      assertThat(a.choose(Optional.empty(), i % 9, now))
          .isEqualTo(b.choose(Optional.empty(), i % 9, now));
      assertThat(engines.choose(adapter, i % 9, now))
          .isEqualTo(sameEngines.choose(adapter, i % 9, now));
    }
  }

  @Test
  void theChoiceIsTheSameWhereNoPlanIsInForce() {
    assertAlike(routes.of(new ServiceId("other")), SpillSource.NONE, NORTH, SOUTH);
    assertAlike(routes.of(SERVICE), SpillSource.NONE, NORTH, SOUTH);
  }

  @Test
  void theChoiceIsTheSameWhereThePlaceHasNoEndpoint() {
    SpillSource toEast = (adapter, coordinated, now) -> Optional.of(new SpillRoute(NORTH, EAST));

    assertAlike(toEast, SpillSource.NONE, NORTH, SOUTH);
  }

  @Test
  void requestsGoToThePlaceAndTheirAdaptersAreLoadedThere() {
    SpillSource toSouth = (adapter, coordinated, now) -> Optional.of(new SpillRoute(NORTH, SOUTH));
    Group calls = new Group(toSouth, false, NORTH, SOUTH);
    Group engines = new Group(toSouth, true, NORTH, SOUTH);

    for (int i = 0; i < 50; i++) {
      Choice.Send sent = (Choice.Send) calls.choose(Optional.empty(), 5, i * 10L);
      assertThat(sent.candidate().dataCentre()).isEqualTo(SOUTH);
      Choice.RequestLoad load =
          (Choice.RequestLoad) engines.choose(Optional.of(OF_NORTH.get(i)), 5, i * 10L);
      assertThat(load.dataCentre()).isEqualTo(SOUTH);
    }
  }

  @Nested
  class Failure {

    /** Statements stop on an open link: shares must not outlast the demand they were made for. */
    @Test
    void ofRepetitionsEndsTheShares() {
      AdapterName adapter = OF_NORTH.get(0);

      assertThat(route(routes, adapter, ALL, SpillRoutes.MAX_SHARE_AGE_MS)).isPresent();
      assertThat(route(routes, adapter, ALL, SpillRoutes.MAX_SHARE_AGE_MS + 1)).isEmpty();
    }

    /** The coordinator or its link is lost; also what a daemon knows that just started. */
    @Test
    void ofTheCoordinatorEndsTheSharesAtOnce() {
      routes.lost(NORTH, 0);

      assertThat(route(routes, OF_NORTH.get(0), ALL, 0)).isEmpty();
    }

    /** The link to a data centre that takes a share is lost before its coordinator's neighbours. */
    @Test
    void ofATakerSendsItsShareToTheOthers() {
      List<AdapterName> moved =
          OF_NORTH.stream()
              .filter(name -> route(routes, name, ALL, 0).orElseThrow().place().equals(SOUTH))
              .toList();

      assertThat(moved)
          .allMatch(
              name ->
                  !route(routes, name, List.of(NORTH, EAST), 0)
                      .orElseThrow()
                      .place()
                      .equals(SOUTH));
      assertThat(part(routes, EAST, List.of(NORTH, EAST))).isBetween(0.26, 0.34);
    }

    /** Impossible figures must neither replace what is known nor stay unnoticed. */
    @Test
    void toStatePossibleFiguresIsCounted() {
      routes.receive(NORTH, shares(0.9, 0.9), 0);
      routes.receive(
          NORTH,
          new RoomMessage.SpillShares(
              List.of(new RoomMessage.SlotUse(SERVICE, -1, Map.of())), List.of()),
          0);

      assertThat(part(routes, SOUTH, ALL)).isBetween(0.17, 0.23);
      assertThat(metrics.text()).contains("sequoiapass_spill_statements_dropped_total 2");
    }
  }
}

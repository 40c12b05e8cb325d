package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.ENGINE;
import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static io.sequoiapass.gateway.process.PlanFixtures.idleStore;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadRouterTest {

  private static final int SLOTS = 16;

  private final DataCentre south = new DataCentre();
  private final DataCentre north = new DataCentre();
  private LinkMessage.Placement remote;

  /** The coordinator of one data centre, reduced to its decisions on loads. */
  private static final class DataCentre {
    private final PlacementPlan plan =
        new PlacementPlan(
            new AdapterVersions(2_500),
            new ModelLoadLimiter(() -> 5_000, 1),
            new LoadTime(idleStore()));
    private final LoadQueue queue = new LoadQueue(plan, name -> false);
    private int loads;

    DataCentre() {
      add(ENGINE);
    }

    void add(EndpointId endpoint) {
      var entry = PlanFixtures.entry(endpoint, 1, true);
      plan.observe(entry, PlanFixtures.engineOf(SLOTS), 0);
      var report = new EndpointReport(entry.models(), Map.of(), false, 0);
      plan.dueForReport(0).forEach(e -> plan.reported(e.endpoint(), Optional.of(report), 0));
    }

    LoadReply route(LoadRouter.RemoteCopies copies, LinkMessage.LoadRequest request, long now) {
      boolean held = plan.holds(request.adapter(), request.version());
      LoadReply reply =
          new LoadRouter(plan, queue, copies).route(request, new LinkedDaemon(null), now);
      loads += !held && reply instanceof LoadReply.Assigned ? 1 : 0;
      return reply;
    }
  }

  private static LinkMessage.LoadRequest request(int adapter, boolean another, boolean copyKnown) {
    return new LinkMessage.LoadRequest(
        adapter(adapter),
        1,
        PlanFixtures.FLOW,
        another,
        100,
        20,
        500,
        0,
        900,
        0,
        0,
        copyKnown,
        List.of());
  }

  private static LinkMessage.LoadRequest excluding(int adapter, EndpointId endpoint) {
    return new LinkMessage.LoadRequest(
        adapter(adapter),
        1,
        PlanFixtures.FLOW,
        false,
        100,
        20,
        500,
        0,
        900,
        0,
        0,
        false,
        List.of(endpoint));
  }

  private LoadReply heldElsewhere() {
    return new LoadReply.HeldElsewhere(remote);
  }

  private LoadReply routeWithRemoteCopy(LinkMessage.LoadRequest request) {
    remote = new LinkMessage.Placement(ENGINE, request.adapter(), 1, 200);
    return north.route((adapter, version) -> Optional.of(remote), request, 0);
  }

  @Nested
  class CopyInAnotherDataCentre {

    @Test
    void redirectsADaemonWithoutARecordOfIt() {
      assertThat(routeWithRemoteCopy(request(1, false, false)))
          .isEqualTo(new LoadReply.HeldElsewhere(remote));
    }

    @Test
    void isNotOfferedToADaemonThatExcludesIt() {
      assertThat(routeWithRemoteCopy(excluding(1, ENGINE))).isNotEqualTo(heldElsewhere());
    }

    /**
     * Guards against endless redirects of a daemon whose request the remote endpoint has refused.
     */
    @Test
    void isNotOfferedToADaemonThatCannotUseIt() {
      assertThat(routeWithRemoteCopy(request(1, false, true)))
          .isInstanceOf(LoadReply.Assigned.class);
    }

    @Test
    void doesNotReplaceAFurtherCopyForABusyAdapter() {
      assertThat(routeWithRemoteCopy(request(1, true, false)))
          .isInstanceOf(LoadReply.Assigned.class);
    }

    @Test
    void isNotPreferredToALocalCopy() {
      north.route((adapter, version) -> Optional.empty(), request(1, false, false), 0);

      assertThat(routeWithRemoteCopy(request(1, false, false)))
          .isInstanceOf(LoadReply.Assigned.class);
    }
  }

  /** Guards against repeated requests for a copy at an endpoint that failed the request. */
  @Nested
  class CopyAtAnExcludedEndpoint {

    private static final EndpointId SECOND = new EndpointId("engine-2");

    @Test
    void isLoadedAtAnotherEndpoint() {
      north.add(SECOND);
      LoadReply first = route(request(1, false, false));
      EndpointId failed = ((LoadReply.Assigned) first).endpoint();
      EndpointId other = failed.equals(ENGINE) ? SECOND : ENGINE;

      assertThat(route(excluding(1, failed))).isEqualTo(new LoadReply.Assigned(other));
      assertThat(route(excluding(1, failed))).isEqualTo(new LoadReply.Assigned(other));
      assertThat(north.plan.holds(adapter(1), 1)).isTrue();
    }

    @Test
    void isRejectedIfThereIsNoOther() {
      route(request(1, false, false));

      assertThat(route(excluding(1, ENGINE))).isInstanceOf(LoadReply.Rejected.class);
    }

    private LoadReply route(LinkMessage.LoadRequest request) {
      return north.route((adapter, version) -> Optional.empty(), request, 0);
    }
  }

  /** Guards against duplicate loads by requests at two coordinators within one update interval. */
  @Nested
  class ConcurrentRequests {

    private static final int ADAPTERS = PlacementPlan.MAX_LOADS_IN_PROGRESS;

    @BeforeEach
    void requestEachAdapterAtBoth() {
      Random random = new Random(3);
      for (int number = 1; number <= ADAPTERS; number++) {
        boolean northFirst = random.nextBoolean();
        DataCentre first = northFirst ? north : south;
        DataCentre second = northFirst ? south : north;
        long now = 1_000L * number;
        first.route((adapter, version) -> Optional.empty(), request(number, false, false), now);
        second.route(
            (adapter, version) ->
                first.plan.holds(adapter, version)
                    ? Optional.of(new LinkMessage.Placement(ENGINE, adapter, 1, 250))
                    : Optional.empty(),
            request(number, false, false),
            now + 20);
      }
    }

    @Test
    void loadEachAdapterOnce() {
      assertThat(north.loads + south.loads).isEqualTo(ADAPTERS);
    }
  }
}

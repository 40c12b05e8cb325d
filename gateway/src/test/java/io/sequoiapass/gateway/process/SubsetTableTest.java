package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class SubsetTableTest {

  private static final DaemonId DAEMON = new DaemonId("north-1");
  private static final int ENGINES = 20;

  private final Set<EndpointId> engines = new TreeSet<>();
  private final DaemonUsageTable usage = new DaemonUsageTable();
  private final SubsetTable subsets = new SubsetTable(engines, usage);

  private static EndpointId engine(int index) {
    return new EndpointId("e" + index);
  }

  private void start() {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(engine(i));
    }
  }

  private void runs(int requests) {
    EndpointUsage running = new EndpointUsage(engine(0), new Load(requests, 0, 0, 0), List.of());
    usage.update(DAEMON, List.of(running));
  }

  @Test
  void growsWithTheDaemonsRequests() {
    start();
    runs(7);

    assertThat(subsets.preferred(DAEMON)).hasSize(7);
  }

  /** Daemons with many requests are served as if there were no subsets. */
  @Test
  void prefersNoneWhereAllAreUsed() {
    start();
    runs(30);

    assertThat(subsets.preferred(DAEMON)).isEmpty();
  }

  /** A load would otherwise prefer an engine that is gone, and the daemon connects elsewhere. */
  @Test
  void followsTheEngines() {
    start();
    Set<EndpointId> before = subsets.preferred(DAEMON);
    engines.removeAll(before);

    assertThat(subsets.preferred(DAEMON)).isNotEmpty().doesNotContainAnyElementsOf(before);
  }

  /**
   * An adapter that one engine holds is sent there whatever connections are open, so that nearly
   * every request for a rare adapter opens one.
   */
  @Test
  void loadsForADaemonGoToItsSubset() {
    start();
    PlacementPlan plan =
        new PlacementPlan(
            new AdapterVersions(2_500),
            new ModelLoadLimiter(() -> 5_000, 1),
            new LoadTime(PlanFixtures.idleStore()));
    for (EndpointId engine : engines) {
      var entry = PlanFixtures.entry(engine, 1, true);
      plan.observe(entry, PlanFixtures.engineOf(8), 0);
      var report = new EndpointReport(entry.models(), Map.of(), false, 0);
      plan.dueForReport(0).forEach(e -> plan.reported(e.endpoint(), Optional.of(report), 0));
    }
    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      LoadNeed need =
          new LoadNeed(
              PlanFixtures.adapter(i),
              1,
              new RequestSize(800, 200),
              PlanFixtures.FLOW,
              Set.of(),
              Optional.of(DAEMON));
      used.add(((LoadReply.Assigned) plan.request(need, false, 0)).endpoint());
    }

    assertThat(subsets.preferred(DAEMON)).containsAll(used);
  }
}

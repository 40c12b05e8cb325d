package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DaemonUsageTableTest {

  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final DaemonId FIRST = new DaemonId("north-1");
  private static final DaemonId SECOND = new DaemonId("north-2");

  private final DaemonUsageTable table = new DaemonUsageTable();

  private static EndpointUsage usage(EndpointId engine, int running, int adapter) {
    return new EndpointUsage(
        engine,
        new Load(running, 100L * running, 200L * running, 10),
        List.of(new EndpointUsage.AdapterUse(adapter(adapter), running, 1)));
  }

  @Nested
  class Totals {

    @Test
    void areTheSumOfTheLatestReports() {
      table.update(FIRST, List.of(usage(ENGINE, 2, 1)));
      table.update(SECOND, List.of(usage(ENGINE, 3, 2)));
      table.update(FIRST, List.of(usage(ENGINE, 1, 3)));

      assertThat(table.load(ENGINE)).isEqualTo(new Load(4, 400, 800, 20));
      assertThat(table.inUse(ENGINE)).containsExactlyInAnyOrder(adapter(2), adapter(3));
    }

    @Test
    void excludeADisconnectedDaemon() {
      table.update(FIRST, List.of(usage(ENGINE, 2, 1)));
      table.update(SECOND, List.of(usage(ENGINE, 3, 1)));
      table.remove(FIRST);

      assertThat(table.load(ENGINE).running()).isEqualTo(3);
      assertThat(table.inUse(ENGINE)).containsExactly(adapter(1));
      table.remove(SECOND);
      assertThat(table.load(ENGINE)).isEqualTo(Load.NONE);
      assertThat(table.inUse(ENGINE)).isEmpty();
    }
  }

  /** Guards against the eviction of an adapter in use, which is missing from the totals. */
  @Nested
  class RandomReports {

    private static final int DAEMONS = 6;
    private static final int ENGINES = 3;
    private static final int ADAPTERS = 5;
    private static final int STEPS = 5_000;

    private final Random random = new Random(7);
    private final Map<DaemonId, List<EndpointUsage>> expected = new HashMap<>();

    private List<EndpointUsage> anyReport() {
      List<EndpointUsage> usages = new ArrayList<>();
      for (int engine = 0; engine < ENGINES; engine++) {
        if (random.nextBoolean()) {
          EndpointId id = new EndpointId("engine-" + engine);
          usages.add(usage(id, random.nextInt(3), random.nextInt(ADAPTERS)));
        }
      }
      return usages;
    }

    private Set<AdapterName> expectedInUse(EndpointId engine) {
      Set<AdapterName> inUse = new HashSet<>();
      for (List<EndpointUsage> report : expected.values()) {
        for (EndpointUsage usage : report) {
          if (usage.endpoint().equals(engine)) {
            usage.uses().stream()
                .filter(use -> use.running() > 0)
                .forEach(use -> inUse.add(use.adapter()));
          }
        }
      }
      return inUse;
    }

    private Load expectedLoad(EndpointId engine) {
      return expected.values().stream()
          .flatMap(List::stream)
          .filter(usage -> usage.endpoint().equals(engine))
          .map(EndpointUsage::load)
          .reduce(Load.NONE, Load::plus);
    }

    @Test
    void totalsEqualASumOverAllReports() {
      for (int step = 0; step < STEPS; step++) {
        DaemonId daemon = new DaemonId("daemon-" + random.nextInt(DAEMONS));
        if (random.nextInt(10) == 0) {
          table.remove(daemon);
          expected.remove(daemon);
        } else {
          List<EndpointUsage> report = anyReport();
          table.update(daemon, report);
          expected.put(daemon, report);
        }
        EndpointId engine = new EndpointId("engine-" + random.nextInt(ENGINES));
        assertThat(table.inUse(engine)).isEqualTo(expectedInUse(engine));
        assertThat(table.load(engine)).isEqualTo(expectedLoad(engine));
      }
    }
  }
}

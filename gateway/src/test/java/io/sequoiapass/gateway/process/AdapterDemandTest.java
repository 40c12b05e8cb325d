package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.request.Flow;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against less urgent loads that evict what more urgent requests keep requesting. */
class AdapterDemandTest {

  private final AdapterDemand demand = new AdapterDemand();

  private void request(int number, int priority, int times) {
    Flow flow = Flow.of(priority, Optional.empty());
    for (int i = 0; i < times; i++) {
      demand.record(
          new LoadNeed(adapter(number), 1, new RequestSize(1, 1), flow, Set.of(), Optional.empty()),
          1_000);
    }
  }

  @Test
  void urgentDemandWeighsMoreWhileSlotsAreShort() {
    request(1, 0, 2);
    request(2, 2, 3);
    demand.noSlot(1_000);

    assertThat(demand.weighted(adapter(1), 1_000))
        .isGreaterThan(demand.weighted(adapter(2), 1_000));
  }

  @Test
  void demandIsNotWeightedWhileSlotsAreFree() {
    request(1, 0, 2);
    request(2, 2, 3);
    demand.noSlot(1_000);

    assertThat(demand.weighted(adapter(1), 3_000)).isEqualTo(demand.of(adapter(1), 3_000));
  }

  @Test
  void demandOfOnePriorityIsNotWeighted() {
    request(1, 2, 3);
    request(2, 2, 1);
    demand.noSlot(1_000);

    assertThat(demand.weighted(adapter(1), 1_000)).isEqualTo(demand.of(adapter(1), 1_000));
  }
}

package io.sequoiapass.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.launch.ClusterNames;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LoadPlanTest {

  private static LoadPlan plan(long seed) {
    return new LoadPlan(20, 50, 100, 1.5, 24, 0.1, 0.05, 0.05, seed);
  }

  @Test
  void isDeterministicForASeed() {
    assertThat(plan(1).requests()).isEqualTo(plan(1).requests());
    assertThat(plan(2).requests()).isNotEqualTo(plan(1).requests());
  }

  @Test
  void matchesRateAndSkew() {
    List<PlannedRequest> requests = plan(1).requests();
    long first = requests.stream().filter(r -> r.adapter().equals(adapter(0))).count();
    long second = requests.stream().filter(r -> r.adapter().equals(adapter(1))).count();

    assertThat(requests).hasSizeBetween(900, 1_100);
    assertThat((double) first / second).isBetween(2.2, 3.5);
  }

  private static Optional<String> adapter(int rank) {
    return Optional.of(ClusterNames.adapter(rank));
  }
}

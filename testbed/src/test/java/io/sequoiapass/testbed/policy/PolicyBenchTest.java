package io.sequoiapass.testbed.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyBenchTest {

  private static final SimulationConfig SMALL =
      new SimulationConfig(User.YARDS, 1.2, 300, 4, 8, 3, 4, 2, 4, 60);

  @Test
  void isDeterministicForASeed() {
    assertThat(stall(Policies.ADAPTIVE, Scenario.FLIP))
        .isEqualTo(stall(Policies.ADAPTIVE, Scenario.FLIP));
  }

  @Test
  void everyPolicyRespectsEngineConstraintsInEveryScenario() {
    for (Scenario scenario : Scenario.values()) {
      for (Policies policy : Policies.values()) {
        assertThat(stall(policy, scenario)).as(policy + " " + scenario).isPositive();
      }
    }
  }

  @Test
  void concurrentLoadsShareTheWeightStore() {
    Engine engine =
        new Engine(new io.sequoiapass.coordination.EndpointId("e"), Workload.MAIN, 0, SMALL);
    WeightStore store = new WeightStore();
    store.add(0, new WeightStore.Transfer(engine, null));
    store.add(125, new WeightStore.Transfer(engine, null));

    assertThat(store.nextEndMs()).isEqualTo(375);
    store.takeEnded(375);
    assertThat(store.nextEndMs()).isEqualTo(500);
  }

  @Test
  void rejectsInvalidFlags() {
    assertThat(PolicyBench.run(new String[] {"--slots", "0"})).isEqualTo(2);
    assertThat(PolicyBench.run(new String[] {"--scenario", "none"})).isEqualTo(2);
  }

  private static double stall(Policies policy, Scenario scenario) {
    List<Workload.Arrival> arrivals = Workload.generate(SMALL, scenario, 7);
    Policy used = policy.create(SMALL, 7, arrivals);
    return new Simulation(SMALL, scenario, 7, used).run(arrivals).stallSeconds();
  }
}

package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong outcomes of a request while owners freeze, links break, endpoints refuse,
 * fail or answer with another adapter, and frames arrive late, duplicated and out of order. The
 * caller must receive exactly one outcome: NOT RUN only if no endpoint ever ran the request, also
 * later; an answer only if it is complete. At-most-once work must have run at most once, as counted
 * by the endpoints.
 */
class RequestAttemptsFuzzTest {

  /** For a longer run: {@code mvn test "-Dtest.arguments=-Xmx1g -Dfuzz.runs=100000"}. */
  private static final int SEED_COUNT = Integer.getInteger("fuzz.runs", 2_000);

  @Property(tries = 400, seed = "5")
  void randomSeeds(@ForAll long seed, @ForAll Repeatability repeatability) {
    check(seed, repeatability);
  }

  @Test
  void fixedSeeds() {
    Map<OutcomeClass, Integer> seen = new EnumMap<>(OutcomeClass.class);
    for (long seed = 0; seed < SEED_COUNT; seed++) {
      for (Repeatability repeatability : Repeatability.values()) {
        seen.merge(check(seed, repeatability), 1, Integer::sum);
      }
    }
    assertThat(seen).as("every class of outcome was met").containsOnlyKeys(OutcomeClass.values());
  }

  private static OutcomeClass check(long seed, Repeatability repeatability) {
    AttemptSimulation simulation = new AttemptSimulation(seed, repeatability);
    simulation.run();
    String name = "seed " + seed + " " + repeatability;
    assertThat(simulation.outcomes).as(name).hasSize(1);
    Outcome outcome = simulation.outcomes.get(0);
    if (outcome instanceof Outcome.NotRun) {
      assertThat(simulation.runs).as(name + " runs after NOT RUN, " + outcome).isZero();
    }
    if (outcome instanceof Outcome.Answered answered) {
      assertThat(answered.tokens()).as(name).isEqualTo(simulation.length());
      int expected = simulation.callerLeft ? simulation.delivered : simulation.length();
      assertThat(simulation.delivered).as(name + " delivered").isEqualTo(expected);
    }
    if (repeatability == Repeatability.AT_MOST_ONCE) {
      assertThat(simulation.runs).as(name + " runs").isLessThanOrEqualTo(1);
    }
    return outcome.outcomeClass();
  }
}

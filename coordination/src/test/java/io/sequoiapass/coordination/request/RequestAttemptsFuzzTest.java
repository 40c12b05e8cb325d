package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * A caller sends one request while owners freeze, links break, endpoints refuse, die or answer on
 * another adapter, and frames come late, doubled and out of order. It must be told exactly one
 * outcome; NOT RUN only if no endpoint ever ran it, also later; an answer only if it is whole; and
 * work that may not be repeated must have run once at most, by the count of the endpoints.
 */
class RequestAttemptsFuzzTest {

  /** A longer run: {@code mvn test "-Dtest.arguments=-Xmx1g -Dfuzz.runs=100000"}. */
  private static final int RUNS = Integer.getInteger("fuzz.runs", 2_000);

  @Property(tries = 400, seed = "5")
  void anySeed(@ForAll long seed, @ForAll Repeatability repeatability) {
    check(seed, repeatability);
  }

  @Test
  void fixedSeeds() {
    Map<OutcomeClass, Integer> seen = new EnumMap<>(OutcomeClass.class);
    for (long seed = 0; seed < RUNS; seed++) {
      for (Repeatability repeatability : Repeatability.values()) {
        seen.merge(check(seed, repeatability), 1, Integer::sum);
      }
    }
    assertThat(seen).as("every class of outcome was met").containsOnlyKeys(OutcomeClass.values());
  }

  private static OutcomeClass check(long seed, Repeatability repeatability) {
    AttemptWorld world = new AttemptWorld(seed, repeatability);
    world.run();
    String name = "seed " + seed + " " + repeatability;
    assertThat(world.outcomes).as(name).hasSize(1);
    Outcome outcome = world.outcomes.get(0);
    if (outcome instanceof Outcome.NotRun) {
      assertThat(world.runs).as(name + " runs after NOT RUN, " + outcome).isZero();
    }
    if (outcome instanceof Outcome.Answered answered) {
      assertThat(answered.tokens()).as(name).isEqualTo(world.length());
      int wanted = world.callerLeft ? world.delivered : world.length();
      assertThat(world.delivered).as(name + " delivered").isEqualTo(wanted);
    }
    if (repeatability == Repeatability.AT_MOST_ONCE) {
      assertThat(world.runs).as(name + " runs").isLessThanOrEqualTo(1);
    }
    return outcome.outcomeClass();
  }
}

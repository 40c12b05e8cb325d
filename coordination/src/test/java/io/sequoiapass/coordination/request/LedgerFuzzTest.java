package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against running the work of a key twice within its retention, counted where it runs.
 * Callers repeatedly send the same keys through five daemons while daemons are replaced, freeze
 * beyond their lease and resume, or are partitioned from the others and from the platform, and
 * while messages are lost, duplicated and reordered.
 */
class LedgerFuzzTest {

  private static final int SEED_COUNT = Integer.getInteger("fuzz.runs", 200);
  private static final long FIRST_SEED = Long.getLong("fuzz.first", 0);
  private static final int STEPS = 6_000;

  @Property(tries = 50, seed = "7")
  void randomSeeds(@ForAll long seed) {
    check(seed, 0.01, false);
  }

  @Test
  void fixedSeeds() {
    assertThat(started(false)).as("starts over all seeds").isGreaterThan(SEED_COUNT);
  }

  @Test
  void fixedSeedsWithPlannedStops() {
    assertThat(started(true)).as("starts over all seeds").isGreaterThan(SEED_COUNT);
  }

  /** Simulations share no state, so seeds run in parallel; each by itself is deterministic. */
  private static int started(boolean plannedStops) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
        .parallel()
        .mapToInt(seed -> check(seed, 0.002 * (1 + seed % 10), plannedStops).started)
        .sum();
  }

  @Test
  void withoutFaultsKeysStartAfterRetention() {
    assertThat(check(1, 0, false).started).isGreaterThan(5);
  }

  private static LedgerSimulation check(long seed, double faults, boolean plannedStops) {
    LedgerSimulation simulation = new LedgerSimulation(seed, faults, plannedStops);
    assertThatCode(() -> simulation.run(STEPS)).as("seed " + seed).doesNotThrowAnyException();
    return simulation;
  }
}

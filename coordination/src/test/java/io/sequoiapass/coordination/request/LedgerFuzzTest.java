package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Callers send the same keys through five daemons at once, again and again. Daemons are replaced,
 * freeze past their lease and thaw, are cut off from the others and from the platform, and messages
 * are lost, doubled and reordered. No key may run twice within its retention, by the count of those
 * who run it.
 */
class LedgerFuzzTest {

  private static final int RUNS = Integer.getInteger("fuzz.runs", 200);
  private static final long FIRST = Long.getLong("fuzz.first", 0);
  private static final int STEPS = 6_000;

  @Property(tries = 50, seed = "7")
  void anySeed(@ForAll long seed) {
    check(seed, 0.01);
  }

  @Test
  void fixedSeeds() {
    // Worlds share nothing, so seeds are played side by side; each by itself is the same every
    // time.
    int started =
        LongStream.range(FIRST, FIRST + RUNS)
            .parallel()
            .mapToInt(seed -> check(seed, 0.002 * (1 + seed % 10)).started)
            .sum();
    assertThat(started).as("starts over all seeds").isGreaterThan(RUNS);
  }

  @Test
  void withoutFaultsKeysStartOnceMembersAreOldEnough() {
    assertThat(check(1, 0).started).isGreaterThan(5);
  }

  private static LedgerWorld check(long seed, double faults) {
    LedgerWorld world = new LedgerWorld(seed, faults);
    assertThatCode(() -> world.run(STEPS)).as("seed " + seed).doesNotThrowAnyException();
    return world;
  }
}

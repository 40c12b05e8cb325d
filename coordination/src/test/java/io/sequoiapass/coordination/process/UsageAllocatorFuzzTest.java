package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against a workspace whose admitted units exceed its limit in some window while links are
 * cut and coordinators are replaced, or that gets much less than its limit while all is well.
 */
class UsageAllocatorFuzzTest {

  @Property(tries = 60, seed = "20261203")
  void keepsAndUsesItsLimit(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @DoubleRange(min = 1.7, max = 4) double timesLimit) {
    UsageFleet fleet = new UsageFleet(seed);
    fleet.play(8_000, 0.55);
    fleet.play(20_000, timesLimit);

    assertThat(fleet.worstWindow()).isLessThanOrEqualTo(1);
    assertThat(fleet.admittedBetween(16_000, 28_000)).isGreaterThan(0.95 * 12 * UsageFleet.RATE);
  }

  @Property(tries = 60, seed = "20261203")
  void dataCentreThatIsCutOffDoesNotDoubleTheLimit(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @DoubleRange(min = 0.4, max = 3) double timesLimit) {
    UsageFleet fleet = new UsageFleet(seed);
    fleet.play(10_000, timesLimit);
    fleet.cutAll((daemon, dc) -> (daemon % UsageFleet.DATA_CENTRES == 0) != (dc == 0));
    fleet.play(16_000, timesLimit);

    assertThat(fleet.worstWindow()).isLessThanOrEqualTo(1);
  }

  @Property(tries = 60, seed = "20261203")
  void allDaemonsWithoutACoordinatorKeepTheLimit(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @DoubleRange(min = 0.4, max = 3) double timesLimit) {
    UsageFleet fleet = new UsageFleet(seed);
    fleet.play(10_000, timesLimit);
    fleet.cutAll((daemon, dc) -> true);
    fleet.play(10_000, timesLimit);

    assertThat(fleet.worstWindow()).isLessThanOrEqualTo(1);
  }

  @Property(tries = 60, seed = "20261203")
  void replacedCoordinatorsAndFlakyLinksKeepTheLimit(
      @ForAll @IntRange(max = 1_000_000) int seed,
      @ForAll @DoubleRange(min = 0.4, max = 3) double timesLimit) {
    UsageFleet fleet = new UsageFleet(seed);
    fleet.playReplacedCoordinatorsAndFlakyLinks(timesLimit);

    assertThat(fleet.worstWindow()).isLessThanOrEqualTo(1);
  }
}

package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTimeEstimatorTest {

  private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();

  @Test
  void estimatesZeroWithoutSamples() {
    assertThat(estimator.expectedMillis(100)).isZero();
  }

  @Test
  void growsWithAmountOfWork() {
    for (int i = 0; i < 20; i++) {
      estimator.served(10, 100);
    }
    assertThat(estimator.expectedMillis(5)).isEqualTo(50);
    assertThat(estimator.expectedMillis(10)).isEqualTo(100);
  }

  // A probe of one token takes 40 ms, most of it fixed overhead. Scaled up to 6,000 tokens the
  // estimate was four minutes, and a caller with a deadline of one minute was refused although the
  // answer takes half of that.
  @Test
  void doesNotScaleShortRequestsToLongOnes() {
    estimator.served(1, 40);
    assertThat(estimator.expectedMillis(6_000)).isEqualTo(40);
  }

  @Test
  void includesMeanDeviation() {
    for (int i = 0; i < 100; i++) {
      estimator.served(10, i % 2 == 0 ? 80 : 120);
    }
    assertThat(estimator.expectedMillis(10)).isBetween(120L, 150L);
  }
}

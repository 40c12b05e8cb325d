package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a stopping daemon that misjudges how long an endpoint takes for a request. */
class DurationEstimatorTest {

  private static final int SAMPLES = 100;

  private final DurationEstimator estimator = new DurationEstimator();

  private void addEach(long... ms) {
    for (int i = 0; i < SAMPLES; i++) {
      estimator.add(ms[i % ms.length]);
    }
  }

  @Test
  void isZeroWithoutASample() {
    assertThat(estimator.mostMs()).isZero();
  }

  @Test
  void allowsForHalfAsMuchAgainAfterOneSample() {
    estimator.add(300);

    assertThat(estimator.mostMs()).isEqualTo(450);
  }

  @Test
  void steadyDurationsAreEstimatedExactly() {
    addEach(300);

    assertThat(estimator.mostMs()).isEqualTo(300);
  }

  @Test
  void varyingDurationsDoNotExceedTheEstimate() {
    addEach(200, 400);

    assertThat(estimator.mostMs()).isBetween(400L, 600L);
  }

  /** Guards against requests that are sent although their endpoint has become slow. */
  @Test
  void firstDurationAfterAJumpRaisesTheEstimate() {
    addEach(100);
    estimator.add(1_100);

    // A mean of 225 ms and a deviation of 250 ms.
    assertThat(estimator.mostMs()).isEqualTo(475);
  }

  @Test
  void estimateConvergesAfterAJump() {
    addEach(100);
    addEach(1_100);

    assertThat(estimator.mostMs()).isEqualTo(1_100);
  }
}

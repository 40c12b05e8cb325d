package io.sequoiapass.coordination.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointHealthTest {

  private static final EndpointId BAD = new EndpointId("e0");
  private final EndpointHealth health = new EndpointHealth(HealthSettings.DEFAULT);

  private void fail(EndpointId endpoint, int times, long now) {
    for (int i = 0; i < times; i++) {
      health.failed(endpoint, now);
    }
  }

  @Nested
  class CircuitBreakerState {

    @Test
    void failedProbeDoublesOpenPeriod() {
      fail(BAD, 3, 0);
      assertThat(health.admits(BAD, 499)).isFalse();
      assertThat(health.admits(BAD, 500)).isTrue();
      health.sent(BAD, 500);
      assertThat(health.admits(BAD, 501)).as("second request beside the probe").isFalse();
      health.failed(BAD, 510);
      assertThat(health.admits(BAD, 1_509)).isFalse();
      assertThat(health.admits(BAD, 1_510)).isTrue();
    }

    @Test
    void failuresOfInFlightRequestsDoNotExtendOpenPeriod() {
      fail(BAD, 3, 0);
      fail(BAD, 5, 400);
      assertThat(health.admits(BAD, 500)).isTrue();
    }

    @Test
    void successfulProbeClosesCircuit() {
      fail(BAD, 3, 0);
      health.sent(BAD, 500);
      health.succeeded(BAD, 510);
      assertThat(health.admits(BAD, 511)).isTrue();
    }

    @Test
    void cancelledProbeAdmitsAnotherProbe() {
      fail(BAD, 3, 0);
      health.sent(BAD, 500);
      health.withdrawn(BAD, 510);
      assertThat(health.admits(BAD, 511)).isTrue();
    }
  }

  @Nested
  class Outliers {

    private void outcomes(int endpoints, int failing, int rounds) {
      for (int round = 0; round < rounds; round++) {
        for (int i = 0; i < endpoints; i++) {
          EndpointId endpoint = new EndpointId("e" + i);
          // Never two consecutive failures, so that no circuit opens.
          if (i < failing && round % 3 != 0) {
            health.failed(endpoint, 0);
          } else {
            health.succeeded(endpoint, 0);
          }
        }
      }
    }

    @Test
    void outlierIsEjectedUntilWindowEnds() {
      outcomes(6, 1, 30);
      assertThat(health.ejected(0)).containsExactly(BAD);
      assertThat(health.admits(BAD, 0)).isFalse();
      assertThat(health.ejected(10_000)).isEmpty();
    }

    @Test
    void commonFailureEjectsNoEndpoint() {
      outcomes(6, 6, 30);
      assertThat(health.ejected(0)).isEmpty();
    }

    @Test
    void ejectsAtMostAThird() {
      outcomes(9, 4, 30);
      assertThat(health.ejected(0)).hasSize(3);
    }
  }
}

package io.sequoiapass.coordination.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointPermitsTest {

  private final EndpointPermits permits = new EndpointPermits(() -> 0.5);

  @BeforeEach
  void limitOfOne() {
    permits.named(OptionalDouble.of(1), 0, 10);
    permits.coordinated(true, 6, 10);
  }

  @Test
  void permitIsUsedOnceAndExpires() {
    permits.granted(500, 20);
    assertThat(permits.take(30)).isTrue();
    assertThat(permits.take(30)).isFalse();

    permits.granted(500, 40);
    assertThat(permits.take(40 + EndpointPermits.VALID_MS)).isFalse();
  }

  /** Guards against requests that check every few milliseconds for a permit that is late. */
  @Test
  void overduePermitIsNotExpectedAtOnce() {
    permits.queued(100, 20);

    assertThat(permits.waitMs(60)).isEqualTo(60);
    assertThat(permits.waitMs(500)).isGreaterThanOrEqualTo(50);
  }

  @Nested
  class WithoutACoordinator {

    @Test
    void permitIsDrawnWithAnEqualPartOfTheLimit() {
      permits.coordinated(false, 3, 10);
      // A part is worth 0.35 / 3 requests a second; after 4.3 s a draw of 0.5 is below it.
      assertThat(permits.mayTake(4_000)).isFalse();
      assertThat(permits.mayTake(8_400)).isTrue();
      assertThat(permits.take(8_400)).isTrue();
      assertThat(permits.take(8_410)).isFalse();
    }

    @Test
    void nothingIsDrawnWhileTheNumberOfDaemonsIsUnknown() {
      permits.coordinated(false, 0, 10);

      assertThat(permits.mayTake(100_000)).isFalse();
    }

    @Test
    void refusalOfTheCoordinatorCountsForAWhileOnly() {
      permits.refused(10);
      permits.coordinated(true, 1, 20);
      assertThat(permits.mayTake(2_000)).isTrue();

      permits.coordinated(true, 1, 2_100);
      assertThat(permits.take(4_000)).isFalse();
    }
  }
}

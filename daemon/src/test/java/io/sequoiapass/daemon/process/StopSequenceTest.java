package io.sequoiapass.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.daemon.process.StopSequence.Phase;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StopSequenceTest {

  private static final long GRACE = 1_000;
  private static final long LIMIT = 10_000;

  private final StopSequence stop = new StopSequence(GRACE, LIMIT);

  @Test
  void servesUntilTheStopIsRequested() {
    stop.tick(50_000, 0, 0);
    assertThat(stop.phase()).isEqualTo(Phase.SERVING);
  }

  @Test
  void rejectsALimitBelowTheGrace() {
    assertThatThrownBy(() -> new StopSequence(5, 4)).hasMessageContaining("5, 4");
  }

  @Nested
  class AfterBegin {

    @Test
    void acceptsRequestsWhileNotReadyDuringTheGrace() {
      stop.begin(0);
      stop.tick(GRACE - 1, 0, 0);
      assertThat(stop.phase().isReady()).isFalse();
      assertThat(stop.phase().isAccepting()).isTrue();
    }

    @Test
    void aSecondBeginDoesNotProlongTheGrace() {
      stop.begin(0);
      stop.begin(GRACE - 1);
      stop.tick(GRACE, 1, 0);
      assertThat(stop.phase()).isEqualTo(Phase.FINISHING);
    }

    @Test
    void waitsForRequestsAndForEndpointsToBeHandedOver() {
      stop.begin(0);
      stop.tick(GRACE, 1, 0);
      stop.tick(GRACE + 1, 0, 1);
      assertThat(stop.phase()).isEqualTo(Phase.FINISHING);
      stop.tick(GRACE + 2, 0, 0);
      assertThat(stop.phase()).isEqualTo(Phase.STOPPED);
    }

    @Test
    void stopsAtItsLimitWithWorkLeft() {
      stop.begin(0);
      stop.tick(GRACE, 3, 1);
      stop.tick(LIMIT, 3, 1);
      assertThat(stop.phase()).isEqualTo(Phase.STOPPED);
    }
  }
}

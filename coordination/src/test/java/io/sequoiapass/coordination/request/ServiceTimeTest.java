package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ServiceTimeTest {

  private final ServiceTime time = new ServiceTime();

  @Test
  void nothingIsExpectedBeforeAnythingWasServed() {
    assertThat(time.expectedMillis(100)).isZero();
  }

  @Test
  void growsWithTheWork() {
    for (int i = 0; i < 20; i++) {
      time.served(10, 100);
    }
    assertThat(time.expectedMillis(5)).isEqualTo(50);
    assertThat(time.expectedMillis(10)).isEqualTo(100);
  }

  // A probe of one token takes 40 ms, most of it to begin. Multiplied by 6,000 tokens that were
  // four minutes, and a caller with a minute was refused although the answer takes half of it.
  @Test
  void shortWorkSaysNothingOfLongWork() {
    time.served(1, 40);
    assertThat(time.expectedMillis(6_000)).isEqualTo(40);
  }

  @Test
  void leavesRoomForItsUsualError() {
    for (int i = 0; i < 100; i++) {
      time.served(10, i % 2 == 0 ? 80 : 120);
    }
    assertThat(time.expectedMillis(10)).isBetween(120L, 150L);
  }
}

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
    assertThat(time.expectedMillis(10)).isEqualTo(100);
    assertThat(time.expectedMillis(50)).isEqualTo(500);
  }

  @Test
  void leavesRoomForItsUsualError() {
    for (int i = 0; i < 100; i++) {
      time.served(10, i % 2 == 0 ? 80 : 120);
    }
    assertThat(time.expectedMillis(10)).isBetween(120L, 150L);
  }
}

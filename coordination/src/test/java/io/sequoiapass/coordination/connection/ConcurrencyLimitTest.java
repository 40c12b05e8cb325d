package io.sequoiapass.coordination.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private final ConcurrencyLimit limit = new ConcurrencyLimit(16);

  @Test
  void burstOfRefusalsDecreasesLimitOnce() {
    limit.refused(0);
    limit.refused(50);
    assertThat(limit.calls()).isEqualTo(11);
    limit.refused(100);
    assertThat(limit.calls()).isEqualTo(7);
  }

  @Test
  void growsOnlyWhileFullyUsed() {
    limit.refused(0);
    for (int i = 0; i < 100; i++) {
      limit.answered(3);
    }
    assertThat(limit.calls()).isEqualTo(11);
    for (int i = 0; i < 12; i++) {
      limit.answered(limit.calls());
    }
    assertThat(limit.calls()).isEqualTo(12);
  }

  @Test
  void staysBetweenOneAndBound() {
    for (int i = 0; i < 50; i++) {
      limit.refused(100L * i);
    }
    assertThat(limit.calls()).isEqualTo(1);
    for (int i = 0; i < 1_000; i++) {
      limit.answered(limit.calls());
    }
    assertThat(limit.calls()).isEqualTo(16);
  }

  @Test
  void newBoundKeepsAdaptedLimit() {
    limit.refused(0);
    limit.bound(32);
    assertThat(limit.calls()).isEqualTo(11);
    limit.bound(4);
    assertThat(limit.calls()).isEqualTo(4);
  }
}

package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against orders under a lease that expired while the process was suspended. */
class FreezeDetectorTest {

  private long monotonicMs = 1_000;
  private long wallMs = 1_700_000_000_000L;
  private final FreezeDetector detector = new FreezeDetector(() -> monotonicMs, () -> wallMs);

  @Test
  void stoppedMonotonicClockIsReportedOnceAndSuspectUntilTheLeaseIsRenewed() {
    wallMs += 3_000;
    assertThat(detector.checkDrift()).isTrue();
    assertThat(detector.isSuspect()).isTrue();
    advance(100);
    assertThat(detector.checkDrift()).isFalse();
    assertThat(detector.isSuspect()).isTrue();
    detector.leaseRenewed();
    assertThat(detector.isSuspect()).isFalse();
  }

  @Test
  void wallClockThatIsSetBackIsReported() {
    wallMs -= 3_000;
    assertThat(detector.checkDrift()).isTrue();
  }

  // Both clocks advance while a thread is late. Taken for a suspension, each busy second would
  // delay orders that callers wait for.
  @Test
  void timeOnBothClocksIsNoSuspension() {
    advance(10_000);
    wallMs += 300;
    assertThat(detector.checkDrift()).isFalse();
    assertThat(detector.isSuspect()).isFalse();
  }

  private void advance(long ms) {
    monotonicMs += ms;
    wallMs += ms;
  }
}

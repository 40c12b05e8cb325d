package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that wait for an engine that stalls on open connections. */
class ResponseWatchdogTest {

  private static final long TIMEOUT_MS = 1_200;

  private final ResponseWatchdog watch = new ResponseWatchdog(0, TIMEOUT_MS);

  @Test
  void stallOfAllStreamsTimesOutOnTheSecondCheck() {
    assertThat(watch.checkTimeout(true, 450)).isFalse();
    assertThat(watch.nextCheckMs(450)).isLessThanOrEqualTo(100);
    assertThat(watch.checkTimeout(true, 500)).isTrue();
  }

  /** Guards against a check that spins while a request stays at its endpoint. */
  @Test
  void keepsCheckingAtIntervalsAfterTheTimeout() {
    assertThat(watch.checkTimeout(false, 1_300)).isTrue();
    assertThat(watch.nextCheckMs(1_300)).isGreaterThanOrEqualTo(50);
  }

  @Test
  void eventOnAnotherStreamClearsTheSuspicion() {
    watch.checkTimeout(true, 450);

    assertThat(watch.checkTimeout(false, 500)).isFalse();
    assertThat(watch.checkTimeout(true, 750)).isFalse();
  }

  @Test
  void stallOfOneStreamTimesOutAfterTheTimeout() {
    assertThat(watch.checkTimeout(false, 1_190)).isFalse();
    assertThat(watch.nextCheckMs(1_190)).isEqualTo(10);
    assertThat(watch.checkTimeout(false, 1_200)).isTrue();
  }
}

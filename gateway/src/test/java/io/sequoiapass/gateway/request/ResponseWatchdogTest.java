package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that wait for an engine whose open connections are silent. */
class ResponseWatchdogTest {

  private static final long PATIENCE_MS = 1_200;

  private final ResponseWatchdog watch = new ResponseWatchdog(0, PATIENCE_MS);

  @Test
  void silenceToAllIsGivenUpOnTheSecondLook() {
    assertThat(watch.givesUp(true, 450)).isFalse();
    assertThat(watch.nextLookMs(450)).isLessThanOrEqualTo(100);
    assertThat(watch.givesUp(true, 500)).isTrue();
  }

  /** Guards against a check that spins while a request stays at its endpoint. */
  @Test
  void keepsLookingAtIntervalsAfterTheTimeout() {
    assertThat(watch.givesUp(false, 1_300)).isTrue();
    assertThat(watch.nextLookMs(1_300)).isGreaterThanOrEqualTo(50);
  }

  @Test
  void wordToAnotherStreamTakesTheSuspicionBack() {
    watch.givesUp(true, 450);

    assertThat(watch.givesUp(false, 500)).isFalse();
    assertThat(watch.givesUp(true, 750)).isFalse();
  }

  @Test
  void silenceToThisOneAloneIsBorneForItsPatience() {
    assertThat(watch.givesUp(false, 1_190)).isFalse();
    assertThat(watch.nextLookMs(1_190)).isEqualTo(10);
    assertThat(watch.givesUp(false, 1_200)).isTrue();
  }
}

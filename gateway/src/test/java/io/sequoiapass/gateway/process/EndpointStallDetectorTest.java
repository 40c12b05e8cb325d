package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointStallDetectorTest {

  private final EndpointStallDetector stalls = new EndpointStallDetector();

  private void startStreams(int count, long now) {
    for (int i = 0; i < count; i++) {
      stalls.streamStarted(now);
    }
  }

  private long eventsEvery(long pauseMs, int times, long from) {
    for (int i = 1; i <= times; i++) {
      stalls.progress(from + i * pauseMs);
    }
    return from + times * pauseMs;
  }

  @Test
  void silenceOfASecondIsNoStallAndALongerOneIs() {
    startStreams(3, 0);
    long last = eventsEvery(40, 50, 0);

    assertThat(stalls.isStalled(last + 1_500)).isFalse();
    assertThat(stalls.isStalled(last + 1_700)).isTrue();
  }

  @Test
  void singleStreamIsNoEvidence() {
    startStreams(1, 0);

    assertThat(stalls.isStalled(5_000)).isFalse();
  }

  @Test
  void slowEngineIsNotStalled() {
    startStreams(2, 0);
    long last = eventsEvery(300, 50, 0);

    assertThat(stalls.isStalled(last + 2_000)).isFalse();
  }

  @Test
  void endedStreamsDoNotCount() {
    startStreams(2, 0);
    stalls.streamEnded();

    assertThat(stalls.isStalled(5_000)).isFalse();
  }
}

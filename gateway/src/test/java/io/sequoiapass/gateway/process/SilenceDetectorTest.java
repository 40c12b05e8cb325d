package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SilenceDetectorTest {

  private final SilenceDetector heard = new SilenceDetector();

  private void streams(int count, long now) {
    for (int i = 0; i < count; i++) {
      heard.begun(now);
    }
  }

  private long wordsEach(long pauseMs, int times, long from) {
    for (int i = 1; i <= times; i++) {
      heard.word(from + i * pauseMs);
    }
    return from + times * pauseMs;
  }

  @Test
  void silenceToSeveralStreamsShowsWithinHalfASecond() {
    streams(3, 0);
    long last = wordsEach(40, 50, 0);

    assertThat(heard.isSilent(last + 390)).isFalse();
    assertThat(heard.isSilent(last + 500)).isTrue();
  }

  @Test
  void oneStreamAloneProvesNothing() {
    streams(1, 0);

    assertThat(heard.isSilent(5_000)).isFalse();
  }

  @Test
  void engineThatIsAlwaysSlowIsNotTakenForDark() {
    streams(2, 0);
    long last = wordsEach(300, 50, 0);

    assertThat(heard.isSilent(last + 1_500)).isFalse();
  }

  @Test
  void endedStreamsAreNotMissed() {
    streams(2, 0);
    heard.ended();

    assertThat(heard.isSilent(1_000)).isFalse();
  }
}

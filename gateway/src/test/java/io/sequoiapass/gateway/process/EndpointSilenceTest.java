package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that move from one silent endpoint to another one. */
class EndpointSilenceTest {

  private static final long SILENT_MS = 200;

  private final EndpointSilence silence = new EndpointSilence();

  @Nested
  class WithOpenRequests {

    @Test
    void isSilentFromTheFirstOneOn() {
      silence.sent(1_000);
      silence.sent(1_000 + SILENT_MS - 1);

      assertThat(silence.isSilent(1_000 + SILENT_MS - 1)).isFalse();
      assertThat(silence.isSilent(1_000 + SILENT_MS)).isTrue();
    }

    @Test
    void isNotSilentOnceSomethingIsReceived() {
      silence.sent(1_000);
      silence.received(1_000 + SILENT_MS);

      assertThat(silence.isSilent(1_000 + 2 * SILENT_MS - 1)).isFalse();
      assertThat(silence.isSilent(1_000 + 2 * SILENT_MS)).isTrue();
    }

    @Test
    void isStillSilentWhenOneOfThemEnds() {
      silence.sent(1_000);
      silence.sent(1_000);
      silence.ended();

      assertThat(silence.isSilent(1_000 + SILENT_MS)).isTrue();
    }
  }

  /** Guards against an endpoint that is avoided because nobody asks it anything. */
  @Nested
  class WithoutOpenRequests {

    @Test
    void isNotSilentBeforeTheFirstOne() {
      assertThat(silence.isSilent(SILENT_MS)).isFalse();
    }

    @Test
    void isNotSilentAfterTheLastOne() {
      silence.sent(1_000);
      silence.ended();

      assertThat(silence.isSilent(1_000 + SILENT_MS)).isFalse();
    }

    @Test
    void isNotSilentAsSoonAsANewOneIsSent() {
      silence.sent(1_000);
      silence.ended();
      silence.sent(5_000);

      assertThat(silence.isSilent(5_000 + SILENT_MS - 1)).isFalse();
      assertThat(silence.isSilent(5_000 + SILENT_MS)).isTrue();
    }
  }
}

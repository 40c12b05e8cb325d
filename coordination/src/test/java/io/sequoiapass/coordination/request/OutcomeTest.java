package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class OutcomeTest {

  @Test
  void notRunRequiresProof() {
    assertThatThrownBy(() -> Outcome.notRun(ErrorKind.DRAINING, null))
        .hasMessageContaining("proof");
  }

  @Test
  void notRunRejectsKindThatMayHaveRun() {
    assertThatThrownBy(
            () -> Outcome.notRun(ErrorKind.STREAM_SHORT, NotRunProof.refusedByEndpoint()))
        .hasMessageContaining("STREAM_SHORT is UNKNOWN");
  }
}

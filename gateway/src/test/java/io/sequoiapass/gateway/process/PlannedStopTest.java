package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.RequestKind;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping daemon sends although they cannot end in time. */
class PlannedStopTest {

  private static final long ENDS_AT = 10_000;
  private static final DrainSchedule SCHEDULE = new DrainSchedule(5_000, ENDS_AT);
  private static final long TIMEOUT_MS = 3_000;
  private static final long TARGET_MS = 400;
  private static final int SAMPLES = 100;
  private static final RouteSpec TICKET = route("ticket");
  private static final RouteSpec SLIP = route("slip");

  private final PlannedStop stop = new PlannedStop();

  private static RouteSpec route(String name) {
    return new RouteSpec(
        name,
        "app.example",
        "/" + name + "/",
        RequestKind.NON_IDEMPOTENT,
        TIMEOUT_MS,
        TARGET_MS,
        0,
        0,
        List.of(new RouteSpec.Target(new ServiceId("app"), 1)),
        1,
        false,
        0,
        false);
  }

  private void answered(RouteSpec route, long ms) {
    for (int i = 0; i < SAMPLES; i++) {
      stop.answered(route, ms);
    }
  }

  /** Asserts that a route's requests are sent up to a given time before the end and not later. */
  private void assertLastSend(RouteSpec route, long beforeEndMs) {
    assertThat(stop.allowsSend(route, ENDS_AT - beforeEndMs)).isTrue();
    assertThat(stop.allowsSend(route, ENDS_AT - beforeEndMs + 1)).isFalse();
  }

  @Nested
  class BeforeItsStart {

    @Test
    void allowsAllSends() {
      answered(TICKET, TIMEOUT_MS);

      assertThat(stop.allowsSend(TICKET, ENDS_AT)).isTrue();
      assertThat(stop.allowsSend(SLIP, ENDS_AT)).isTrue();
    }

    @Test
    void acceptsAllRequests() {
      assertThat(stop.accepts(TIMEOUT_MS, ENDS_AT)).isTrue();
    }
  }

  @Nested
  class AfterItsStart {

    @Test
    void acceptsWhatItsScheduleAccepts() {
      stop.start(SCHEDULE);

      assertThat(stop.accepts(TIMEOUT_MS, ENDS_AT - TIMEOUT_MS)).isTrue();
      assertThat(stop.accepts(TIMEOUT_MS, ENDS_AT - TIMEOUT_MS + 1)).isFalse();
    }

    @Test
    void expectsTheTargetWithoutAnAnswer() {
      stop.start(SCHEDULE);

      assertLastSend(TICKET, TARGET_MS);
    }

    @Test
    void expectsWhatEarlierAnswersTook() {
      answered(TICKET, 1_500);
      stop.start(SCHEDULE);

      assertLastSend(TICKET, 1_500);
    }

    @Test
    void expectsWhatAnswersTookSince() {
      stop.start(SCHEDULE);
      answered(TICKET, 50);

      assertLastSend(TICKET, 50);
    }

    /** Guards against a slow route whose answers keep back the requests of a fast one. */
    @Test
    void keepsRoutesApart() {
      answered(TICKET, 50);
      answered(SLIP, 2_000);
      stop.start(SCHEDULE);

      assertLastSend(TICKET, 50);
      assertLastSend(SLIP, 2_000);
    }

    /** Guards against requests that are refused although their time-out ends them in time. */
    @Test
    void expectsNoMoreThanTheTimeout() {
      answered(TICKET, 2 * TIMEOUT_MS);
      stop.start(SCHEDULE);

      assertLastSend(TICKET, TIMEOUT_MS);
    }
  }
}

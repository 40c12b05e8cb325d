package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.ClockReading;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ReportedLoadsTest {

  private static final EndpointId E1 = new EndpointId("e1");
  private static final EndpointId E2 = new EndpointId("e2");
  private static final ClockReading FIRST = new ClockReading(100, 1_000);
  private static final ClockReading SECOND = new ClockReading(250, 1_150);

  private final ReportedLoads reported = new ReportedLoads();

  private static Load running(int requests) {
    return new Load(requests, 0, 0, 0);
  }

  private static List<EndpointUsage> usage(EndpointId endpoint, int requests) {
    return List.of(new EndpointUsage(endpoint, running(requests), List.of()));
  }

  /** Guards against an endpoint that looks idle because a newer report than the total's is used. */
  @Test
  void reportThatTheTotalContainsIsSubtracted() {
    reported.add(FIRST, usage(E1, 2));
    reported.add(SECOND, usage(E1, 5));
    Map<EndpointId, Load> totals = Map.of(E1, running(7), E2, running(3));

    assertThat(reported.others(totals, Optional.of(FIRST)))
        .containsEntry(E1, running(5))
        .containsEntry(E2, running(3));
    assertThat(reported.others(totals, Optional.of(SECOND))).containsEntry(E1, running(2));
  }

  @Test
  void reportIsSubtractedFromEachTotalThatContainsIt() {
    reported.add(FIRST, usage(E1, 2));

    assertThat(reported.others(Map.of(E1, running(7)), Optional.of(FIRST)))
        .containsEntry(E1, running(5));
    assertThat(reported.others(Map.of(E1, running(8)), Optional.of(FIRST)))
        .containsEntry(E1, running(6));
  }

  @Test
  void totalWithoutAReportIsOthersLoad() {
    reported.add(FIRST, usage(E1, 2));

    assertThat(reported.others(Map.of(E1, running(7)), Optional.empty()))
        .containsEntry(E1, running(7));
  }
}

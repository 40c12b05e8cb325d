package io.sequoiapass.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConsistencyCheckerTest {

  private static RequestResult result(Verdict verdict, boolean repeatable) {
    PlannedRequest request =
        new PlannedRequest("r", 0, Optional.of("a"), Optional.empty(), 1, "BATCH", repeatable);
    return new RequestResult(request, verdict, -1, 0, "");
  }

  private static Verdict check(RequestResult result, List<String> ranOn) {
    ConsistencyChecker checker =
        new ConsistencyChecker(List.of(), Map.of("r", ranOn), Map.of("r", ranOn.size()));
    return checker.apply(new LoadReport(List.of(result), 1)).results().get(0).verdict();
  }

  // A request that is reported as not run although the engine ran it is sent again and runs twice.
  // No client can detect this; only the engine's run count shows it.
  @Test
  void detectsFalseNotRun() {
    assertThat(check(result(Verdict.NOT_RUN, true), List.of("a@v2"))).isEqualTo(Verdict.WRONG);
    assertThat(check(result(Verdict.NOT_RUN, true), List.of())).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void detectsSecondRunOfNonRepeatableRequest() {
    List<String> twice = List.of("a@v2", "a@v2");
    assertThat(check(result(Verdict.COMPLETE, false), twice)).isEqualTo(Verdict.WRONG);
    assertThat(check(result(Verdict.COMPLETE, true), twice)).isEqualTo(Verdict.COMPLETE);
  }

  @Test
  void detectsRunOnAnotherAdapter() {
    assertThat(check(result(Verdict.UNKNOWN, true), List.of("ab@v2"))).isEqualTo(Verdict.WRONG);
  }
}

package io.sequoiapass.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class JudgementTest {

  private static RequestResult told(Verdict verdict, boolean repeatable) {
    PlannedRequest request =
        new PlannedRequest("r", 0, Optional.of("a"), Optional.empty(), 1, "BATCH", repeatable);
    return new RequestResult(request, verdict, -1, 0, "");
  }

  private static Verdict judge(RequestResult told, List<String> ranOn) {
    Judgement judgement = new Judgement(List.of(), Map.of("r", ranOn), Map.of("r", ranOn.size()));
    return judgement.apply(new LoadReport(List.of(told), 1)).results().get(0).verdict();
  }

  // The caller is refused with "not run" and sends again; the engine ran it all the same, so it
  // runs twice and no client can notice. Only the engine's count shows it.
  @Test
  void findsAFalseNotRun() {
    assertThat(judge(told(Verdict.NOT_RUN, true), List.of("a@v2"))).isEqualTo(Verdict.WRONG);
    assertThat(judge(told(Verdict.NOT_RUN, true), List.of())).isEqualTo(Verdict.NOT_RUN);
  }

  @Test
  void findsASecondRunOfWhatMayRunOnce() {
    List<String> twice = List.of("a@v2", "a@v2");
    assertThat(judge(told(Verdict.WHOLE, false), twice)).isEqualTo(Verdict.WRONG);
    assertThat(judge(told(Verdict.WHOLE, true), twice)).isEqualTo(Verdict.WHOLE);
  }

  @Test
  void findsARunOnAnotherAdapter() {
    assertThat(judge(told(Verdict.UNKNOWN, true), List.of("ab@v2"))).isEqualTo(Verdict.WRONG);
  }
}

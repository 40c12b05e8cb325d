package io.sequoiapass.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpFailure;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AnswerCheckTest {

  private static final long WAIT_MS = 1_000;

  private final List<RequestResult> results = new ArrayList<>();
  private long micros;

  private AnswerCheck completion(int tokens) {
    PlannedRequest request =
        new PlannedRequest("r", 0, Optional.of("a"), Optional.empty(), tokens, "BATCH", true);
    return new AnswerCheck(request, "v2", () -> micros, WAIT_MS, results::add);
  }

  private static HttpHeaders head(String adapter) {
    return new DefaultHttpHeaders()
        .set("Content-Type", "text/event-stream")
        .set("Adapter", adapter)
        .set("Adapter-Version", "v2");
  }

  private static String token(int index, String text) {
    return "data: {\"id\":\"r\",\"index\":%d,\"text\":\"%s\"}\n\n".formatted(index, text);
  }

  private static String end(String outcome, String version, int tokens) {
    return ("data: {\"id\":\"r\",\"outcome\":\"%s\",\"adapter\":\"a\",\"version\":\"%s\","
            + "\"tokens\":%d}\n\ndata: [DONE]\n\n")
        .formatted(outcome, version, tokens);
  }

  private Verdict verdict(int tokens, String... events) {
    AnswerCheck check = completion(tokens);
    check.started(200, head("a"));
    for (String event : events) {
      check.received(event.getBytes(StandardCharsets.UTF_8));
    }
    check.ended();
    return results.get(0).verdict();
  }

  @Nested
  class Streams {

    @Test
    void acceptsCompleteAnswer() {
      assertThat(
              verdict(
                  2,
                  token(0, "a@v2/r~d1.x.1#0 "),
                  token(1, "a@v2/r~d1.x.1#1 "),
                  end("ANSWERED", "v2", 2)))
          .isEqualTo(Verdict.COMPLETE);
    }

    @Test
    void rejectsTokenOfAnotherVersion() {
      assertThat(verdict(1, token(0, "a@v1/r~d1.x.1#0 "), end("ANSWERED", "v2", 1)))
          .isEqualTo(Verdict.WRONG);
    }

    @Test
    void rejectsTokenOfAnotherRequest() {
      assertThat(
              verdict(
                  2,
                  token(0, "a@v2/r~d1.x.1#0 "),
                  token(1, "a@v2/r2~d1.x.2#1 "),
                  end("ANSWERED", "v2", 2)))
          .isEqualTo(Verdict.WRONG);
    }

    // "r" is a prefix of "r2": only the separator after the caller's id distinguishes the two.
    @Test
    void rejectsRequestIdWithOwnIdAsPrefix() {
      assertThat(verdict(1, token(0, "a@v2/r2~d1.x.2#0 "), end("ANSWERED", "v2", 1)))
          .isEqualTo(Verdict.WRONG);
    }

    @Test
    void rejectsMissingToken() {
      assertThat(verdict(2, token(1, "a@v2/r~d1.x.1#1 "), end("ANSWERED", "v2", 2)))
          .isEqualTo(Verdict.WRONG);
    }

    @Test
    void rejectsTruncatedAnswerReportedAsComplete() {
      assertThat(verdict(2, token(0, "a@v2/r~d1.x.1#0 "), end("ANSWERED", "v2", 1)))
          .isEqualTo(Verdict.WRONG);
    }

    @Test
    void reportsStreamWithoutFinalEventAsUnknown() {
      assertThat(verdict(2, token(0, "a@v2/r~d1.x.1#0 "))).isEqualTo(Verdict.UNKNOWN);
    }

    @Test
    void keepsReportedOutcome() {
      assertThat(verdict(2, token(0, "a@v2/r~d1.x.1#0 "), end("UNKNOWN", "v2", 1)))
          .isEqualTo(Verdict.UNKNOWN);
    }
  }

  @Nested
  class Failures {

    @Test
    void reportsFailedConnectAsNotRun() {
      completion(1).failed(new HttpFailure("refused", false));
      assertThat(results.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void reportsLostConnectionAsUnknown() {
      completion(1).failed(new HttpFailure("reset", true));
      assertThat(results.get(0).verdict()).isEqualTo(Verdict.UNKNOWN);
    }

    @Test
    void reportsTimeoutAsUnanswered() {
      AnswerCheck check = completion(1);
      micros = WAIT_MS * 1_000;
      check.failed(new HttpFailure("no whole answer in time", true));
      assertThat(results.get(0).verdict()).isEqualTo(Verdict.UNANSWERED);
    }

    @Test
    void reportsErrorWithoutOutcomeAsWrong() {
      AnswerCheck check = completion(1);
      check.started(500, new DefaultHttpHeaders());
      check.ended();
      assertThat(results.get(0).verdict()).isEqualTo(Verdict.WRONG);
    }
  }
}

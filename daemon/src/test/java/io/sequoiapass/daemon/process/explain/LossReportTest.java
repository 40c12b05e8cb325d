package io.sequoiapass.daemon.process.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LossReportTest {

  private static final String TARGETS = "\"target_ms\":600,\"gap_ms\":400,";

  private final LossReport report = new LossReport();

  private void sent(String id, int send, long waitedMs, long expectedMs) {
    report.read(
        "{\"time_ms\":1,\"event\":\"sent\",\"request\":\"%s\",\"send\":%d,\"waited_ms\":%d,\"expected_ms\":%d}"
            .formatted(id, send, waitedMs, expectedMs));
  }

  private void ended(String id, String outcome, String times) {
    report.read(
        "{\"time_ms\":9000,\"event\":\"ended\",\"request\":\"%s\",\"route\":\"query\",\"outcome\":\"%s\",%s%s}"
            .formatted(id, outcome, TARGETS, times));
  }

  private static String stream(long firstMs, long pauseMs, long placeMs, long loadMs) {
    return "\"took_ms\":2000,\"first_ms\":%d,\"pause_ms\":%d,\"slot_wait_ms\":%d,\"load_ms\":%d"
        .formatted(firstMs, pauseMs, placeMs, loadMs);
  }

  private String printed() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    report.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private void assertReason(String label) {
    assertThat(printed()).containsPattern(label + " +1 +100.0%  r1");
  }

  @Nested
  class LateRequest {

    @Test
    void isClassifiedBySlotWait() {
      sent("r1", 1, 900, 50);
      ended("r1", "answered", stream(980, 20, 650, 250));

      assertReason("late: waited for an adapter slot");
    }

    @Test
    void isClassifiedByLoadWait() {
      sent("r1", 1, 620, 50);
      ended("r1", "answered", stream(700, 20, 40, 580));

      assertReason("late: waited for its adapter to load");
    }

    @Test
    void isClassifiedByFailedAttempts() {
      sent("r1", 1, 100, 50);
      report.read("{\"event\":\"not_run\",\"request\":\"r1\",\"answer\":\"NOT_RUN_BUSY\"}");
      sent("r1", 2, 700, 50);
      ended("r1", "answered", stream(800, 20, 100, 0));

      assertReason("late: retried after a refusal or a loss");
    }

    @Test
    void distinguishesASlowFromABusyEndpoint() {
      sent("r1", 1, 0, 100);
      ended("r1", "answered", stream(900, 20, 0, 0));
      sent("r2", 1, 0, 800);
      ended("r2", "answered", stream(900, 20, 0, 0));

      assertThat(printed())
          .containsPattern("late: the endpoint took longer than expected +1 +50.0%  r1")
          .containsPattern("late: the endpoint was busy, as expected +1 +50.0%  r2");
    }

    @Test
    void isClassifiedByALongPause() {
      sent("r1", 1, 0, 100);
      ended("r1", "answered", stream(200, 450, 0, 0));

      assertReason("late: a pause midway through the answer");
    }
  }

  @Nested
  class FailedRequest {

    @Test
    void isClassifiedByItsErrorKind() {
      ended("r1", "refused_OVERLOADED", "\"took_ms\":5,\"first_ms\":-1");

      assertReason("refused: OVERLOADED");
    }

    @Test
    void namesTheShortage() {
      ended(
          "r1",
          "refused_OVERLOADED",
          "\"took_ms\":0,\"room\":\"engine_time\",\"shortage\":3,\"coordinator\":\"north\"");

      assertReason("refused: OVERLOADED, short of engine_time, shortage 3 of north");
    }

    @Test
    void isCountedByPriorityAndWorkspace() {
      ended("r1", "refused_OVERLOADED", "\"took_ms\":0,\"priority\":2,\"workspace\":\"yards\"");
      ended("r2", "refused_OVERLOADED", "\"took_ms\":0,\"priority\":2,\"workspace\":\"\"");

      assertThat(printed())
          .containsPattern("priority .*refuse.*\\R2 +2 +0.0%.* 2 +0\\R")
          .containsPattern("workspace .*refuse.*\\R- +1 .*\\Ryards +1 +0.0%.* 1 +0\\R");
    }

    @Test
    void isClassifiedByWhenTheCallerLeft() {
      ended("r1", "caller_left", "\"took_ms\":3000,\"first_ms\":-1");

      assertReason("the caller left: before the answer began");
    }
  }

  @Nested
  class Input {

    @Test
    void ignoresPrefixesAndOtherText() {
      report.read("starting up");
      report.read("{\"event\":\"sent\",\"request\":");
      report.read("  12.5 north-1 {\"event\":\"order\",\"type\":\"LOAD\",\"result\":\"ACCEPTED\"}");

      assertThat(report.lines()).isEqualTo(1);
      assertThat(printed()).contains("0 requests").contains("LOAD ACCEPTED=1");
    }

    @Test
    void countsRequestsWithoutAnEnd() {
      sent("r1", 1, 0, 100);

      assertThat(printed()).contains("1 requests, 1 of them without an end in these lines");
    }
  }
}

package io.sequoiapass.daemon.process.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestReportTest {

  private final RequestReport report = new RequestReport("r1");

  private String printed() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    report.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private void shortage(long timeMs, int number, String shares) {
    report.read(
        "{\"time_ms\":%d,\"event\":\"shortage_changed\",\"shortage\":%d,\"service\":\"notes\",\"room\":\"engine_time\",\"shares\":\"%s\"}"
            .formatted(timeMs, number, shares));
  }

  @Test
  void namesTheShortageAsItWasBeforeTheRefusal() {
    shortage(100, 3, "2:0.9");
    shortage(200, 3, "2:0.4");
    shortage(200, 4, "2:0.5");
    shortage(400, 3, "2:0.1");
    report.read(
        "{\"time_ms\":300,\"event\":\"ended\",\"request\":\"r1\",\"outcome\":\"refused_OVERLOADED\",\"service\":\"notes\",\"room\":\"engine_time\",\"share\":0.4,\"shortage\":3,\"coordinator\":\"north\",\"priority\":2}");

    assertThat(printed())
        .contains("r1: refused: OVERLOADED, short of engine_time, shortage 3 of north")
        .contains("engine_time of service notes was short: 0.4 of such requests admitted")
        .contains("2:0.4")
        .doesNotContain("2:0.9")
        .doesNotContain("2:0.5")
        .doesNotContain("2:0.1");
  }

  @Test
  void namesTheUsageLimitOfTheWorkspace() {
    for (String workspace : List.of("yards", "mills")) {
      report.read(
          "{\"time_ms\":100,\"event\":\"usage_limited\",\"workspace\":\"%s\",\"share\":0.6}"
              .formatted(workspace));
    }
    report.read(
        "{\"time_ms\":300,\"event\":\"ended\",\"request\":\"r1\",\"outcome\":\"refused_USAGE_LIMIT\",\"workspace\":\"yards\"}");

    assertThat(printed())
        .contains("{\"time_ms\":100,\"event\":\"usage_limited\",\"workspace\":\"yards\"")
        .doesNotContain("mills");
  }

  @Test
  void namesTheWaitForTheTurnOfThePrompt() {
    report.read("{\"event\":\"sent\",\"request\":\"r1\",\"waited_ms\":700,\"expected_ms\":100}");
    report.read(
        "{\"event\":\"ended\",\"request\":\"r1\",\"route\":\"query\",\"outcome\":\"answered\",\"took_ms\":900,\"first_ms\":800,\"target_ms\":600,\"turn_ms\":690}");

    assertThat(printed())
        .contains("r1: late: waited for the turn of its prompt")
        .contains("690 ms for the turn of its prompt");
  }

  @Test
  void showsDecisionsOfARequestWithoutAnEnd() {
    report.read("{\"event\":\"sent\",\"request\":\"r1\",\"endpoint\":\"e7\"}");
    report.read("{\"event\":\"sent\",\"request\":\"r12\",\"endpoint\":\"e8\"}");

    assertThat(printed()).contains("no end in these lines").contains("e7").doesNotContain("e8");
  }
}

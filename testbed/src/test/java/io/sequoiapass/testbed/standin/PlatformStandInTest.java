package io.sequoiapass.testbed.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonObject;
import io.sequoiapass.testbed.HttpProbe;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformStandInTest {

  private static final String CURRENT = "/v1/objects/preset/current";

  private StandIn platform;
  private HttpProbe probe;

  @BeforeEach
  void start() throws Exception {
    platform = StandIn.start(StandInKind.PLATFORM, "--writes-per-second", "5");
    probe = new HttpProbe(platform.address());
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private HttpResponse<String> put(String ifMatch, String operation)
      throws IOException, InterruptedException {
    return probe.call("PUT", CURRENT, "{\"n\":1}", "If-Match", ifMatch, "Operation-Id", operation);
  }

  @Test
  void rejectsWriteWithOutdatedVersion() throws Exception {
    assertThat(put("0", "first").statusCode()).isEqualTo(200);

    HttpResponse<String> late = put("0", "second");

    assertThat(late.statusCode()).isEqualTo(409);
    assertThat(late.body()).contains("\"current\":{", "\"version\":1", "\"operation\":\"first\"");
    assertThat(put("1", "third").body()).contains("\"version\":2");
  }

  // The connection closes although the write took effect. The stored operation id is the only way
  // for a retry to recognise its own write.
  @Test
  void keepsWriteWhoseAnswerWasLost() throws Exception {
    probe.call("POST", "/faults", "{\"lose_answers\":1}");
    assertThatThrownBy(() -> put("0", "lost")).isInstanceOf(IOException.class);
    probe.call("POST", "/faults", "{}");

    assertThat(put("0", "lost").body()).contains("\"operation\":\"lost\"");
  }

  @Test
  void notifiesPendingWatch() throws Exception {
    put("0", "first");
    CompletableFuture<HttpResponse<String>> watch =
        probe.start("GET", "/v1/watch?kinds=preset,lease&after=1&wait_ms=9000", "");
    probe.call("PUT", "/v1/objects/adapter/a", "{}");
    probe.call("PUT", "/v1/objects/lease/d1", "{}");

    assertThat(watch.get(5, TimeUnit.SECONDS).body())
        .contains("\"revision\":3", "\"kind\":\"lease\"")
        .doesNotContain("\"kind\":\"adapter\"");
  }

  @Test
  void rejectsWatchOfCompactedHistory() throws Exception {
    put("0", "first");
    put("1", "second");
    probe.call("POST", "/faults", "{\"compact\":true}");

    assertThat(probe.call("GET", "/v1/watch?kinds=preset&after=1&wait_ms=0", "").statusCode())
        .isEqualTo(410);
    assertThat(probe.call("GET", "/v1/watch?kinds=preset&after=2&wait_ms=0", "").statusCode())
        .isEqualTo(200);
  }

  @Test
  void rejectsWritesAboveRateLimit() throws Exception {
    int refused = 0;
    for (int i = 0; i < 50; i++) {
      HttpResponse<String> answer = probe.call("PUT", "/v1/objects/adapter/a" + i, "{}");
      if (answer.statusCode() == 429) {
        refused++;
        assertThat(answer.headers().firstValue("Retry-After")).contains("1");
      }
    }
    JsonObject calls = probe.json("/judge").getAsJsonObject("calls");
    assertThat(refused).isPositive();
    assertThat(calls.get("REFUSED_RATE").getAsInt()).isEqualTo(refused);
    assertThat(calls.get("PUT").getAsInt()).isEqualTo(50 - refused);
  }
}

package io.sequoiapass.testbed.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.HttpProbe;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WeightStoreStandInTest {

  private static final int LOAD_MS = 100;
  private static final int ROUNDING_MS = 5;

  private StandIn store;
  private HttpProbe probe;

  @BeforeEach
  void start() throws Exception {
    store = StandIn.start(StandInKind.WEIGHTS, "--load-ms", Integer.toString(LOAD_MS));
    probe = new HttpProbe(store.address());
  }

  @AfterEach
  void stop() {
    store.close();
  }

  @Test
  void sharesBandwidthAmongLoads() throws Exception {
    long start = System.nanoTime();
    CompletableFuture<HttpResponse<String>> one = probe.start("GET", "/v1/weights/a/v1", "");
    CompletableFuture<HttpResponse<String>> two = probe.start("GET", "/v1/weights/b/v1", "");
    one.get(5, TimeUnit.SECONDS);
    two.get(5, TimeUnit.SECONDS);
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);

    assertThat(tookMs).isGreaterThanOrEqualTo(2 * LOAD_MS - ROUNDING_MS);
    assertThat(probe.json("/judge").get("finished").getAsInt()).isEqualTo(2);
  }

  @Test
  void answersNotFoundForMissingWeights() throws Exception {
    probe.call("POST", "/faults", "{\"missing\":[\"a/v1\"]}");
    assertThat(probe.call("GET", "/v1/weights/a/v1", "").statusCode()).isEqualTo(404);
    assertThat(probe.call("GET", "/v1/weights/a/v2", "").statusCode()).isEqualTo(200);
  }
}

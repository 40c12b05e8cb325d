package io.sequoiapass.testbed.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonObject;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineStandInTest {

  private StandIn weights;
  private StandIn engine;
  private HttpProbe probe;

  @BeforeEach
  void start() throws Exception {
    weights = StandIn.start(StandInKind.WEIGHTS, "--load-ms", "5");
    engine = engine("true");
    probe = new HttpProbe(engine.address());
  }

  @AfterEach
  void stop() {
    engine.close();
    weights.close();
  }

  private StandIn engine(String checksFence) throws Exception {
    String store = Addresses.text(weights.address());
    return StandIn.start(
        StandInKind.ENGINE, "--weights", store, "--slots", "1", "--checks-fence", checksFence);
  }

  private HttpResponse<String> order(String type, int fence, String version, String handle)
      throws IOException, InterruptedException {
    return probe.call(
        "POST",
        "/v1/orders",
        "{\"order\":\"%s\",\"fence\":%d,\"adapter\":\"a\",\"version\":\"%s\",\"handle\":\"%s\"}"
            .formatted(type, fence, version, handle));
  }

  private static String completion(String requestId, int attempt, String handle, int tokens) {
    return ("{\"request_id\":\"%s\",\"attempt\":%d,\"adapter\":\"a\",\"version\":\"v1\","
            + "\"handle\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}")
        .formatted(requestId, attempt, handle, tokens);
  }

  private HttpResponse<String> complete(String requestId, String handle, int tokens)
      throws IOException, InterruptedException {
    return probe.call("POST", "/v1/completions", completion(requestId, 1, handle, tokens));
  }

  /** Polls until the engine runs a stream; fails after 1,000 polls. */
  private void awaitRunning() throws Exception {
    for (int poll = 0; poll < 1_000; poll++) {
      if (!probe.json("/v1/state").getAsJsonArray("running").isEmpty()) {
        return;
      }
    }
    throw new AssertionError("no stream runs");
  }

  @Nested
  class Completions {

    @Test
    void rejectsCompletionForAdapterThatIsNotLoaded() throws Exception {
      order("LOAD", 1, "v1", "h1");

      assertThat(complete("r1", "h0", 2).statusCode()).isEqualTo(409);
      assertThat(complete("r2", "h1", 2).statusCode()).isEqualTo(200);
      JsonObject audit = probe.json("/judge");
      assertThat(audit.get("not_loaded").getAsInt()).isEqualTo(1);
      assertThat(audit.getAsJsonArray("runs")).hasSize(1);
    }

    @Test
    void tokenTextContainsAdapterVersionRequestAndIndex() throws Exception {
      order("LOAD", 1, "v1", "h1");

      assertThat(complete("r1", "h1", 2).body())
          .contains("\"a@v1/r1#0 \"", "\"a@v1/r1#1 \"", "\"done\":true,\"tokens\":2");
    }

    // The connection closes without an answer although the engine ran the request. A caller that
    // treats this as "not run" runs it again, and the audit report must contain both runs.
    @Test
    void countsRunWhoseAnswerWasLost() throws Exception {
      order("LOAD", 1, "v1", "h1");
      probe.call("POST", "/faults", "{\"lose_answer\":true}");
      assertThatThrownBy(() -> complete("r1", "h1", 1)).isInstanceOf(IOException.class);
      probe.call("POST", "/faults", "{}");
      probe.call("POST", "/v1/completions", completion("r1", 2, "h1", 1));

      assertThat(probe.json("/judge").getAsJsonArray("runs")).hasSize(2);
    }

    // The connection closes after the second token while the engine keeps running. A new reader
    // must receive the rest from its index, without duplicate or missing tokens.
    @Test
    void resumesInterruptedStream() throws Exception {
      order("LOAD", 1, "v1", "h1");
      probe.call("POST", "/faults", "{\"cut_stream_after\":2}");
      assertThatThrownBy(() -> complete("r1", "h1", 5)).isInstanceOf(IOException.class);

      String rest = probe.call("GET", "/v1/streams/r1?from=2", "").body();

      assertThat(rest).doesNotContain("#1 ").contains("#2 ", "#3 ", "#4 ", "\"done\":true");
      JsonObject run = probe.json("/judge").getAsJsonArray("runs").get(0).getAsJsonObject();
      assertThat(run.get("count").getAsInt()).isEqualTo(1);
    }
  }

  @Nested
  class Orders {

    // An owner unloads a serving adapter and the reader's stream breaks. The audit report must
    // count the violation, or it could not be told apart from a broken connection.
    @Test
    void countsEvictionOfServingAdapter() throws Exception {
      order("LOAD", 1, "v1", "h1");
      CompletableFuture<HttpResponse<String>> stream =
          probe.start("POST", "/v1/completions", completion("r1", 1, "h1", 5_000));
      awaitRunning();

      assertThat(order("UNLOAD", 1, "v1", "h1").statusCode()).isEqualTo(200);

      assertThatThrownBy(stream::get).isInstanceOf(ExecutionException.class);
      assertThat(probe.json("/judge").get("violations").getAsInt()).isEqualTo(1);
    }

    @Test
    void countsNoViolationForIdleAdapter() throws Exception {
      order("LOAD", 1, "v1", "h1");
      complete("r1", "h1", 1);
      order("UNLOAD", 1, "v1", "h1");

      JsonObject audit = probe.json("/judge");
      assertThat(audit.get("evictions").getAsInt()).isEqualTo(1);
      assertThat(audit.get("violations").getAsInt()).isZero();
    }

    @Test
    void rejectsOutdatedFencingNumberOnlyIfChecksAreEnabled() throws Exception {
      order("LOAD", 5, "v1", "h1");
      HttpResponse<String> refused = order("UNLOAD", 4, "v1", "h1");
      assertThat(refused.statusCode()).isEqualTo(409);
      assertThat(refused.body()).isEqualTo("{\"error\":\"stale_fence\",\"fence\":5}");

      try (StandIn unchecked = engine("false")) {
        probe = new HttpProbe(unchecked.address());
        order("LOAD", 5, "v1", "h1");
        assertThat(order("UNLOAD", 4, "v1", "h1").statusCode()).isEqualTo(200);
        assertThat(probe.json("/judge").get("stale_obeyed").getAsInt()).isEqualTo(1);
      }
    }

    @Test
    void loadsOnceForRepeatedOrder() throws Exception {
      order("LOAD", 1, "v1", "h1");
      assertThat(order("LOAD", 1, "v1", "h1").statusCode()).isEqualTo(200);
      assertThat(order("LOAD", 1, "v2", "h2").body()).contains("no_slot");
      assertThat(probe.json("/judge").get("loads").getAsInt()).isEqualTo(1);
    }

    // A load fails after its weights have arrived. The slot must be freed, or the engine would
    // reject all later loads with no_slot.
    @Test
    void freesSlotAfterFailedLoad() throws Exception {
      probe.call("POST", "/faults", "{\"fail_loads\":1}");
      assertThat(order("LOAD", 1, "v1", "h1").statusCode()).isEqualTo(502);
      probe.call("POST", "/faults", "{}");
      assertThat(order("LOAD", 1, "v1", "h2").statusCode()).isEqualTo(200);
    }

    @Test
    void losesStateOnRestart() throws Exception {
      order("LOAD", 1, "v1", "h1");
      String boot = probe.json("/v1/state").get("boot").getAsString();

      probe.call("POST", "/faults", "{\"restart\":true}");

      JsonObject state = probe.json("/v1/state");
      assertThat(state.get("boot").getAsString()).isNotEqualTo(boot);
      assertThat(state.getAsJsonArray("slots")).isEmpty();
      assertThat(complete("r1", "h1", 1).statusCode()).isEqualTo(409);
    }
  }
}

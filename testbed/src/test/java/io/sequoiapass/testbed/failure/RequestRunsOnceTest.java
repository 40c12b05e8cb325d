package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.Ranking;
import io.sequoiapass.testbed.launch.Cluster;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class RequestRunsOnceTest {

  private static final long LIMIT_MS = 20_000;
  private static final String BODY = "pay 120";
  private static Cluster cluster;
  private static KeyedCalls calls;

  @BeforeAll
  static void start() throws Exception {
    cluster = Cluster.builder().daemons(3).engines(0).services(2).adapters(0).start();
    cluster.awaitServing(LIMIT_MS);
    calls = new KeyedCalls(cluster);
    for (String daemon : List.of("d1", "d2", "d3")) {
      HttpResponse<String> first =
          calls.sendSlipUntilLedgerAvailable(daemon, "warm-" + daemon, BODY, LIMIT_MS);
      assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    }
  }

  @AfterAll
  static void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  @AfterEach
  void clearFaults() throws Exception {
    calls.faults("{}");
  }

  // A caller sends the same request through two daemons concurrently. The primary replica of the
  // key admits one; the other must not run and gets UNKNOWN. Later requests with the key are
  // refused.
  @Test
  @Order(1)
  void oneKeyThroughTwoDaemonsAtOnceRunsOnce() throws Exception {
    calls.faults("{\"delay_ms\":200}");
    for (int round = 0; round < 5; round++) {
      String key = "both-" + round;
      List<CompletableFuture<HttpResponse<String>>> sent =
          Stream.of("d1", "d2")
              .map(daemon -> CompletableFuture.supplyAsync(() -> send(daemon, key)))
              .toList();
      List<String> outcomes = sent.stream().map(one -> KeyedCalls.outcome(one.join())).toList();

      assertThat(outcomes).containsExactlyInAnyOrder("ANSWERED", "UNKNOWN");
      assertThat(calls.sendSlip("d3", key, BODY).body()).contains("KEY_ALREADY_RAN");
      assertThat(calls.sendSlip("d3", key, "pay 999").body()).contains("KEY_REUSED");
      assertThat(calls.runs(key)).isEqualTo(1);
    }
  }

  private static HttpResponse<String> send(String daemon, String key) {
    try {
      return calls.sendSlip(daemon, key, BODY);
    } catch (IOException | InterruptedException e) {
      throw new CompletionException(e);
    }
  }

  // The service runs a request and its response is lost, so the daemon cannot determine whether it
  // ran. The caller gets UNKNOWN, no daemon resends the request, and a retry with the same key is
  // refused.
  @Test
  @Order(2)
  void aLostAnswerOfAnAcceptedSlipIsUnknownAndTheSlipRunsOnce() throws Exception {
    calls.faults("{\"lose_answer\":true}");
    assertThat(KeyedCalls.outcome(calls.sendSlip("d1", "lost", BODY))).isEqualTo("UNKNOWN");
    calls.faults("{}");

    assertThat(calls.sendSlip("d2", "lost", BODY).body()).contains("KEY_OUTCOME_UNKNOWN");
    assertThat(calls.runs("lost")).isEqualTo(1);
  }

  // Every endpoint refuses before it starts the request, which proves that nothing ran: the caller
  // gets NOT RUN, the run counts are zero, and the key can be used again.
  @Test
  @Order(3)
  void aRefusalBeforeTheStartIsNotRunAndFreesTheKey() throws Exception {
    calls.faults("{\"refuse\":true}");
    assertThat(KeyedCalls.outcome(calls.sendSlip("d1", "refused", BODY))).isEqualTo("NOT_RUN");
    assertThat(calls.runs("refused")).isZero();
    calls.faults("{}");

    assertThat(calls.sendSlip("d2", "refused", BODY).statusCode()).isEqualTo(200);
    assertThat(calls.runs("refused")).isEqualTo(1);
  }

  // The primary replica of a key is killed after the request has run. Until the primary's lease
  // expires, requests with the key are refused as NOT RUN; then the secondary takes over and
  // refuses them with KEY_ALREADY_RAN. Runs last because the killed daemon is not restarted.
  @Test
  @Order(4)
  void aKeyWhosePrimaryIsKilledDoesNotRunAgain() throws Exception {
    String primary = "d3";
    String key = keyWithPrimary(primary);
    assertThat(calls.sendSlip("d1", key, BODY).statusCode()).isEqualTo(200);

    cluster.daemon(primary).process().kill();
    HttpResponse<String> again = calls.sendSlipUntilLedgerAvailable("d2", key, BODY, LIMIT_MS);

    assertThat(again.body()).contains("KEY_ALREADY_RAN");
    assertThat(calls.runs(key)).isEqualTo(1);
  }

  private static String keyWithPrimary(String primary) {
    List<DaemonId> daemons = Stream.of("d1", "d2", "d3").map(DaemonId::new).toList();
    return IntStream.range(0, 100)
        .mapToObj(i -> "home-" + i)
        .filter(
            key -> Objects.equals(Ranking.rendezvous().rank(key, daemons).get(0).value(), primary))
        .findFirst()
        .orElseThrow();
  }
}

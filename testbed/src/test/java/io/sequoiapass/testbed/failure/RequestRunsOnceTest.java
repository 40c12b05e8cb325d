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
      HttpResponse<String> first = calls.slipOnceAsked(daemon, "warm-" + daemon, BODY, LIMIT_MS);
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

  // A clerk's app sends one slip through two daemons at the same moment, and once more after it.
  // Both reach the key's home; the one that comes second must not run, whatever it is told.
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
      assertThat(calls.slip("d3", key, BODY).body()).contains("KEY_ALREADY_RAN");
      assertThat(calls.slip("d3", key, "pay 999").body()).contains("KEY_REUSED");
      assertThat(calls.runs(key)).isEqualTo(1);
    }
  }

  private static HttpResponse<String> send(String daemon, String key) {
    try {
      return calls.slip(daemon, key, BODY);
    } catch (IOException | InterruptedException e) {
      throw new CompletionException(e);
    }
  }

  // The service takes a slip, pays, and its answer is lost. Nobody knows whether it ran: the caller
  // hears UNKNOWN, nothing sends it a second time, and neither does its key.
  @Test
  @Order(2)
  void anAnswerLostAfterTheServiceTookItIsUnknownAndRanOnce() throws Exception {
    calls.faults("{\"lose_answer\":true}");
    assertThat(KeyedCalls.outcome(calls.slip("d1", "lost", BODY))).isEqualTo("UNKNOWN");
    calls.faults("{}");

    assertThat(calls.slip("d2", "lost", BODY).body()).contains("KEY_OUTCOME_UNKNOWN");
    assertThat(calls.runs("lost")).isEqualTo(1);
  }

  // Every endpoint refuses before it begins. That proves that nothing ran: the caller hears NOT
  // RUN, the counts are zero, and the key is free for the next try.
  @Test
  @Order(3)
  void aRefusalBeforeTheStartIsNotRunAndFreesTheKey() throws Exception {
    calls.faults("{\"refuse\":true}");
    assertThat(KeyedCalls.outcome(calls.slip("d1", "refused", BODY))).isEqualTo("NOT_RUN");
    assertThat(calls.runs("refused")).isZero();
    calls.faults("{}");

    assertThat(calls.slip("d2", "refused", BODY).statusCode()).isEqualTo(200);
    assertThat(calls.runs("refused")).isEqualTo(1);
  }

  // A slip was paid, and the home of its key is killed. Its second takes over once the home's lease
  // has lapsed; until then the key is refused as NOT RUN, and after it as one that ran.
  @Test
  @Order(4)
  void aKeyWhoseHomeIsKilledDoesNotRunAgain() throws Exception {
    String home = "d3";
    String key = keyOf(home);
    assertThat(calls.slip("d1", key, BODY).statusCode()).isEqualTo(200);

    cluster.daemon(home).process().kill();
    HttpResponse<String> again = calls.slipOnceAsked("d2", key, BODY, LIMIT_MS);

    assertThat(again.body()).contains("KEY_ALREADY_RAN");
    assertThat(calls.runs(key)).isEqualTo(1);
  }

  private static String keyOf(String home) {
    List<DaemonId> daemons = Stream.of("d1", "d2", "d3").map(DaemonId::new).toList();
    return IntStream.range(0, 100)
        .mapToObj(i -> "home-" + i)
        .filter(key -> Objects.equals(Ranking.rendezvous().rank(key, daemons).get(0).value(), home))
        .findFirst()
        .orElseThrow();
  }
}

package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class RequestStreamTest {

  private static final long LIMIT_MS = 20_000;
  private static final int TOKENS = 400;
  private static final int READ_BEFORE_KILL = 50;
  private static Cluster cluster;

  @BeforeAll
  static void start() throws Exception {
    cluster = Cluster.builder().daemons(2).engines(1).adapters(1).start();
    cluster.awaitServing(LIMIT_MS);
  }

  @AfterAll
  static void stop() {
    if (cluster != null) {
      cluster.close();
    }
  }

  private static String body(int tokens, boolean stream) {
    return "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d,\"stream\":%b}"
        .formatted(ClusterNames.adapter(0), tokens, stream);
  }

  // The engine cuts the stream right before its last token, as a proxy on the path may do. The
  // received part looks like a complete answer; it must not be returned as one, and the remaining
  // token must be read from the engine.
  @Test
  @Order(1)
  void aStreamCutBeforeItsLastTokenIsReadToItsEnd() throws Exception {
    HttpProbe engine = new HttpProbe(cluster.endpoint("e1").address());
    long before = engine.json("/judge").get("accepted").getAsLong();
    cluster.setFaults(cluster.endpoint("e1").address(), "{\"cut_stream_after\":9}");
    HttpResponse<String> answer =
        new HttpProbe(cluster.daemon("d1").callerAddress())
            .call("POST", "/v1/completions", body(10, false));
    cluster.setFaults(cluster.endpoint("e1").address(), "{}");

    JsonObject complete = JsonParser.parseString(answer.body()).getAsJsonObject();
    assertThat(complete.get("outcome").getAsString()).isEqualTo("ANSWERED");
    assertThat(complete.get("tokens").getAsInt()).isEqualTo(10);
    assertThat(complete.get("text").getAsString()).contains("#8 ", "#9 ");
    assertThat(engine.json("/judge").get("accepted").getAsLong() - before)
        .as("resumed, not run again")
        .isEqualTo(1);
  }

  // A caller reads a long answer through one daemon when the owner of the engine, another daemon,
  // is killed. The engine continues; once the lease has expired, the next owner resumes the stream
  // at the first missing token. The caller sees a pause, and each token once.
  @Test
  @Order(2)
  void anOwnerCrashLosesAndDuplicatesNoToken() throws Exception {
    DaemonNode owner = owner();
    DaemonNode entry =
        cluster.daemons().stream().filter(daemon -> daemon != owner).findFirst().orElseThrow();
    int next = 0;
    boolean answered = false;
    try (Stream<String> lines = stream(entry)) {
      for (Iterator<String> events = lines.iterator(); events.hasNext(); ) {
        String line = events.next();
        if (!line.startsWith("data: {")) {
          continue;
        }
        JsonObject event = JsonParser.parseString(line.substring(6)).getAsJsonObject();
        if (event.has("index")) {
          assertThat(event.get("index").getAsInt()).isEqualTo(next);
          next++;
        } else {
          answered = event.get("outcome").getAsString().equals("ANSWERED");
          assertThat(answered).as(line).isTrue();
        }
        if (next == READ_BEFORE_KILL && owner.process().alive()) {
          owner.process().kill();
        }
      }
    }
    assertThat(next).isEqualTo(TOKENS);
    assertThat(answered).isTrue();
    assertThat(timeline(entry))
        .as("the entry daemon's timeline shows why the caller saw a pause")
        .containsSubsequence(
            "REQUEST_FIRST_TOKEN", "OWNERSHIP_CHANGED", "REQUEST_RETRIED", "REQUEST_ANSWERED");
  }

  private static List<String> timeline(DaemonNode daemon) throws Exception {
    List<String> kinds = new ArrayList<>();
    new HttpProbe(daemon.operatorAddress())
        .json("/timeline")
        .getAsJsonArray("events")
        .forEach(event -> kinds.add(event.getAsJsonObject().get("kind").getAsString()));
    return kinds;
  }

  private static Stream<String> stream(DaemonNode entry) throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + entry.callerAddress().getPort() + "/v1/completions");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .POST(HttpRequest.BodyPublishers.ofString(body(TOKENS, true)))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofLines()).body();
  }

  private static DaemonNode owner() throws IOException, InterruptedException {
    for (DaemonNode daemon : cluster.daemons()) {
      if (new HttpProbe(daemon.operatorAddress()).json("/status").get("owned").getAsInt() > 0) {
        return daemon;
      }
    }
    throw new AssertionError("no daemon owns the engine");
  }
}

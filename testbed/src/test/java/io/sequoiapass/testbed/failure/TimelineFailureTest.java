package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.process.timeline.ClockOffset;
import io.sequoiapass.daemon.process.timeline.MergedTimeline;
import io.sequoiapass.daemon.process.timeline.TimelineReport;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Verifies what the merged timeline shows of a failure. */
class TimelineFailureTest {

  private static final long LIMIT_MS = 20_000;
  private static final String ID = "explained";
  private static final int TOKENS = 600;

  // A caller waits for a long answer when the owner of the engine, another daemon, is killed. It
  // gets one complete answer, late. The merged timeline of the remaining daemons shows why: the
  // first tokens of the attempt arrived, its owner was lost, the endpoint moved to another daemon,
  // and a second attempt resumed there. The events of the failed daemon are missing.
  @Test
  void theMergedTimelineShowsWhyAnAnswerWasLate() throws Exception {
    try (Cluster cluster = Cluster.builder().daemons(3).engines(1).adapters(1).start()) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      DaemonNode owner = owner(cluster, probe);
      List<DaemonNode> others = cluster.daemons().stream().filter(d -> d != owner).toList();
      CompletableFuture<String> answer = sendRequest(cluster, others.get(0));
      probe.await("tokens", LIMIT_MS, () -> kinds(cluster, others).contains("REQUEST_FIRST_TOKEN"));
      owner.process().kill();

      assertThat(answer.get(LIMIT_MS, TimeUnit.MILLISECONDS)).contains("ANSWERED");
      assertThat(kinds(cluster, others))
          .containsSubsequence(
              "REQUEST_ACCEPTED",
              "REQUEST_ROUTED",
              "REQUEST_FIRST_TOKEN",
              "OWNERSHIP_CHANGED",
              "REQUEST_RETRIED",
              "REQUEST_ANSWERED");
      List<Integer> attempts = attempts(cluster, others);
      assertThat(attempts).isSorted().startsWith(1);
      assertThat(Set.copyOf(attempts)).as("another attempt followed").hasSizeGreaterThan(1);
    }
  }

  private static CompletableFuture<String> sendRequest(Cluster cluster, DaemonNode entry) {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}"
            .formatted(ClusterNames.adapter(0), TOKENS);
    HttpCall call =
        HttpCall.to(entry.callerAddress(), "POST", "/v1/completions")
            .header("Request-Id", ID)
            .body(body);
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return cluster.http().send(call).text();
          } catch (Exception failed) {
            throw new AssertionError(failed);
          }
        });
  }

  private static List<String> kinds(Cluster cluster, List<DaemonNode> daemons) throws Exception {
    List<String> kinds = new ArrayList<>();
    for (JsonElement event : merged(cluster, daemons)) {
      kinds.add(field(event, "kind"));
    }
    return kinds;
  }

  private static List<Integer> attempts(Cluster cluster, List<DaemonNode> daemons)
      throws Exception {
    List<Integer> attempts = new ArrayList<>();
    for (JsonElement event : merged(cluster, daemons)) {
      String cause = field(event, "cause");
      if (field(event, "request").startsWith(ID) && !cause.isEmpty()) {
        attempts.add(Integer.valueOf(cause.substring(cause.lastIndexOf('/') + 1)));
      }
    }
    return attempts;
  }

  private static String field(JsonElement event, String name) {
    JsonObject fields = event.getAsJsonObject().getAsJsonObject("event");
    return fields.has(name) ? fields.get(name).getAsString() : "";
  }

  /** Merges as the operators' command does; on one host the clock offsets are zero. */
  private static List<JsonElement> merged(Cluster cluster, List<DaemonNode> daemons)
      throws Exception {
    List<MergedTimeline.Source> sources = new ArrayList<>();
    for (DaemonNode daemon : daemons) {
      HttpCall call = HttpCall.to(daemon.operatorAddress(), "GET", "/timeline");
      TimelineReport report =
          new Gson().fromJson(cluster.http().send(call).text(), TimelineReport.class);
      sources.add(new MergedTimeline.Source(report, new ClockOffset(0, 0)));
    }
    String json = MergedTimeline.of(sources).json();
    return JsonParser.parseString(json).getAsJsonObject().getAsJsonArray("events").asList();
  }

  private static DaemonNode owner(Cluster cluster, OwnershipProbe probe) throws Exception {
    for (DaemonNode daemon : cluster.daemons()) {
      if (probe.owned(daemon) > 0) {
        return daemon;
      }
    }
    throw new AssertionError("no daemon owns the engine");
  }
}

package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

class RequestDeadlineTest {

  private static final long LIMIT_MS = 20_000;
  private static final int REQUESTS = 8;

  // An adapter never loads, and its callers' deadlines pass while they wait at the owner. Nothing
  // reached the engine, so each caller must get NOT RUN; if the owner's proof arrived after the
  // entry daemon's own deadline, they would get UNKNOWN.
  @Test
  void aRequestThatOnlyWaitedIsReportedAsNotRun() throws Exception {
    try (Cluster cluster = Cluster.builder().daemons(2).engines(1).adapters(2).start()) {
      cluster.awaitServing(LIMIT_MS);
      cluster.setFaults(cluster.endpoint("e1").address(), "{\"hang_loads\":true}");
      for (int i = 0; i < REQUESTS; i++) {
        HttpProbe probe = new HttpProbe(cluster.daemons().get(i % 2).callerAddress());
        String body =
            "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":2}"
                .formatted(ClusterNames.adapter(1));
        HttpResponse<String> answer =
            probe.call("POST", "/v1/completions", body, "Deadline-Ms", "400");
        assertThat(answer.body()).contains("\"DEADLINE_PASSED\"");
        assertThat(answer.headers().firstValue("Outcome")).contains("NOT_RUN");
      }
    }
  }
}

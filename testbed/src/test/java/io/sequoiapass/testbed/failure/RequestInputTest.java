package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class RequestInputTest {

  private static final long LIMIT_MS = 20_000;
  private static final String PATH = "/v1/completions";
  private static final int TOKENS = 400;

  // While one caller reads a long answer, others send invalid input: each gets a specific error
  // with outcome NOT RUN, and the long answer is not affected.
  @Test
  void invalidInputIsRefusedAndAffectsNoOtherCaller() throws Exception {
    try (Cluster cluster = Cluster.builder().daemons(1).engines(1).adapters(1).start()) {
      cluster.awaitServing(LIMIT_MS);
      InetSocketAddress daemon = cluster.daemon("d1").callerAddress();
      HttpProbe probe = new HttpProbe(daemon);
      CompletableFuture<HttpResponse<String>> longAnswer =
          probe.start("POST", PATH, body(ClusterNames.adapter(0), TOKENS));

      assertThat(sendRaw(daemon, "NONSENSE\r\n\r\n")).contains(" 400 ", "MALFORMED_REQUEST");
      assertThat(sendRaw(daemon, "GET / HTTP/1.1\r\nX: " + "x".repeat(100_000) + "\r\n\r\n"))
          .contains(" 431 ", "HEADERS_TOO_LARGE");
      assertThat(sendRaw(daemon, "POST " + PATH + " HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"))
          .contains(" 413 ", "BODY_TOO_LARGE");
      assertRefused(probe, "{", 400, "MALFORMED_REQUEST");
      assertRefused(probe, body("nobody", 1), 404, "UNKNOWN_ADAPTER");
      assertRefused(probe, body(ClusterNames.adapter(0) + "@v99", 1), 404, "UNKNOWN_VERSION");
      assertRefused(probe, body(ClusterNames.adapter(0), -1), 400, "MALFORMED_REQUEST");
      assertRefused(
          probe, body(ClusterNames.adapter(0), 1), 400, "BAD_DEADLINE", "Deadline-Ms", "soon");
      assertRefused(
          probe, body(ClusterNames.adapter(0), 1), 404, "UNKNOWN_SERVICE", "Service", "none");

      assertThat(longAnswer.join().body()).contains("\"tokens\":" + TOKENS);
    }
  }

  private static void assertRefused(
      HttpProbe probe, String body, int status, String kind, String... headers)
      throws IOException, InterruptedException {
    HttpResponse<String> answer = probe.call("POST", PATH, body, headers);
    assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
    assertThat(answer.body()).contains(kind);
    assertThat(answer.headers().firstValue("Outcome")).contains("NOT_RUN");
  }

  private static String sendRaw(InetSocketAddress daemon, String text) throws IOException {
    try (Socket socket = new Socket(daemon.getAddress(), daemon.getPort())) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[8_192];
      StringBuilder answer = new StringBuilder();
      for (int n = socket.getInputStream().read(buffer);
          n >= 0 && answer.indexOf("}}") < 0;
          n = socket.getInputStream().read(buffer)) {
        answer.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
        if (answer.indexOf("}}") >= 0) {
          break;
        }
      }
      return answer.toString();
    }
  }

  private static String body(String model, int tokens) {
    return "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}".formatted(model, tokens);
  }
}

package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RequestSlowCallerTest {

  private static final long LIMIT_MS = 20_000;
  private static final int CALLERS = 24;
  private static final int TOKENS = 1_500;
  private static final int READ_LIMIT_MS = 10_000;

  /** The stall limit of a stream is 2 s; system buffers absorb most of the first second. */
  private static final long READ_PAUSE_MS = 7_000;

  // Many callers request long answers and stop reading for seconds, as on an interrupted mobile
  // connection. Their answers, some 9 MB, must be held back at the engine and not buffered in the
  // daemon, whose buffers may take 8 MB; the pause must not count as the loss of the owner; and
  // each caller reads its complete answer.
  @Test
  void callersThatStopReadingGetCompleteAnswersWithinBoundedMemory() throws Exception {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(1)
            .engines(1)
            .adapters(1)
            .engineSize(4, CALLERS)
            .engineFlags("--stream-micros", "0")
            .daemonFlags("--threads", "1")
            .daemonJvmFlags("-Xmx48m", "-XX:MaxDirectMemorySize=8m")
            .start()) {
      cluster.awaitServing(LIMIT_MS);
      HttpProbe engine = new HttpProbe(cluster.endpoint("e1").address());
      long before = accepted(engine);
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < CALLERS; i++) {
          sockets.add(sendRequest(cluster.daemon("d1").callerAddress(), i));
        }
        // The pause itself is the input of this test; there is no condition to wait for.
        TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MS);
        for (int i = 0; i < CALLERS; i++) {
          assertComplete(sockets.get(i), i);
        }
      } finally {
        for (Socket socket : sockets) {
          socket.close();
        }
      }
      assertThat(accepted(engine) - before).as("none was run again").isEqualTo(CALLERS);
      assertThat(cluster.daemon("d1").process().logTail()).doesNotContain("OutOfMemory");
    }
  }

  private static long accepted(HttpProbe engine) throws IOException, InterruptedException {
    return engine.json("/judge").get("accepted").getAsLong();
  }

  private static Socket sendRequest(InetSocketAddress daemon, int number) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(READ_LIMIT_MS);
    socket.connect(daemon, READ_LIMIT_MS);
    String body =
        "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d,\"stream\":true}"
            .formatted(ClusterNames.adapter(0), TOKENS);
    String head =
        "POST /v1/completions HTTP/1.1\r\nHost: d1\r\nConnection: close\r\nDeadline-Ms: 60000\r\n"
            + "Request-Id: %s\r\nContent-Length: %d\r\n\r\n".formatted(id(number), body.length());
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Returns a long id, which makes each token's event some 250 bytes. */
  private static String id(int number) {
    return "c%03d-".formatted(number) + "x".repeat(55);
  }

  private static void assertComplete(Socket socket, int number) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder answer = new StringBuilder();
    byte[] buffer = new byte[65_536];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      answer.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
      if (answer.indexOf("[DONE]", Math.max(0, answer.length() - 100)) >= 0) {
        break;
      }
    }
    assertThat(answer).as("caller %d", number).contains("\"outcome\":\"ANSWERED\"");
    int at = 0;
    for (int token = 0; token < TOKENS; token++) {
      at = answer.indexOf("\"index\":" + token + ",", at);
      assertThat(at).as("caller %d, token %d", number, token).isPositive();
      assertThat(answer.indexOf("\"index\":" + token + ",", at + 1)).as("duplicate").isNegative();
    }
  }
}
